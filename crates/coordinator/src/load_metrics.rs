//! Metrics of the load and speed of instances, as the leader knows them.
//!
//! Invariant: the number of time series is bounded, for any number of instances.

use courseshunt_instance_load::InstanceLoad;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::cmp::Reverse;

/// Number of instances that are exported by name: the slowest ones. All instances of a small
/// fleet are among them.
const MAX_NAMED_INSTANCES: usize = 100;
/// Slowness of an instance without recent measurements, for the order, in thousandths.
const USUAL_SLOWNESS_PERMILLE: u32 = 1_000;

type Labels = Vec<(&'static str, String)>;

/// Metrics of the load and speed of instances.
#[derive(Debug, Default)]
pub(crate) struct LoadMetrics {
    pub(crate) samples: Counter,
    pub(crate) sent: Counter,
    instances: Gauge,
    slowness: Family<Labels, Gauge>,
    work: Family<Labels, Gauge>,
    running: Family<Labels, Gauge>,
    waiting: Family<Labels, Gauge>,
    held_tokens: Family<Labels, Gauge>,
    report_age: Family<Labels, Gauge>,
}

impl LoadMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Entries about load and speed of instances in reports of routers";
        registry.register("load_samples", help, self.samples.clone());
        let help = "Entries about load and speed of instances in messages to routers";
        registry.register("loads_sent", help, self.sent.clone());
        let help = "Instances that report their load; 0 at members that don't lead";
        registry.register("instances_with_load", help, self.instances.clone());
        let help = "Average ratio of the measured to the predicted time to the first event, in \
            thousandths, of the slowest instances; absent without recent measurements";
        registry.register("instance_slowness_permille", help, self.slowness.clone());
        let help = "Last reported duration of work in percent of the usual one";
        registry.register("instance_work_percent", help, self.work.clone());
        let help = "Last reported number of running requests";
        registry.register("instance_running", help, self.running.clone());
        let help = "Last reported number of requests that wait at the instance";
        registry.register("instance_waiting", help, self.waiting.clone());
        let help = "Prompt and output tokens of the requests of all routers in flight";
        registry.register("instance_held_tokens", help, self.held_tokens.clone());
        let help = "Age of the last report of load";
        let name = "instance_load_age_milliseconds";
        registry.register(name, help, self.report_age.clone());
    }

    /// Exports the slowest instances by name.
    pub(crate) fn export(&self, loads: &[InstanceLoad]) {
        self.instances.set(gauge_value(loads.len() as u64));
        self.clear();
        let mut slowest: Vec<&InstanceLoad> = loads.iter().collect();
        slowest.sort_by_key(|load| {
            let slowness = load.slowness_permille.unwrap_or(USUAL_SLOWNESS_PERMILLE);
            Reverse(slowness)
        });
        for load in slowest.into_iter().take(MAX_NAMED_INSTANCES) {
            self.export_instance(load);
        }
    }

    fn clear(&self) {
        for family in [
            &self.slowness,
            &self.work,
            &self.running,
            &self.waiting,
            &self.held_tokens,
            &self.report_age,
        ] {
            family.clear();
        }
    }

    fn export_instance(&self, load: &InstanceLoad) {
        let labels = vec![("instance", load.instance.as_str().to_owned())];
        let set = |family: &Family<Labels, Gauge>, value: u64| {
            family.get_or_create(&labels).set(gauge_value(value));
        };
        set(&self.held_tokens, u64::from(load.held_tokens));
        if let Some(slowness) = load.slowness_permille {
            set(&self.slowness, u64::from(slowness));
        }
        let Some((report, age)) = load.report else {
            return;
        };
        set(&self.work, u64::from(report.work_percent));
        set(&self.running, u64::from(report.running));
        set(&self.waiting, u64::from(report.waiting));
        set(&self.report_age, age.0);
    }
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
