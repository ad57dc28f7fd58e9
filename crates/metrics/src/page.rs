//! One metrics page.

use crate::process::process_usage;
use courseshunt_wire::{KindTraffic, traffic};
use prometheus_client::encoding::text::{encode, encode_registry};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

type Labels = Vec<(&'static str, String)>;
type FloatGauge = Gauge<f64, AtomicU64>;

/// One value of a metric with labels.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Labels, name and value.
    pub labels: Labels,
    /// The value.
    pub value: f64,
}

impl Sample {
    /// A value with one label.
    #[must_use]
    pub fn labelled(name: &'static str, label: impl Into<String>, value: f64) -> Self {
        Self {
            labels: vec![(name, label.into())],
            value,
        }
    }

    /// Adds a label.
    #[must_use]
    pub fn and(mut self, name: &'static str, label: impl Into<String>) -> Self {
        self.labels.push((name, label.into()));
        self
    }
}

/// See the module. Names are given without the prefix `courseshunt_`.
#[derive(Debug)]
pub struct MetricsPage {
    registry: Registry,
}

impl Default for MetricsPage {
    fn default() -> Self {
        Self {
            registry: Registry::with_prefix("courseshunt"),
        }
    }
}

impl MetricsPage {
    /// Adds a value that goes up and down.
    pub fn gauge(&mut self, name: &str, help: &str, value: f64) {
        let gauge = FloatGauge::default();
        gauge.set(value);
        self.registry.register(name, help, gauge);
    }

    /// Adds a value that only grows; `_total` is added to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(name, help, counter);
    }

    /// Adds a value that goes up and down, by labels.
    pub fn gauges(&mut self, name: &str, help: &str, samples: impl IntoIterator<Item = Sample>) {
        let family = Family::<Labels, FloatGauge>::default();
        for sample in samples {
            family.get_or_create(&sample.labels).set(sample.value);
        }
        self.registry.register(name, help, family);
    }

    /// Adds a value that only grows, by labels.
    pub fn counters(&mut self, name: &str, help: &str, samples: impl IntoIterator<Item = Sample>) {
        let family = Family::<Labels, Counter>::default();
        for sample in samples {
            let counter = family.get_or_create(&sample.labels);
            counter.inc_by(sample.value as u64);
        }
        self.registry.register(name, help, family);
    }

    /// Adds a histogram that goes on counting elsewhere.
    pub fn histogram(&mut self, name: &str, help: &str, histogram: Histogram) {
        self.registry.register(name, help, histogram);
    }

    /// Adds what every process of the cluster tells: processor time, memory
    /// and traffic with other processes.
    pub fn process(&mut self) {
        let usage = process_usage();
        self.counter(
            "process_cpu_milliseconds",
            "Processor time of the process.",
            usage.cpu_milliseconds,
        );
        self.gauge(
            "process_resident_bytes",
            "Resident memory of the process.",
            usage.resident_bytes as f64,
        );
        let traffic = traffic();
        let messages = |one: &KindTraffic| (one.sent.messages, one.received.messages);
        let bytes = |one: &KindTraffic| (one.sent.bytes, one.received.bytes);
        self.counters(
            "wire_messages",
            "Messages between processes of the cluster, by kind and direction.",
            directions(&traffic, messages),
        );
        self.counters(
            "wire_bytes",
            "Bytes between processes of the cluster, by kind and direction.",
            directions(&traffic, bytes),
        );
    }

    /// The page.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// The values of a process that keeps its own registry, and what every process
/// tells.
#[must_use]
pub fn page_with_process(registry: &Registry) -> String {
    let mut text = String::new();
    if encode_registry(&mut text, registry).is_err() {
        log::error!("metrics: the values can't be written");
    }
    let mut process = MetricsPage::default();
    process.process();
    text.push_str(&process.text());
    text
}

fn directions(traffic: &[KindTraffic], of: fn(&KindTraffic) -> (u64, u64)) -> Vec<Sample> {
    let pairs = traffic.iter().flat_map(|one| {
        let (sent, received) = of(one);
        [("sent", sent), ("received", received)]
            .map(|(way, value)| Sample::labelled("kind", one.kind, value as f64).and("way", way))
    });
    pairs.collect()
}
