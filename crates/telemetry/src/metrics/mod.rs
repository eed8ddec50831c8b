//! The metrics of a process, recorded with `opentelemetry` and served at `/metrics`.
//!
//! Names follow the semantic conventions of OpenTelemetry where one exists. Every instrument is a
//! line of one list; a test checks `docs/METRICS.md` against that list.

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
/// Upper bounds of the buckets of every duration histogram, in seconds.
const DURATION_BUCKETS: [f64; 16] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0,
];

/// The kind of an instrument.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstrumentKind {
    /// Only increases.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// A distribution of durations.
    Histogram,
}

/// One line of the list of instruments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstrumentLine {
    /// The name, by the conventions of OpenTelemetry.
    pub name: &'static str,
    /// The kind of instrument.
    pub kind: InstrumentKind,
    /// The unit, in UCUM notation.
    pub unit: &'static str,
    /// A one-sentence description of the measured quantity.
    pub meaning: &'static str,
}

/// Returns all instruments: counters, gauges, then histograms.
pub fn all_instruments() -> Vec<InstrumentLine> {
    [CounterKind::LINES, GaugeKind::LINES, DurationKind::LINES].concat()
}

/// The reason why metrics can't be exported.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The encoder could not write the registry's metrics.
    #[snafu(display("metrics can't be exported: {source}"))]
    Export {
        /// The error that the library reported.
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
    /// Creates the instruments, all at zero.
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

    /// Adds `amount` to a counter. `label` is the value of the label `case` and must come from a
    /// small fixed set.
    pub fn add(&self, counter: CounterKind, label: &'static str, amount: u64) {
        self.counters[counter as usize].add(amount, &[KeyValue::new("case", label)]);
    }

    /// Sets the value of a gauge.
    pub fn set(&self, gauge: GaugeKind, value: u64) {
        self.gauges[gauge as usize].record(value, &[]);
    }

    /// Sets the value of a gauge for one case. `label` is the value of the label `case` and must come
    /// from a small fixed set.
    pub fn set_case(&self, gauge: GaugeKind, label: &'static str, value: u64) {
        self.gauges[gauge as usize].record(value, &[KeyValue::new("case", label)]);
    }

    /// Adds a duration to a histogram. `label` is the value of the label `case` and must come from
    /// a small fixed set.
    pub fn observe(&self, duration: DurationKind, label: &'static str, value: Duration) {
        let labels = [KeyValue::new("case", label)];
        self.durations[duration as usize].record(value.as_secs_f64(), &labels);
    }

    /// Returns all instruments in the text format of Prometheus.
    pub fn export(&self) -> Result<String, MetricsError> {
        TextEncoder::new().encode_to_string(&self.registry.gather()).context(ExportSnafu)
    }
}
