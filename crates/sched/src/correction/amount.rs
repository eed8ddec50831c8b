//! How much the tasks of a class use of one resource, or how long they run, foreseen either as an
//! amount of its own or as a multiple of the declaration, whichever has proved steadier.

/// The weight of a new observation.
const GAIN: f64 = 0.1;
/// The observations before the weight falls to [`GAIN`].
const EARLY_OBSERVATIONS: u32 = 10;
/// The observations that a forecast needs.
const LEAST_OBSERVATIONS: u32 = 3;
/// The variance of the logarithm above which nothing can be foreseen.
const LARGEST_VARIANCE: f64 = 0.5;
/// The number of standard deviations by which a forecast exceeds the mean.
const CAUTION: f64 = 1.3;

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

    fn cautious(&self) -> f64 {
        (self.mean + CAUTION * self.variance.sqrt()).exp()
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
    /// Learns from a finished task. Amounts of nothing teach nothing.
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

    /// What a task that declares so much is expected not to exceed.
    pub(super) fn expected(&self, declared: f64) -> Option<f64> {
        if self.count < LEAST_OBSERVATIONS {
            return None;
        }
        let (steadier, scale) = if self.amount.variance < self.ratio.variance {
            (self.amount, 1.0)
        } else {
            (self.ratio, declared)
        };
        (steadier.variance <= LARGEST_VARIANCE).then(|| steadier.cautious() * scale)
    }
}
