//! Learns from measurements, which may arrive late.

use {
    super::FleetModel,
    crate::{
        classes::ClassIndex,
        interface::{ServiceSample, TaskSample, WorkerSample},
        interference::{
            smooth_rate, LoadLevel, Occupancy, PairVictim, ServiceReading, SlowdownReading,
        },
    },
    base::{CpuMillis, WorkerId},
    std::time::Duration,
};

/// The time that the first sample of a worker is presumed to cover.
const FIRST_SAMPLE_SPAN: Duration = Duration::from_secs(1);
/// The variance, in squared percent, of a service's slowdown that remains however many requests are
/// measured.
const SERVICE_NOISE: f64 = 10.0;
/// The part of the variance that shrinks with the number of requests, for one request, in squared
/// percent.
const REQUEST_NOISE: f64 = 5_000.0;
/// The relative error of the linear model in a measured slowdown.
const MODEL_ERROR: f64 = 0.1;
/// The variance of a batch task's slowdown, in squared percent.
const TASK_NOISE: f64 = 100.0;
/// The number of classes of batch tasks that are learned from one sample.
const CLASSES_PER_SAMPLE: usize = 3;
/// The number of samples of a task that count towards the correction of its job, besides those with
/// a new peak.
const CORRECTION_SAMPLES: u32 = 3;
/// The bound to which measured slowdowns are clamped, in percent.
const SLOWDOWN_LIMIT: f64 = 1000.0;
/// The number of standard deviations from the expected slowdown beyond which a measured one is
/// taken for a real change.
const OUTLIER_DEVIATIONS: f64 = 2.5;
/// The weight of a measurement that shows a real change.
const QUICK_GAIN: f64 = 0.5;
/// The weight of a measurement that may be noise.
const SLOW_GAIN: f64 = 0.08;
/// The total share of the processors below which a service counts as having no neighbours.
const ALONE_SHARE: f64 = 0.005;

/// The occupancy of a worker while a sample was taken.
struct SampleWindow {
    from: Duration,
    shares: Occupancy,
    cpu: CpuMillis,
}

impl FleetModel {
    pub(super) fn learn(&mut self, now: Duration, sample: &WorkerSample) {
        let Some(state) = self.workers.get_mut(&sample.worker) else {
            return;
        };
        let last = state.last_sample;
        if last.is_some_and(|last| sample.taken_at <= last) {
            return;
        }
        state.last_sample = Some(sample.taken_at);
        let to = sample.taken_at;
        let from = last.unwrap_or_else(|| to.saturating_sub(FIRST_SAMPLE_SPAN));
        let cpu = state.view.capacity.cpu;
        let window = state.history.during(from, to).map(|shares| SampleWindow {
            from,
            shares: shares.clone(),
            cpu,
        });
        self.learn_usage(now, sample);
        let elapsed = to.saturating_sub(from);
        for service in sample.services.iter().filter(|service| service.requests > 0) {
            self.learn_service(now, sample, service, elapsed, window.as_ref());
        }
        if let Some(window) = &window {
            self.learn_tasks(now, sample, window);
        }
        if let Some(state) = self.workers.get_mut(&sample.worker) {
            state.forget_services(now);
        }
        self.mark_changed(now, &sample.worker);
    }

    fn learn_usage(&mut self, now: Duration, sample: &WorkerSample) {
        for task in &sample.tasks {
            let Some(entry) = self.reservations.get_mut(&task.task) else {
                continue;
            };
            if entry.task.attempt != task.attempt || entry.since > sample.taken_at {
                continue;
            }
            let is_new_peak = !task.used.fits_in(&entry.peak);
            if is_new_peak || entry.samples < CORRECTION_SAMPLES {
                entry.samples += 1;
                entry.peak = entry.peak.max_each(&task.used);
                let throttled = entry.throttle < 100 || entry.throttled_at > sample.taken_at;
                self.corrections.learn_use(&entry.task.waiting, &task.used, throttled);
            }
            if entry.used != task.used {
                self.change_reservation(now, &task.task, |entry| entry.used = task.used);
            }
        }
    }

