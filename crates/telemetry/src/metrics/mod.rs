//! What a process counts and times, by `opentelemetry`, read at `/metrics`.
//!
//! Names follow the semantic conventions of OpenTelemetry where these have one. Every instrument
//! is a line of one list, which a test compares with `docs/METRICS.md`.

#[macro_use]
mod macros;
mod instruments;

pub use instruments::{CounterKind, DurationKind, GaugeKind};

use {
    opentelemetry::{
        metrics::{Counter, Gauge, Histogram, MeterProvider},
        KeyValue,
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
    snafu::{ResultExt, Snafu},
    std::time::Duration,
};

const METER_NAME: &str = "mangorouter";
/// Upper bounds of the buckets of every duration, in seconds.
const DURATION_BUCKETS: [f64; 16] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0,
];

/// What kind of instrument a line of the list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstrumentKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
    /// A distribution of durations.
    Histogram,
}

/// One line of the list of instruments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstrumentLine {
    /// The name, by OpenTelemetry's conventions.
    pub name: &'static str,
    /// The kind.
    pub kind: InstrumentKind,
    /// The unit, by UCUM.
    pub unit: &'static str,
    /// What it tells.
    pub meaning: &'static str,
}

/// Every instrument.
pub fn all_instruments() -> Vec<InstrumentLine> {
    [CounterKind::LINES, GaugeKind::LINES, DurationKind::LINES].concat()
}

/// Why metrics can't be read.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter and the registry disagree.
    #[snafu(display("metrics can't be exported: {source}"))]
    Export {
        /// What the library reported.
        source: prometheus::Error,
    },
}

/// The instruments of one process.
pub struct ProcessMetrics {
    registry: Registry,
    counters: Vec<Counter<u64>>,
    gauges: Vec<Gauge<u64>>,
    durations: Vec<Histogram<f64>>,
    /// Keeps the reader alive that fills the registry.
    _provider: SdkMeterProvider,
}

impl Default for ProcessMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl ProcessMetrics {
    /// Instruments that stand at zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_) => builder.build(),
        };
        let meter = provider.meter(METER_NAME);
        let counter = |line: &InstrumentLine| {
            meter.u64_counter(line.name).with_unit(line.unit).with_description(line.meaning).build()
        };
        let gauge = |line: &InstrumentLine| {
            meter.u64_gauge(line.name).with_unit(line.unit).with_description(line.meaning).build()
        };
        let duration = |line: &InstrumentLine| {
            meter
                .f64_histogram(line.name)
                .with_unit(line.unit)
                .with_description(line.meaning)
                .with_boundaries(DURATION_BUCKETS.to_vec())
                .build()
        };
        Self {
            counters: CounterKind::LINES.iter().map(counter).collect(),
            gauges: GaugeKind::LINES.iter().map(gauge).collect(),
            durations: DurationKind::LINES.iter().map(duration).collect(),
            registry,
            _provider: provider,
        }
    }

    /// Adds to a counter. `label` tells cases apart and must come from a small fixed set.
    pub fn add(&self, counter: CounterKind, label: &'static str, amount: u64) {
        self.counters[counter as usize].add(amount, &[KeyValue::new("case", label)]);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: GaugeKind, value: u64) {
        self.gauges[gauge as usize].record(value, &[]);
    }

    /// Adds a duration to a distribution. `label` must come from a small fixed set.
    pub fn observe(&self, duration: DurationKind, label: &'static str, value: Duration) {
        let labels = [KeyValue::new("case", label)];
        self.durations[duration as usize].record(value.as_secs_f64(), &labels);
    }

    /// All instruments in the text format of Prometheus.
    pub fn export(&self) -> Result<String, MetricsError> {
        TextEncoder::new().encode_to_string(&self.registry.gather()).context(ExportSnafu)
    }
}
