//! Fitted lines and quantiles.

use std::time::Duration;

/// A straight line fitted through points by least squares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FittedLine {
    /// Value at zero.
    pub(crate) base: f64,
    /// Increase per unit.
    pub(crate) slope: f64,
}

impl FittedLine {
    /// Fits a line through `points`.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum_xx: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if sum_xx == 0.0 { 0.0 } else { sum_xy / sum_xx };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// Returns the value at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Prints the line fitted through `points`, and its value at the target.
pub(crate) fn print_fit(what: &str, unit: &str, points: &[(f64, f64)], target: f64) {
    let line = FittedLine::through(points);
    println!(
        "- {what}: {:.3} + {:.6} x {unit}; at {target}: {:.2}",
        line.base,
        line.slope,
        line.at(target)
    );
}

/// Returns the nearest-rank quantile of the durations for the given share; zero without durations.
pub(crate) fn quantile(durations: &[Duration], share: f64) -> Duration {
    let mut sorted = durations.to_vec();
    sorted.sort();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(index - 1).copied().unwrap_or_default()
}
