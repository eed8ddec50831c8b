//! Slopes and tables.

use std::time::Duration;

/// The straight line through points, by least squares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FittedLine {
    /// The value at zero.
    pub(crate) base: f64,
    /// What one more costs.
    pub(crate) slope: f64,
}

impl FittedLine {
    /// The line through `points`.
    pub(crate) fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let joint: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
        let slope = if spread == 0.0 { 0.0 } else { joint / spread };
        Self { base: mean_y - slope * mean_x, slope }
    }

    /// The value at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Prints the line through a column of figures and its value at the target.
pub(crate) fn print_line(what: &str, unit: &str, points: &[(f64, f64)], target: f64) {
    let line = FittedLine::through(points);
    println!(
        "- {what}: {:.3} + {:.6} x {unit}; at {target}: {:.2}",
        line.base,
        line.slope,
        line.at(target)
    );
}

/// The value below which the given share of durations lies.
pub(crate) fn quantile(durations: &[Duration], share: f64) -> Duration {
    let mut sorted = durations.to_vec();
    sorted.sort();
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1));
    sorted.get(index - 1).copied().unwrap_or_default()
}
