//! Simulates how tasks that share a worker slow each other. Deliberately not linear, unlike the
//! model under test: effects grow faster than shares and rise with the load of the service, and
//! some pairs of batch classes amplify each other's effects.

/// A class of batch task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchClass {
    Report,
    Sweep,
    Import,
    Archive,
}

pub const CLASSES: [BatchClass; 4] =
    [BatchClass::Report, BatchClass::Sweep, BatchClass::Import, BatchClass::Archive];

/// The exponent with which an effect grows with the share.
const CONVEXITY: f64 = 1.2;
/// Percent by which a sweep and an import that each use the whole worker slow a service in
/// addition.
const SYNERGY: f64 = 100.0;

impl BatchClass {
    pub fn name(self) -> &'static str {
        match self {
            Self::Report => "report",
            Self::Sweep => "sweep",
            Self::Import => "import",
            Self::Archive => "archive",
        }
    }

    /// Returns the percent by which the class slows a service at half load when it uses the whole
    /// worker.
    fn on_service(self) -> f64 {
        match self {
            Self::Report => 30.0,
            Self::Sweep => 150.0,
            Self::Import => 300.0,
            Self::Archive => 5.0,
        }
    }

    /// Returns the percent by which the class slows batch tasks when it uses the whole worker.
    fn on_batch(self) -> f64 {
        match self {
            Self::Report => 20.0,
            Self::Sweep => 50.0,
            Self::Import => 80.0,
            Self::Archive => 5.0,
        }
    }
}

/// The part of a worker's processors that each class uses.
pub type ClassActivity = [f64; CLASSES.len()];

/// Returns the percent by which a service is slowed at this utilisation, from 0 to 1.
pub fn service_slowdown(activity: &ClassActivity, utilisation: f64) -> f64 {
    let single: f64 = CLASSES
        .iter()
        .map(|class| class.on_service() * activity[*class as usize].powf(CONVEXITY))
        .sum();
    let sweep = activity[BatchClass::Sweep as usize];
    let import = activity[BatchClass::Import as usize];
    (single + SYNERGY * (sweep * import).sqrt()) * (0.5 + utilisation)
}

/// Returns the percent by which a batch task is slowed; `own` is its own part of its class.
pub fn batch_slowdown(activity: &ClassActivity, class: BatchClass, own: f64) -> f64 {
    CLASSES
        .iter()
        .map(|other| {
            let own = if *other == class { own } else { 0.0 };
            other.on_batch() * (activity[*other as usize] - own).max(0.0)
        })
        .sum()
}
