//! For which services the routes leave open which of several services began a stream: a route sends
//! to more than one service, or did so or sent to another one when streams began that can still be
//! resumed.
//!
//! Invariant: a service whose routes were altered within [`ORIGIN_RETENTION`] is ambiguous, both if
//! it was added to a route and if it was taken from one.

use super::ORIGIN_RETENTION;
use crate::{Route, RouteTable};
use courseshunt_types::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// Services whose routes lead, or led recently, to several services.
#[derive(Debug, Default)]
pub struct RouteServices {
    /// Services of routes that send to several services.
    split: BTreeSet<String>,
    /// Services of routes that were altered or split before, and when this ended.
    altered_at: BTreeMap<String, Timestamp>,
    /// Services to which the paths of removed routes led, by host and prefix of the route, and when
    /// it was removed.
    removed: BTreeMap<(String, String), (BTreeSet<String>, Timestamp)>,
}

impl RouteServices {
    /// Applies a change of the configuration in force.
    pub fn apply(&mut self, before: Option<&RouteTable>, after: &RouteTable, now: Timestamp) {
        self.forget_expired(now);
        for service in std::mem::take(&mut self.split) {
            self.altered_at.insert(service, now);
        }
        for route in &after.configuration().routes {
            let services = services_of(route);
            if services.len() > 1 {
                self.split.extend(services);
            }
        }
        if let Some(before) = before {
            self.apply_alterations(before, after, now);
        }
    }

    /// Whether a stream on a route to this service may have begun at another service.
    #[must_use]
    pub fn may_have_begun_elsewhere(&self, service: &str, now: Timestamp) -> bool {
        let altered_at = self.altered_at.get(service);
        self.split.contains(service) || altered_at.is_some_and(|at| is_recent(*at, now))
    }

    /// The services whose routes were altered recently, and when.
    pub fn alterations(&self) -> impl Iterator<Item = (&str, Timestamp)> {
        let altered_at = self.altered_at.iter();
        altered_at.map(|(service, at)| (service.as_str(), *at))
    }

    /// Compares where the paths of all routes led and lead: a route may also be altered by another
    /// one with a longer prefix.
    fn apply_alterations(&mut self, before: &RouteTable, after: &RouteTable, now: Timestamp) {
        let routes = before.configuration().routes.iter();
        let routes = routes.chain(&after.configuration().routes);
        let keys = routes.map(|route| (route.host.clone(), route.prefix.clone()));
        let keys: BTreeSet<(String, String)> = keys.chain(self.removed.keys().cloned()).collect();
        for key in keys {
            let (host, prefix) = &key;
            let led_to = services_at(before, host, prefix);
            let leads_to = services_at(after, host, prefix);
            if leads_to.is_empty() {
                if !led_to.is_empty() {
                    self.removed.insert(key, (led_to, now));
                }
                continue;
            }
            let led_to = match led_to.is_empty() {
                // The route may have led to another service before it was removed.
                true => self.removed.remove(&key).map(|(services, _)| services),
                false => Some(led_to),
            };
            if let Some(led_to) = led_to
                && led_to != leads_to
            {
                for service in led_to.into_iter().chain(leads_to) {
                    self.altered_at.insert(service, now);
                }
            }
        }
    }

    fn forget_expired(&mut self, now: Timestamp) {
        self.altered_at.retain(|_, at| is_recent(*at, now));
        self.removed.retain(|_, (_, at)| is_recent(*at, now));
    }
}

/// Names of the services to which a route sends.
fn services_of(route: &Route) -> BTreeSet<String> {
    let targets = route.targets.iter().filter(|target| target.weight > 0.0);
    targets.map(|target| target.service.clone()).collect()
}

/// Names of the services to which requests at this prefix are sent; none without a route.
fn services_at(table: &RouteTable, host: &str, prefix: &str) -> BTreeSet<String> {
    let route = table.find(host, prefix);
    route.map(|route| services_of(route)).unwrap_or_default()
}

/// Whether a stream that began at `since` can still be resumed.
fn is_recent(since: Timestamp, now: Timestamp) -> bool {
    now.since(since) <= ORIGIN_RETENTION
}
