//! The two deployments, and the load and faults of each experiment.

use std::time::Duration;

pub const SLOTS: u32 = 8;
pub const CONNECTIONS: u32 = 64;
/// Minimum service time of a request, to which an exponentially distributed time is added.
pub const MIN_SERVICE_TIME: Duration = Duration::from_millis(10);
pub const MEAN_EXTRA_SERVICE_TIME: Duration = Duration::from_millis(30);
/// One-way delay inside a data centre.
pub const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// Share of requests that may be repeated.
pub const IDEMPOTENT_SHARE: f64 = 0.7;
/// Time until control removes a lost worker from the endpoint table.
pub const LOSS_DETECTION_TIME: Duration = Duration::from_secs(10);

/// A deployment at its present size.
pub struct Deployment {
    pub name: &'static str,
    /// Executors in each data centre; there is one entry in each.
    pub executors: &'static [usize],
    /// One-way delay between data centres.
    pub remote_delay: Duration,
}

impl Deployment {
    pub fn both() -> [Self; 2] {
        [
            Self {
                name: "booking desk",
                executors: &[3, 3, 3, 2],
                remote_delay: Duration::from_micros(1000),
            },
            Self {
                name: "pen-pal desk",
                executors: &[4, 4, 3],
                remote_delay: Duration::from_micros(1500),
            },
        ]
    }

    /// Returns the requests per second that all executors together can answer.
    pub fn capacity(&self) -> f64 {
        let slots = self.executors.iter().sum::<usize>() as f64 * f64::from(SLOTS);
        slots / (MIN_SERVICE_TIME + MEAN_EXTRA_SERVICE_TIME).as_secs_f64()
    }
}

/// Faults injected into executors.
#[derive(Clone, Copy)]
pub enum Fault {
    None,
    /// Every `period`, `count` randomly chosen executors serve `factor` times slower for `length`.
    Noise {
        period: Duration,
        length: Duration,
        count: usize,
        factor: f64,
    },
    /// The first `count` executors stop replying at a time.
    Silent {
        at: Duration,
        count: usize,
    },
}

/// One experiment.
pub struct Experiment {
    pub name: &'static str,
    pub length: Duration,
    /// Latency-critical load, as a share of the capacity.
    pub critical: f64,
    /// Batch load, as a share of the capacity.
    pub batch: f64,
    pub deadline: Duration,
    pub fault: Fault,
}

pub fn all_experiments() -> Vec<Experiment> {
    let day = |name, fault| Experiment {
        name,
        length: Duration::from_secs(25),
        critical: 0.55,
        batch: 0.0,
        deadline: Duration::from_secs(2),
        fault,
    };
    let at = Duration::from_secs(10);
    let waves = |count, factor| Fault::Noise {
        period: Duration::from_secs(4),
        length: Duration::from_secs(2),
        count,
        factor,
    };
    vec![
        day("ordinary day", Fault::None),
        day("noisy waves", waves(3, 5.0)),
        Experiment { critical: 0.35, ..day("noisy waves, half the executors", waves(5, 4.0)) },
        Experiment { critical: 1.2, batch: 0.8, ..day("merger, twice the load", Fault::None) },
        Experiment { critical: 0.7, batch: 1.3, ..day("merger, mostly batch", Fault::None) },
        Experiment { critical: 2.0, ..day("merger, all latency-critical", Fault::None) },
        day("instance lost", Fault::Silent { at, count: 1 }),
        day("rack lost", Fault::Silent { at, count: 3 }),
        Experiment { critical: 0.45, ..day("yard lost", Fault::Silent { at, count: 4 }) },
    ]
}
