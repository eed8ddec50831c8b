//! Writes log lines, one JSON object each, to standard output. The volume is bounded, and a slow
//! reader never blocks the event loop. Every event is counted in the metrics, also when its line is
//! dropped.

use {
    crossbeam::channel::{bounded, Sender, TrySendError},
    serde::Serialize,
    std::{
        cell::RefCell,
        io::{self, Write},
        rc::Rc,
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    telemetry::metrics::{CounterKind, DurationKind, GaugeKind, MetricsError, ProcessMetrics},
    tokio::{sync::Notify, time::sleep},
    workflow::{
        control::{CordonFigures, WaitFigures},
        event::{FlowEvent, ReservationEnd},
        job::RunNumber,
        state::JobOutcome,
    },
};

/// The most lines that a process writes in a second: about twice what a process of the largest
/// deployment writes at its busiest.
const LINES_PER_SECOND: u32 = 400;
/// The lines beyond these that only warnings and errors may use, so that a flood of others does not
/// hide them.
const WARNINGS_PER_SECOND: u32 = 40;
/// Time after which buffered lines go to the writer thread if it is idle. A process that is killed
/// loses the lines of this time.
const FLUSH_DELAY: Duration = Duration::from_millis(10);
/// The same time while the writer thread is behind, so that the blocks of several seconds may wait.
const BUSY_FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Blocks that may wait while the reader of the output is behind.
const QUEUED_BLOCKS: usize = 16;

#[derive(Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    process: &'a str,
    number: u16,
    #[serde(flatten)]
    event: &'a FlowEvent,
}

#[derive(Debug)]
struct LogBuffer {
    lines: Vec<u8>,
    /// The second that `count` belongs to.
    second: u64,
    /// The lines of this second.
    count: u32,
    dropped: u64,
}

/// Writes the log lines of a process and keeps its metrics.
#[derive(Clone)]
pub struct LineLog {
    process: Rc<str>,
    metrics: Rc<ProcessMetrics>,
    buffer: Rc<RefCell<LogBuffer>>,
    blocks: Sender<Vec<u8>>,
    /// Wakes the flushing task when the first line is buffered.
    buffered: Rc<Notify>,
}

impl LineLog {
    /// Starts the writer thread. Must be called on a `LocalSet`.
    pub fn start(process: &str) -> io::Result<Self> {
        Self::start_on(process, io::stdout())
    }

    fn start_on(process: &str, mut output: impl Write + Send + 'static) -> io::Result<Self> {
        let (blocks, queued) = bounded::<Vec<u8>>(QUEUED_BLOCKS);
        thread::Builder::new().name("log".to_owned()).spawn(move || {
            for block in queued {
                // If nobody reads the output, the failure can't be reported either.
                let _ = output.write_all(&block).and_then(|()| output.flush());
            }
        })?;
        let buffer = LogBuffer { lines: Vec::new(), second: 0, count: 0, dropped: 0 };
        let buffer = Rc::new(RefCell::new(buffer));
        let metrics = Rc::new(ProcessMetrics::new());
        let buffered = Rc::new(Notify::new());
        let log = Self { process: process.into(), metrics, buffer, blocks, buffered };
        let flushing = log.clone();
        tokio::task::spawn_local(async move {
            loop {
                flushing.buffered.notified().await;
                sleep(FLUSH_DELAY).await;
                if !flushing.blocks.is_empty() {
                    sleep(BUSY_FLUSH_DELAY - FLUSH_DELAY).await;
                }
                flushing.flush();
            }
        });
        Ok(log)
    }

    /// Counts the event and writes its line, unless the limit of this second is reached.
    pub fn record(&self, event: &FlowEvent) {
        self.count(event);
        let at_ms = wall_ms();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.second != at_ms / 1000 {
            buffer.second = at_ms / 1000;
            buffer.count = 0;
            let dropped = std::mem::take(&mut buffer.dropped);
            if dropped > 0 {
                self.write(&mut buffer, at_ms, &FlowEvent::LinesDropped { count: dropped });
            }
        }
        let reserve = if event.is_warning() { WARNINGS_PER_SECOND } else { 0 };
        if buffer.count >= LINES_PER_SECOND + reserve {
            buffer.dropped += 1;
            return;
        }
        buffer.count += 1;
        self.write(&mut buffer, at_ms, event);
    }

