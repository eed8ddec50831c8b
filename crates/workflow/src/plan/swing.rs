//! Forecasts a level that swings, such as the headroom that a service's own load leaves.
//!
//! The load of a service rises and falls over several seconds, and a best-effort task beside it
//! runs for one or two. A level that is known only as of now says little about the time when the
//! task will run. The model is a mean and an oscillation around it, followed by a Kalman filter.
//! The period is not known: a filter for each of a few periods runs beside the others, and the one
//! whose predictions have been best is used. See `docs/decisions/scale.md`.

use std::{array::from_fn, f64::consts::TAU, time::Duration};

/// The periods for which filters run, in seconds. A period between two of them is followed nearly
/// as well by the closer one.
const PERIODS_S: [f64; PERIODS] = [5.0, 6.0, 7.0, 8.5, 10.0, 12.0, 14.0, 17.0, 20.0, 24.0];
/// The number of periods.
pub(super) const PERIODS: usize = 10;
/// The variance of the mean and of the two components of the oscillation before any observation.
const INITIAL_VARIANCE: f64 = 0.5;
/// Growth of these variances per second: loads don't swing with perfect regularity.
const DRIFT: f64 = 0.1;
/// The position of the period that is assumed before any observation.
const ASSUMED_PERIOD: usize = 5;
/// Weight of one prediction error in the average by which periods are compared.
const MISFIT_GAIN: f64 = 0.001;

type Vector = [f64; 3];
type Matrix = [[f64; 3]; 3];

/// The mean, and the two components of the oscillation, of which the first adds to the level.
#[derive(Debug, Clone, Copy)]
struct SwingFilter {
    state: Vector,
    covariance: Matrix,
}

impl SwingFilter {
    fn new(mean: f64) -> Self {
        let covariance =
            from_fn(|row| from_fn(|column| if row == column { INITIAL_VARIANCE } else { 0.0 }));
        Self { state: [mean, 0.0, 0.0], covariance }
    }

    /// Returns the filter after `elapsed`: the oscillation has turned, and is less certain.
    fn advanced(&self, period_s: f64, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        let (sine, cosine) = (TAU * seconds / period_s).sin_cos();
        let turn = [[1.0, 0.0, 0.0], [0.0, cosine, sine], [0.0, -sine, cosine]];
        let state = from_fn(|row| (0..3).map(|k| turn[row][k] * self.state[k]).sum());
        let turned = product(&turn, &product(&self.covariance, &transposed(&turn)));
        let drifted =
            |variance: f64| (variance + DRIFT * seconds).min(variance.max(INITIAL_VARIANCE));
        let covariance = from_fn(|row| {
            from_fn(|column| {
                let value = turned[row][column];
                if row == column {
                    drifted(value)
                } else {
                    value
                }
            })
        });
        Self { state, covariance }
    }

    fn level(&self) -> f64 {
        self.state[0] + self.state[1]
    }

    /// Returns the level after `elapsed`, without the cost of the covariance.
    fn level_after(&self, period_s: f64, elapsed: Duration) -> f64 {
        let (sine, cosine) = (TAU * elapsed.as_secs_f64() / period_s).sin_cos();
        self.state[0] + cosine * self.state[1] + sine * self.state[2]
    }

    fn level_variance(&self) -> f64 {
        let [mean, first, _] = self.covariance;
        mean[0] + mean[1] + first[0] + first[1]
    }

    fn correct(&mut self, error: f64, total_variance: f64) {
        let effect = self.covariance.map(|row| row[0] + row[1]);
        let gain = effect.map(|effect| effect / total_variance);
        self.state = from_fn(|row| self.state[row] + gain[row] * error);
        self.covariance = from_fn(|row| {
            from_fn(|column| self.covariance[row][column] - gain[row] * effect[column])
        });
    }
}

fn product(one: &Matrix, other: &Matrix) -> Matrix {
    from_fn(|row| from_fn(|column| (0..3).map(|k| one[row][k] * other[k][column]).sum()))
}

fn transposed(matrix: &Matrix) -> Matrix {
    from_fn(|row| from_fn(|column| matrix[column][row]))
}

/// The level of one step, followed under each period.
#[derive(Debug, Clone)]
pub(super) struct SwingLevel {
    filters: [SwingFilter; PERIODS],
    seen: Duration,
}

impl SwingLevel {
    /// Creates a level of which only the mean is assumed.
    pub(super) fn new(now: Duration, mean: f64) -> Self {
        Self { filters: [SwingFilter::new(mean); PERIODS], seen: now }
    }

    /// Moves the level on to `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.seen);
        for (filter, period_s) in self.filters.iter_mut().zip(PERIODS_S) {
            *filter = filter.advanced(period_s, elapsed);
        }
        self.seen = self.seen.max(now);
    }

    /// Returns the level expected at a time.
    pub(super) fn at(&self, time: Duration, periods: &PeriodTable) -> f64 {
        let (filter, period_s) = (self.filters[periods.best], PERIODS_S[periods.best]);
        filter.level_after(period_s, time.saturating_sub(self.seen))
    }

    /// Returns the mean around which the level swings.
    pub(super) fn mean(&self, periods: &PeriodTable) -> f64 {
        self.filters[periods.best].state[0]
    }

    /// Returns the level that each filter expects now, and its variance.
    pub(super) fn expected(&self) -> [(f64, f64); PERIODS] {
        self.filters.each_ref().map(|filter| (filter.level(), filter.level_variance()))
    }

    /// Corrects each filter by the error of its prediction. `total_variances` are those of the
    /// whole predictions, with the observation's own.
    pub(super) fn correct(&mut self, errors: [f64; PERIODS], total_variances: [f64; PERIODS]) {
        let corrections = errors.into_iter().zip(total_variances);
        for (filter, (error, total_variance)) in self.filters.iter_mut().zip(corrections) {
            filter.correct(error, total_variance);
        }
    }
}

/// How well each period has predicted the levels of all steps.
#[derive(Debug, Clone)]
pub(super) struct PeriodTable {
    misfits: [f64; PERIODS],
    best: usize,
}

impl Default for PeriodTable {
    fn default() -> Self {
        Self { misfits: [0.0; PERIODS], best: ASSUMED_PERIOD }
    }
}

impl PeriodTable {
    /// Returns the position of the period that has predicted best.
    pub(super) fn best(&self) -> usize {
        self.best
    }

    /// Adds the errors of the predictions of one observation.
    pub(super) fn add(&mut self, errors: [f64; PERIODS]) {
        for (misfit, error) in self.misfits.iter_mut().zip(errors) {
            *misfit += MISFIT_GAIN * (error * error - *misfit);
        }
        let positions = 0..PERIODS;
        let best =
            positions.min_by(|one, other| self.misfits[*one].total_cmp(&self.misfits[*other]));
        self.best = best.unwrap_or(ASSUMED_PERIOD);
    }
}
