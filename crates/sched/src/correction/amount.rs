//! Predicts how much of one resource the tasks of a class use, or how long they run: either as an
//! absolute amount or as a multiple of the declaration, whichever has varied less.

/// The weight of a new observation.
const GAIN: f64 = 0.1;
/// The number of observations that are weighted equally, before the weight of a new one becomes
/// [`GAIN`].
const EARLY_OBSERVATIONS: u32 = 10;
/// The number of observations that a prediction needs.
const MIN_OBSERVATIONS: u32 = 3;
/// The variance of the natural logarithm above which no prediction is made.
const MAX_VARIANCE: f64 = 0.5;
/// The number of standard deviations by which a prediction exceeds the mean.
const CAUTION_DEVIATIONS: f64 = 1.3;

/// A running mean and variance of a logarithm.
#[derive(Debug, Clone, Copy, Default)]
struct LogAmount {
    mean: f64,
    variance: f64,
}

impl LogAmount {
    fn learn(&mut self, value: f64, gain: f64) {
        let difference = value.ln() - self.mean;
        self.mean += gain * difference;
        self.variance = (1.0 - gain) * (self.variance + gain * difference * difference);
    }

    fn upper_bound(&self) -> f64 {
        (self.mean + CAUTION_DEVIATIONS * self.variance.sqrt()).exp()
    }
}

/// Learns one amount of one class.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct AmountEstimate {
    amount: LogAmount,
    ratio: LogAmount,
    count: u32,
}

impl AmountEstimate {
    /// Learns from a finished task. Ignores amounts of zero, which have no logarithm.
    pub(super) fn learn(&mut self, used: f64, declared: f64) {
        if used <= 0.0 || declared <= 0.0 {
            return;
        }
        self.count = self.count.saturating_add(1);
        let gain =
            if self.count <= EARLY_OBSERVATIONS { 1.0 / f64::from(self.count) } else { GAIN };
        self.amount.learn(used, gain);
        self.ratio.learn(used / declared, gain);
    }

    /// Returns an upper estimate for a task that declares `declared`, if one can be made.
    pub(super) fn expected(&self, declared: f64) -> Option<f64> {
        if self.count < MIN_OBSERVATIONS {
            return None;
        }
        let (steadier, scale) = if self.amount.variance < self.ratio.variance {
            (self.amount, 1.0)
        } else {
            (self.ratio, declared)
        };
        (steadier.variance <= MAX_VARIANCE).then(|| steadier.upper_bound() * scale)
    }
}