    fn count(&self, event: &FlowEvent) {
        self.metrics.add(CounterKind::FlowEvents, event.name(), 1);
        match event {
            FlowEvent::TaskPlaced { run, after_ms, .. } => {
                let case = if *run == RunNumber(1) { "first" } else { "later" };
                self.observe(DurationKind::FlowStart, case, Duration::from_millis(*after_ms));
            }
            FlowEvent::JobEnded { outcome, after_ms, .. } => {
                let case = match outcome {
                    JobOutcome::Succeeded => "succeeded",
                    JobOutcome::Failed => "failed",
                    JobOutcome::Cancelled => "cancelled",
                };
                self.observe(DurationKind::FlowJob, case, Duration::from_millis(*after_ms));
            }
            FlowEvent::JobDeferred { retry_after_ms, .. } => {
                let delay = Duration::from_millis(*retry_after_ms);
                self.observe(DurationKind::FlowRetry, "overloaded", delay);
            }
            FlowEvent::ReservationDropped { end, held_ms, .. } => {
                let case = match end {
                    ReservationEnd::Met => "met",
                    ReservationEnd::GivenUp => "given_up",
                    ReservationEnd::Superseded => "superseded",
                    ReservationEnd::JobEnded => "job_ended",
                };
                let held = Duration::from_millis(*held_ms);
                self.observe(DurationKind::FlowReservation, case, held);
            }
            _ => {}
        }
    }

    /// Adds a duration to a distribution. `case` must come from a small fixed set.
    pub fn observe(&self, kind: DurationKind, case: &'static str, value: Duration) {
        self.metrics.observe(kind, case, value);
    }

    /// Sets the gauges of cordoned data centres.
    pub fn set_cordon_figures(&self, figures: &CordonFigures) {
        self.metrics.set(GaugeKind::CordonedDataCentres, figures.data_centres as u64);
        self.metrics.set(GaugeKind::CordonWaitingJobs, figures.waiting_jobs as u64);
        for (kind, runs) in [
            ("lasting", figures.lasting),
            ("checkpointing", figures.checkpointing),
            ("other", figures.other),
        ] {
            self.metrics.set_case(GaugeKind::CordonedRuns, kind, runs as u64);
        }
    }

    /// Sets the gauges of tasks that do not run.
    pub fn set_wait_figures(&self, figures: &WaitFigures) {
        self.metrics.set(GaugeKind::WaitingJobs, figures.waiting_jobs as u64);
        self.metrics.set(GaugeKind::UnconfirmedRuns, figures.unconfirmed_runs as u64);
    }

    /// Sets the number of jobs that were cancelled before they were submitted.
    pub fn set_withdrawn_jobs(&self, jobs: usize) {
        self.metrics.set(GaugeKind::WithdrawnJobs, jobs as u64);
    }

    /// Returns all metrics of the process in the Prometheus text format.
    pub fn export_metrics(&self) -> Result<String, MetricsError> {
        self.metrics.export()
    }

    fn write(&self, buffer: &mut LogBuffer, at_ms: u64, event: &FlowEvent) {
        if buffer.lines.is_empty() {
            self.buffered.notify_one();
        }
        let line = LogLine { at_ms, process: &self.process, number: event.number(), event };
        if serde_json::to_writer(&mut buffer.lines, &line).is_ok() {
            buffer.lines.push(b'\n');
        }
    }

    /// Passes the buffered lines to the writer thread. Drops them if the thread is too far behind.
    pub fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.lines.is_empty() {
            return;
        }
        let lines = std::mem::take(&mut buffer.lines);
        if let Err(TrySendError::Full(lines)) = self.blocks.try_send(lines) {
            buffer.dropped += lines.iter().filter(|byte| **byte == b'\n').count() as u64;
        }
    }
}

/// Returns the milliseconds since the Unix epoch. Only for log lines, schedules and seeds.
pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

#[cfg(test)]
#[path = "../../tests/unit/logging.rs"]
mod tests;
