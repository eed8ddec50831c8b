//! Counters of an experiment, and the printed tables.

use {
    crate::{
        deployment::{Deployment, Experiment},
        variant::VariantKind,
    },
    hdrhistogram::Histogram,
    proto::messages::PriorityClass,
    std::time::Duration,
};

const MICROS_PER_MILLI: f64 = 1000.0;

#[derive(Clone, Default)]
pub struct ClassTally {
    pub offered: u64,
    pub accepted: u64,
    pub in_time: u64,
    pub in_window: u64,
}

pub struct Tally {
    seconds: f64,
    pub critical: ClassTally,
    pub batch: ClassTally,
    pub latency: Histogram<u64>,
    pub retries: u64,
    pub hedges: u64,
    pub all_requests: u64,
    pub overcommits: u64,
}

impl Tally {
    pub fn new(seconds: f64) -> Self {
        Self {
            seconds,
            critical: ClassTally::default(),
            batch: ClassTally::default(),
            latency: Histogram::new(3).expect("three digits are allowed"),
            retries: 0,
            hedges: 0,
            all_requests: 0,
            overcommits: 0,
        }
    }

    fn class(&mut self, priority: PriorityClass) -> &mut ClassTally {
        match priority {
            PriorityClass::Batch => &mut self.batch,
            _ => &mut self.critical,
        }
    }

    pub fn offered(&mut self, priority: PriorityClass) {
        self.class(priority).offered += 1;
    }

    /// Counts a request as accepted at its first dispatch.
    pub fn dispatched(&mut self, priority: PriorityClass, dispatch: u32) {
        self.class(priority).accepted += u64::from(dispatch == 0);
    }

    pub fn record_outcome(
        &mut self,
        priority: PriorityClass,
        in_time: Option<Duration>,
        in_window: bool,
    ) {
        let class = self.class(priority);
        let Some(latency) = in_time else { return };
        class.in_time += 1;
        class.in_window += u64::from(in_window);
        if priority != PriorityClass::Batch {
            self.latency.record(latency.as_micros() as u64).expect("it grows as needed");
        }
    }

    pub fn merge(mut self, other: Self) -> Self {
        self.seconds += other.seconds;
        for (mine, theirs) in
            [(&mut self.critical, &other.critical), (&mut self.batch, &other.batch)]
        {
            mine.offered += theirs.offered;
            mine.accepted += theirs.accepted;
            mine.in_time += theirs.in_time;
            mine.in_window += theirs.in_window;
        }
        self.latency.add(&other.latency).expect("both grow as needed");
        self.retries += other.retries;
        self.hedges += other.hedges;
        self.all_requests += other.all_requests;
        self.overcommits += other.overcommits;
        self
    }

    fn millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    fn row(&self, capacity: f64) -> String {
        let percent = |part: u64, whole: u64| match whole {
            0 => "-".to_owned(),
            _ => format!("{:.2}%", 100.0 * part as f64 / whole as f64),
        };
        let accepted = self.critical.accepted + self.batch.accepted;
        let in_time = self.critical.in_time + self.batch.in_time;
        let goodput = |class: &ClassTally| {
            format!("{:.1}%", 100.0 * class.in_window as f64 / self.seconds / capacity)
        };
        let per_request = |count: u64| format!("{:.4}", count as f64 / self.all_requests as f64);
        [
            format!("{:.1}", self.millis(0.5)),
            format!("{:.1}", self.millis(0.99)),
            format!("{:.1}", self.millis(0.999)),
            percent(self.critical.in_time, self.critical.offered),
            percent(in_time, accepted),
            goodput(&self.critical),
            goodput(&self.batch),
            per_request(self.retries),
            per_request(self.hedges),
            self.overcommits.to_string(),
        ]
        .join(" | ")
    }
}

pub fn print_table(
    deployment: &Deployment,
    experiment: &Experiment,
    runs: &[(VariantKind, Tally)],
) {
    println!("\n### {}, {}\n", experiment.name, deployment.name);
    println!(
        "| variant | p50 ms | p99 ms | p99.9 ms | in time, of offered | in time, of accepted \
         | latency-critical goodput | batch goodput | retries each | hedges each | overcommits |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (kind, tally) in runs {
        println!("| {} | {} |", kind.name(), tally.row(deployment.capacity()));
    }
    let best = runs
        .iter()
        .filter(|(kind, _)| kind.is_baseline())
        .map(|(_, tally)| tally.millis(0.99))
        .fold(f64::INFINITY, f64::min);
    let own = runs[0].1.millis(0.99);
    println!("\np99 against the best baseline: {:.2}", own / best);
}
