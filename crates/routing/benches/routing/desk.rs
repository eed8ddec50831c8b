//! The two desks, and what befalls them in each experiment.

use std::time::Duration;

pub const SLOTS: u32 = 8;
pub const CONNECTIONS: u32 = 64;
/// Every request takes this long at least, and an exponentially distributed time more.
pub const SERVICE_FLOOR: Duration = Duration::from_millis(10);
pub const SERVICE_REST: Duration = Duration::from_millis(30);
/// One way inside a data centre.
pub const NEAR: Duration = Duration::from_micros(200);
/// The share of requests that may be repeated.
pub const IDEMPOTENT_SHARE: f64 = 0.7;
/// How long control takes to notice that a worker is lost and to take it off the table.
pub const TABLE_LAG: Duration = Duration::from_secs(10);

/// A desk at its size of today.
pub struct Desk {
    pub name: &'static str,
    /// Executors in each data centre; there is one entry in each.
    pub executors: &'static [usize],
    /// One way between data centres.
    pub far: Duration,
}

impl Desk {
    pub fn both() -> [Self; 2] {
        [
            Self {
                name: "booking desk",
                executors: &[3, 3, 3, 2],
                far: Duration::from_micros(1000),
            },
            Self { name: "pen-pal desk", executors: &[4, 4, 3], far: Duration::from_micros(1500) },
        ]
    }

    /// Requests a second that all executors together can answer.
    pub fn capacity(&self) -> f64 {
        let slots = self.executors.iter().sum::<usize>() as f64 * f64::from(SLOTS);
        slots / (SERVICE_FLOOR + SERVICE_REST).as_secs_f64()
    }
}

/// What happens to executors.
#[derive(Clone, Copy)]
pub enum Mishap {
    None,
    /// Every `period`, `count` executors chosen anew serve `factor` times slower for `length`.
    Noise {
        period: Duration,
        length: Duration,
        count: usize,
        factor: f64,
    },
    /// The first `count` executors fall silent at a time.
    Silent {
        at: Duration,
        count: usize,
    },
}

/// One experiment.
pub struct Experiment {
    pub name: &'static str,
    pub length: Duration,
    /// Latency-critical requests, as a share of the capacity.
    pub critical: f64,
    /// Batch requests, as a share of the capacity.
    pub batch: f64,
    pub deadline: Duration,
    pub mishap: Mishap,
}

pub fn all_experiments() -> Vec<Experiment> {
    let day = |name, mishap| Experiment {
        name,
        length: Duration::from_secs(25),
        critical: 0.55,
        batch: 0.0,
        deadline: Duration::from_secs(2),
        mishap,
    };
    let at = Duration::from_secs(10);
    let waves = |count, factor| Mishap::Noise {
        period: Duration::from_secs(4),
        length: Duration::from_secs(2),
        count,
        factor,
    };
    vec![
        day("ordinary day", Mishap::None),
        day("noisy waves", waves(3, 5.0)),
        Experiment { critical: 0.35, ..day("noisy waves, half the executors", waves(5, 4.0)) },
        Experiment { critical: 1.2, batch: 0.8, ..day("merger, twice the load", Mishap::None) },
        Experiment { critical: 0.7, batch: 1.3, ..day("merger, mostly batch", Mishap::None) },
        Experiment { critical: 2.0, ..day("merger, all latency-critical", Mishap::None) },
        day("instance lost", Mishap::Silent { at, count: 1 }),
        day("rack lost", Mishap::Silent { at, count: 3 }),
        Experiment { critical: 0.45, ..day("yard lost", Mishap::Silent { at, count: 4 }) },
    ]
}
