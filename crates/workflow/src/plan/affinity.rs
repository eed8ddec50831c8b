//! Keeps latency-critical tasks together that the same best-effort images disturb.
//!
//! It answers a fleet whose processors are mostly reserved by latency-critical tasks of many images,
//! while best-effort work waits for headroom. A worker tolerates a best-effort image only if every
//! latency-critical task on it does. Where tasks of different sensitivity are mixed on each worker,
//! the whole fleet is closed to most best-effort images although each of them disturbs only some
//! services. See `docs/design/affinity.md`.
//!
//! The *openness* of a worker for a best-effort image is the product of the tolerances of the
//! latency-critical tasks there, so that it also rises when the first of two intolerant tasks
//! leaves. Gains and costs are in units of an average worker's openness, and count more for images
//! to which little of the fleet is open.

use {
    super::{
        interference::{ImageName, InterferenceTable},
        reservations::{ReservationTable, WorkerReservations},
        score::PLANNED_HEADROOM,
        worker::WorkerTable,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The share of a machine that best-effort tasks of one image should be able to use together.
const WANTED_SHARE: f64 = 0.5;
/// The tolerance of a task that best-effort work of an image certainly disturbs. Above 0, so that
/// the second intolerant task on a worker makes a difference.
const MIN_TOLERANCE: f64 = 0.2;
/// The variance of a pair from which on its pressure counts as unknown.
const UNKNOWN_VARIANCE: f64 = 1.5;

/// The tolerance of latency-critical images for best-effort ones, and how open the fleet is.
#[derive(Debug)]
pub(super) struct AffinityTable {
    /// The tolerance of each latency-critical image, in a fixed order of the best-effort images.
    tolerances: BTreeMap<ImageName, Vec<f64>>,
    /// The openness of the fleet for each best-effort image, in machines.
    totals: Vec<f64>,
    /// The number of machines.
    machines: f64,
}

impl AffinityTable {
    /// Derives the table from what is known about the images. Returns `None` while no pair is known.
    pub(super) fn new(
        learned: &InterferenceTable,
        workers: &WorkerTable,
        reservations: &ReservationTable,
    ) -> Option<Self> {
        let known = || learned.estimates().filter(|pair| pair.variance < UNKNOWN_VARIANCE);
        let images: BTreeSet<&ImageName> = known().map(|pair| pair.best_effort).collect();
        if images.is_empty() {
            return None;
        }
        let positions: BTreeMap<&ImageName, usize> =
            images.iter().enumerate().map(|(position, image)| (*image, position)).collect();
        let mut tolerances: BTreeMap<ImageName, Vec<f64>> = BTreeMap::new();
        for pair in known() {
            let spare = learned.image_level(pair.latency_critical) - PLANNED_HEADROOM;
            let wanted = (pair.pressure * WANTED_SHARE).max(f64::MIN_POSITIVE);
            let row = tolerances
                .entry(pair.latency_critical.clone())
                .or_insert_with(|| vec![1.0; images.len()]);
            row[positions[pair.best_effort]] = (spare / wanted).clamp(MIN_TOLERANCE, 1.0);
        }
        let (totals, machines) = (vec![0.0; images.len()], workers.len() as f64);
        let mut table = Self { tolerances, totals, machines };
        for reserved in workers.keys().filter_map(|executor| reservations.of(executor)) {
            let openness = table.openness_of(reserved);
            table.totals.iter_mut().zip(openness).for_each(|(total, open)| *total += open);
        }
        Some(table)
    }

    /// Returns the openness that a worker loses when a task of an image starts there; `None` for an
    /// image about which nothing is known.
    pub(super) fn cost_of_adding(
        &self,
        image: &ImageName,
        reserved: &WorkerReservations,
    ) -> Option<f64> {
        let row = self.tolerances.get(image)?;
        let openness = self.openness_of(reserved);
        let after: Vec<f64> =
            openness.iter().zip(row).map(|(open, factor)| open * factor).collect();
        Some(self.value_of(&openness) - self.value_of(&after))
    }

    /// Returns the value of a worker's openness, in that of an average worker.
    pub(super) fn value_of(&self, openness: &[f64]) -> f64 {
        let shares = openness.iter().zip(&self.totals).map(|(open, total)| open / total.max(1.0));
        shares.sum::<f64>() * self.machines / self.totals.len() as f64
    }

    /// Returns the value of a worker's openness when tasks of two images leave and join it.
    pub(super) fn value_after(
        &self,
        openness: &[f64],
        leaving: Option<&ImageName>,
        joining: Option<&ImageName>,
    ) -> f64 {
        let row_of = |image: Option<&ImageName>| image.and_then(|image| self.tolerances.get(image));
        let (left, joined) = (row_of(leaving), row_of(joining));
        let factor = |row: Option<&Vec<f64>>, number: usize| row.map_or(1.0, |row| row[number]);
        let after = openness.iter().enumerate().map(|(number, open)| {
            let changed = open / factor(left, number) * factor(joined, number);
            changed / self.totals[number].max(1.0)
        });
        after.sum::<f64>() * self.machines / self.totals.len() as f64
    }

    pub(super) fn openness_of(&self, reserved: &WorkerReservations) -> Vec<f64> {
        let mut openness = vec![1.0; self.totals.len()];
        for (step, image) in &reserved.latency_critical {
            let Some(row) = self.tolerances.get(image) else { continue };
            let tasks = reserved.of_step(step) as i32;
            for (open, tolerance) in openness.iter_mut().zip(row) {
                *open *= tolerance.powi(tasks);
            }
        }
        openness
    }
}