    fn learn_service(
        &mut self,
        now: Duration,
        sample: &WorkerSample,
        service: &ServiceSample,
        elapsed: Duration,
        window: Option<&SampleWindow>,
    ) {
        let class = self.service_class(&sample.worker, service);
        let Some(state) = self.workers.get_mut(&sample.worker) else {
            return;
        };
        let known = state.service_mut(now, &service.service, class);
        let rate = smooth_rate(known.rate, service.requests, elapsed);
        let level = self.loads.level(sample.taken_at, &service.service, rate, known.level);
        (known.level, known.rate, known.seen) = (level, Some(rate), now);
        let Some(window) = window else {
            return;
        };
        let others = window.shares.iter().filter(|share| share.class != class);
        let neighbours: Vec<(ClassIndex, f64)> =
            others.map(|share| (share.class, share.active_part(window.cpu))).collect();
        let is_alone = neighbours.iter().map(|(_, share)| share).sum::<f64>() < ALONE_SHARE;
        let reading = ServiceReading::new(service.requests, service.mean, service.p99);
        let victim = PairVictim { class, level };
        let expected = self.pairs.forecast(now, victim, neighbours.iter().copied()).mean;
        let percent = self
            .baselines
            .slowdown_percent(&service.service, level, reading, (!is_alone).then_some(expected))
            .clamp(-SLOWDOWN_LIMIT, SLOWDOWN_LIMIT);
        let noise_floor = SERVICE_NOISE + REQUEST_NOISE / service.requests as f64;
        let residual = percent - expected - known.unexplained;
        let gain = if residual.abs() > OUTLIER_DEVIATIONS * noise_floor.sqrt() {
            QUICK_GAIN
        } else {
            SLOW_GAIN
        };
        known.unexplained += gain * residual;
        let noise = noise_floor + (MODEL_ERROR * percent).powi(2);
        self.pairs.learn(now, SlowdownReading { victim, neighbours: &neighbours, percent, noise });
    }

    /// Returns the class of the service's tasks on the worker, or a class named after the service
    /// when the worker runs the service outside any reservation.
    fn service_class(&mut self, worker: &WorkerId, service: &ServiceSample) -> ClassIndex {
        let known = self
            .workers
            .get(worker)
            .and_then(|state| state.services.iter().find(|known| known.service == service.service));
        match (known, service.service.as_str().parse()) {
            (Some(known), _) => known.class,
            (None, Ok(name)) => self.classes.index(&name),
            (None, Err(_)) => ClassIndex::LAST,
        }
    }

    /// Learns the slowdown of at most [`CLASSES_PER_SAMPLE`] classes, from one task each: other
    /// tasks of the class have almost the same neighbours.
    fn learn_tasks(&mut self, now: Duration, sample: &WorkerSample, window: &SampleWindow) {
        let mut done = [ClassIndex::LAST; CLASSES_PER_SAMPLE];
        let mut count = 0;
        let start = self.random.below(sample.tasks.len());
        let (before, after) = sample.tasks.split_at(start);
        for task in after.iter().chain(before) {
            if count == CLASSES_PER_SAMPLE {
                return;
            }
            let Some(entry) = self.reservations.get(&task.task) else {
                continue;
            };
            let settled = entry.task.attempt == task.attempt
                && entry.throttle == 100
                && entry.throttled_at <= window.from;
            if !settled
                || entry.task.waiting.service.is_some()
                || done[..count].contains(&entry.class)
            {
                continue;
            }
            done[count] = entry.class;
            count += 1;
            let mut others = window.shares.clone();
            others.subtract(&entry.contribution().share);
            let neighbours: Vec<(ClassIndex, f64)> =
                others.iter().map(|share| (share.class, share.active_part(window.cpu))).collect();
            let victim = PairVictim { class: entry.class, level: LoadLevel::default() };
            let percent = slowdown_of(task);
            let noise = TASK_NOISE + (MODEL_ERROR * percent).powi(2);
            self.pairs
                .learn(now, SlowdownReading { victim, neighbours: &neighbours, percent, noise });
        }
    }
}

fn slowdown_of(task: &TaskSample) -> f64 {
    let speed = f64::from(task.speed_permille.max(1));
    ((1000.0 / speed - 1.0) * 100.0).clamp(0.0, SLOWDOWN_LIMIT)
}
