//! Metrics page of the controller.

use crate::ControllerContext;
use courseshunt_metrics::{MetricsPage, Sample};
use courseshunt_state::{ReplicaPhase, ReplicatedState};
use std::sync::atomic::Ordering;

/// Renders the page from the current values.
pub async fn page(context: &ControllerContext) -> String {
    let members = context.replica.members().await;
    let mut page = MetricsPage::default();
    member(&mut page, context);
    page.gauge(
        "commit_index",
        "Last committed entry of the log that this member knows.",
        members.commit.0 as f64,
    );
    page.histogram(
        "log_sync_seconds",
        "Time of one sync of the log to disk.",
        courseshunt_storage::sync_times(),
    );
    fleet(&mut page, context);
    feed(&mut page, context);
    state(&mut page, &context.replica.state());
    page.process();
    page.text()
}

fn member(page: &mut MetricsPage, context: &ControllerContext) {
    let status = context.replica.status().borrow().clone();
    let leads = f64::from(u8::from(status.leads()));
    let leader = status.leader.map_or(0.0, |leader| leader.0 as f64);
    let has_leader = f64::from(u8::from(status.leader.is_some()));
    page.gauge("leads", "1 while this member leads.", leads);
    page.gauge(
        "has_leader",
        "1 while this member knows a leader.",
        has_leader,
    );
    page.gauge("leader", "Member that leads, 0 for none.", leader);
    page.gauge("term", "Term of the control group.", status.term.0 as f64);
    page.gauge(
        "applied_index",
        "Last applied entry of the log.",
        status.applied.0 as f64,
    );
    page.gauge(
        "revision",
        "Revision of the configuration in force.",
        status.revision.0 as f64,
    );
}

fn fleet(page: &mut MetricsPage, context: &ControllerContext) {
    let routers = context.routers.all();
    page.gauge(
        "routers",
        "Routers that follow this member's feed.",
        routers.len() as f64,
    );
    let revision = context.replica.status().borrow().revision;
    let lagging = routers.iter().filter(|one| one.revision < revision);
    page.gauge(
        "routers_lagging",
        "Routers whose confirmed revision is lower than this member's.",
        lagging.count() as f64,
    );
}

fn feed(page: &mut MetricsPage, context: &ControllerContext) {
    let confirmation = context.feed.confirmation(context.clock.now());
    let age = confirmation.map_or(f64::INFINITY, |(age, _)| age.as_secs_f64());
    page.gauge(
        "feed_age_seconds",
        "Time since a quorum confirmed this member's feed.",
        age,
    );
    let routers = context.routers.all().into_iter();
    let revisions = routers.map(|one| {
        let revision = one.revision.0 as f64;
        Sample::labelled("router", one.endpoint.router.0, revision)
    });
    page.gauges(
        "router_revision",
        "Revision in force at each router that follows this member's feed.",
        revisions,
    );
    let counts = &context.feed.counts;
    page.counter(
        "feed_syncs",
        "Syncs of routers that had nothing or were far behind.",
        counts.syncs.load(Ordering::Relaxed),
    );
    page.counter(
        "feed_updates",
        "Updates of the configuration with only what changed.",
        counts.updates.load(Ordering::Relaxed),
    );
    page.gauge(
        "feed_syncs_waiting",
        "Syncs that wait for their turn or are being sent.",
        counts.waiting_syncs.load(Ordering::Relaxed) as f64,
    );
}

fn state(page: &mut MetricsPage, state: &ReplicatedState) {
    let count = |phase| {
        let replicas = state.placement.replicas.values();
        replicas.filter(|one| one.phase == phase).count() as f64
    };
    page.gauges(
        "replicas",
        "Decided replicas by phase.",
        [
            Sample::labelled("phase", "loading", count(ReplicaPhase::Loading)),
            Sample::labelled("phase", "ready", count(ReplicaPhase::Ready)),
            Sample::labelled("phase", "withdrawn", count(ReplicaPhase::Withdrawn)),
        ],
    );
    page.gauge(
        "sessions",
        "Sessions of clients whose resends are recognised.",
        state.sessions.sessions.len() as f64,
    );
    page.gauge(
        "runners",
        "Known runners.",
        state.placement.runners.len() as f64,
    );
    page.gauge(
        "deployments",
        "Deployments in force.",
        state.configuration.deployments.len() as f64,
    );
    let replicas = state.placement.replicas.values();
    let reserved: u64 = replicas.map(|one| one.memory_mib).sum();
    page.gauge(
        "reserved_mebibytes",
        "Accelerator memory held by decided replicas.",
        reserved as f64,
    );
}
