//! The leader's loop: applies committed configurations, places models, feeds routers and other
//! controllers, and maintains the membership.
//!
//! Invariant: a leader that was out of contact with a quorum for [`QUORUM_CONTACT_LIMIT`] sends no
//! feeds and starts no orders, since another member may lead by then.

use crate::leader_step::{self, LeaderStep};
use crate::leaving_notices::AppliedNotices;
use crate::members::MembershipManager;
use crate::order_permission::{self, OrderDecision, OrderView};
use crate::plan_pace::{PlanPace, PlanRound};
use crate::records::{self, ControllerRecord};
use crate::router_registry::FeedPath;
use crate::unrecorded_instances::UnrecordedInstances;
use crate::{
    Shared, instance_persistence, limits, loads, orders, placement_settings, quarantine,
    quota_settings, reports, sessions, software_versions, upstream,
};
use courseshunt_instance_load::LoadLedger;
use courseshunt_records::emit;
use courseshunt_services::feed::{instances_interval, usage_interval};
use courseshunt_services::{
    FeedMessage, ForwarderDirectory, LimitLedger, OriginDirectory, PlacementEngine,
    QuarantineLedger, QuotaLedger, VersionPublication,
};
use courseshunt_state::Command;
use courseshunt_types::{ControllerId, Millis, Term, Timestamp};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest pause between two iterations of the loop.
const MAX_LOOP_PAUSE: Duration = Duration::from_millis(40);
/// A leader that was out of contact with a quorum for this time ends its feeds.
pub(crate) const QUORUM_CONTACT_LIMIT: Millis = Millis(360);
/// Interval of messages with all quota accounts of tenants and all limits of instances; changes
/// are sent without waiting for it.
const ACCOUNTS_FEED_INTERVAL: Millis = Millis(1_000);
/// Shortest time between messages with limits: a limit can change with each response of an
/// instance.
const MIN_LIMITS_FEED_INTERVAL: Millis = Millis(50);
/// Time after its election that a leader waits for registrations before it reports instances
/// that did not register as gone.
const SETTLE_TIME: Millis = Millis(4_000);
/// Interval in which changed instances are recorded in the log.
const RECORD_INTERVAL: Millis = Millis(700);
/// Delay before a new leader retries its read barrier.
const CATCH_UP_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A voter that answered within this time can take over the leadership.
const LIVE_VOTER_WINDOW: Millis = Millis(200);
/// Added to the lease between the orders of two leaders. The previous leader may give orders for
/// `orders::ORDER_CONTACT_LIMIT` after its last contact with a quorum, and members that
/// restarted may have elected this one right after that contact.
const LEASE_MARGIN: Millis = Millis(450);

/// State of one leadership, from the election to its end.
struct Leadership {
    term: Term,
    elected_at: Timestamp,
    configuration: u64,
    leaving_version: u64,
    applied_notices: AppliedNotices,
    settled: bool,
    usage_sent_at: Timestamp,
    quotas_sent_at: Timestamp,
    limits_sent_at: Timestamp,
    version_publication: VersionPublication,
    instances_recorded_at: Timestamp,
    /// Changed and gone instances that are not yet recorded in the log.
    unrecorded: Arc<Mutex<UnrecordedInstances>>,
    members: MembershipManager,
    instances_sent_at: Timestamp,
    plan_pace: PlanPace,
    /// A record of the quarantine is in flight.
    recording_quarantine: Arc<AtomicBool>,
    /// The state that earlier leaders recorded is restored.
    is_restored: bool,
    /// Records of instances are in flight.
    recording_instances: Arc<AtomicBool>,
    readiness: Arc<OrderReadiness>,
}

/// What has to be done in this leadership before its first order.
#[derive(Debug, Default)]
struct OrderReadiness {
    /// All entries committed before this leadership are applied here.
    caught_up: AtomicBool,
    /// A record of this member as the holder of the orders is in flight.
    recording: AtomicBool,
}

/// Runs the leader's loop until the process stops; waits while another member leads.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut status = shared.replica.status();
    let mut leadership: Option<Leadership> = None;
    let mut previous_leader = None;
    loop {
        let leads = {
            let status = status.borrow_and_update();
            previous_leader = other_leader(&shared, status.leader).or(previous_leader);
            status.leads().then_some(status.term)
        };
        let held = leadership.as_ref().map(|leadership| leadership.term);
        match leader_step::decide(leads, held) {
            LeaderStep::Wait => {
                let _ = status.changed().await;
                continue;
            }
            LeaderStep::End => {
                leadership = None;
                end(&shared);
                continue;
            }
            LeaderStep::Begin => {
                leadership = leads.map(|term| {
                    record_leadership(&shared, term, previous_leader);
                    begin(&shared, term)
                });
            }
            LeaderStep::Continue => {}
        }
        if let Some(leadership) = &mut leadership {
            run_step(&shared, leadership).await;
        }
        let pause = pause(&shared);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.wake.notified() => {}
            _ = status.changed() => {}
        }
    }
}

/// Time until the next iteration: at most [`MAX_LOOP_PAUSE`], less if an adapter becomes ready
/// before.
fn pause(shared: &Shared) -> Duration {
    let now = shared.clock.now();
    let next = shared.engine().next_adapter_ready();
    let until = next.map(|at| Duration::from(at.since(now)) + Duration::from_millis(1));
    until.map_or(MAX_LOOP_PAUSE, |until| until.min(MAX_LOOP_PAUSE))
}

/// The leader, if it is another member.
fn other_leader(shared: &Shared, leader: Option<ControllerId>) -> Option<ControllerId> {
    leader.filter(|leader| *leader != shared.id)
}

fn record_leadership(shared: &Shared, term: Term, previous_leader: Option<ControllerId>) {
    let address = previous_leader.and_then(|leader| shared.addresses.get(leader));
    let address = address.map(|address| address.to_string());
    emit(&ControllerRecord::Leads {
        term: term.0,
        previous_leader: address.as_deref(),
        previous_protocol: previous_leader
            .and_then(|leader| shared.addresses.protocol_version(leader)),
    });
}

fn begin(shared: &Arc<Shared>, term: Term) -> Leadership {
    let now = shared.clock.now();
    *shared.quotas() = QuotaLedger::new(term.0, quota_settings(&shared.settings));
    *shared.limits() = LimitLedger::of_elected(now);
    *shared.loads() = LoadLedger::default();
    *shared.quarantine() = QuarantineLedger::default();
    *shared.forwarders() = ForwarderDirectory::default();
    *shared.origins() = OriginDirectory::default();
    shared.feed_available.send_replace(false);
    shared.metrics.leadership();
    let readiness = Arc::new(OrderReadiness::default());
    let catching_up = catch_up(shared.clone(), readiness.clone());
    tokio::spawn(shared.stop.clone().run_until_cancelled_owned(catching_up));
    Leadership {
        term,
        elected_at: now,
        configuration: 0,
        leaving_version: 0,
        applied_notices: AppliedNotices::default(),
        settled: false,
        usage_sent_at: now,
        quotas_sent_at: now,
        limits_sent_at: now,
        version_publication: VersionPublication::default(),
        instances_recorded_at: now,
        unrecorded: Default::default(),
        members: MembershipManager::new(now),
        instances_sent_at: now,
        plan_pace: PlanPace::new(now),
        recording_quarantine: Arc::default(),
        is_restored: false,
        recording_instances: Arc::default(),
        readiness,
    }
}

/// Waits until all entries committed before this leadership are applied here, and notes it.
async fn catch_up(shared: Arc<Shared>, readiness: Arc<OrderReadiness>) {
    while shared.replica.leads() {
        if shared.replica.read_barrier().await.is_ok() {
            readiness.caught_up.store(true, Ordering::Relaxed);
            shared.wake.notify_one();
            return;
        }
        tokio::time::sleep(CATCH_UP_RETRY_DELAY).await;
    }
}

fn end(shared: &Shared) {
    // Reset here and not at the start of the next leadership: registrations are accepted from the
    // election on, and an instance may not repeat a notice that it has sent once.
    *shared.engine() = PlacementEngine::new(placement_settings(&shared.settings));
    shared.leading.send_replace(false);
    shared.feed_available.send_replace(false);
    shared.set_redundancy(None);
    let leader = shared.leader_address().map(|address| address.to_string());
    emit(&ControllerRecord::LeadsNoMore {
        leader: leader.as_deref(),
    });
    shared.sessions.clear_controllers();
    shared
        .sessions
        .broadcast_to_routers(FeedMessage::AwaitingLeader);
    shared.routers().clear();
    shared.join_requests().clear();
}

async fn run_step(shared: &Arc<Shared>, leadership: &mut Leadership) {
    let now = shared.clock.now();
    let caught_up = leadership.readiness.caught_up.load(Ordering::Relaxed);
    apply_committed_state(shared, leadership, now);
    if caught_up {
        restore_recorded_state(shared, leadership, now).await;
        maintain_quarantine(shared, leadership);
    }
    let has_quorum_contact = shared
        .replica
        .confirmation_age()
        .is_some_and(|age| age < QUORUM_CONTACT_LIMIT);
    if !has_quorum_contact {
        return;
    }
    if may_give_orders(shared, leadership, now).await {
        run_placement(shared, leadership, now);
    }
    if caught_up {
        feed(shared, leadership, now);
        persist_instances(shared, leadership, now);
    }
    leadership.members.run_if_due(shared, now).await;
}

/// Restores, once per leadership, the state that earlier leaders recorded, and opens the feeds.
async fn restore_recorded_state(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    if leadership.is_restored {
        return;
    }
    leadership.is_restored = true;
    software_versions::begin_leadership(leadership.term, now, shared);
    let recorded = shared.replica.state().services.quarantined.clone();
    shared.quarantine().restore(&recorded, now);
    instance_persistence::restore_instances(shared, now).await;
    let term = leadership.term.0;
    let settled = false;
    shared
        .sessions
        .begin_leadership(sessions::Leadership { term, settled });
    for router in upstream::router_subscriptions(shared) {
        let _ = reports::handle(router, FeedPath::Direct, shared);
    }
    shared.sessions.broadcast(quarantine::feed_message(shared));
    feed_instances(shared, leadership, now);
    send_usage(shared, leadership, now);
    shared.leading.send_replace(true);
    shared.feed_available.send_replace(true);
}

/// Expires quarantines and records changes of the quarantine in the log.
fn maintain_quarantine(shared: &Arc<Shared>, leadership: &Leadership) {
    quarantine::expire(shared, shared.clock.now());
    quarantine::persist(shared, &leadership.recording_quarantine);
}

/// Applies the committed configuration and notices of leaving instances. The state is locked
/// only while they are copied, since the thread that applies commits waits for the lock.
fn apply_committed_state(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let document = {
        let state = shared.replica.state();
        let services = &state.services;
        let newer = services.number > leadership.configuration;
        leadership.configuration = services.number;
        newer.then(|| services.document.clone())
    };
    if let Some(document) = document {
        configure(shared, leadership.configuration, &document, now);
    }
    let leaving = {
        let state = shared.replica.state();
        let services = &state.services;
        let newer = services.leaving_version > leadership.leaving_version;
        leadership.leaving_version = services.leaving_version;
        newer.then(|| services.leaving.clone())
    };
    let recorded = leaving.iter().flatten();
    let notices = leadership.applied_notices.take_new(recorded);
    let mut engine = shared.engine();
    for one in notices {
        match one.ended {
            true => engine.mark_terminated(&one.instance, now),
            false => engine.mark_leaving(&one.instance),
        }
    }
}

fn configure(shared: &Shared, number: u64, document: &[u8], now: Timestamp) {
    match shared.interface.read_configuration(document) {
        Ok(configuration) => {
            shared.quotas().configure(&configuration.tenants, now);
            shared.engine().configure(Arc::new(configuration), now);
        }
        Err(error) => {
            log::error!("coordinator: read committed configuration {number}: {error}")
        }
    }
    shared.routers().begin_rollout(number, now);
}

/// Whether orders may be given. If not, takes the next step towards it: records this member as
/// the holder, or hands the leadership over.
async fn may_give_orders(shared: &Arc<Shared>, leadership: &Leadership, now: Timestamp) -> bool {
    let holder = shared.replica.state().services.orders_holder;
    let own = shared.id;
    let live = match holder {
        Some(holder) if holder != own => {
            let members = shared.replica.members().await;
            members.live_voters(LIVE_VOTER_WINDOW).collect()
        }
        _ => BTreeSet::new(),
    };
    let decision = order_permission::decide(&OrderView {
        own,
        holder,
        holder_is_previous_release: holder
            .is_some_and(|holder| shared.addresses.is_previous_release(holder)),
        caught_up: leadership.readiness.caught_up.load(Ordering::Relaxed),
        since_election: now.since(leadership.elected_at),
        uptime: now.since(Timestamp::default()),
        lease: Millis(shared.settings.limits.order_lease_ms + LEASE_MARGIN.0),
        live: &live,
    });
    match decision {
        OrderDecision::Allow => return true,
        OrderDecision::Wait => {}
        OrderDecision::RecordHolder => record_holder(shared, leadership),
        OrderDecision::HandOver(holder) => {
            emit(&ControllerRecord::HandsOver { to: holder.0 });
            shared.replica.transfer_leadership(holder);
        }
    }
    false
}

/// Records in the log that this member gives orders, unless such a record is in flight.
fn record_holder(shared: &Arc<Shared>, leadership: &Leadership) {
    let readiness = leadership.readiness.clone();
    if readiness.recording.swap(true, Ordering::Relaxed) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let command = Command::HoldOrders { member: shared.id };
        let recorded = shared.replica.submit_as_leader(command).await;
        emit(&ControllerRecord::HoldsOrders {
            problem: recorded.err().map(|error| error.to_string()).as_deref(),
        });
        readiness.recording.store(false, Ordering::Relaxed);
        shared.wake.notify_one();
    });
}

fn run_placement(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    let mut engine = shared.engine();
    let Some(round) = leadership.plan_pace.due(engine.needs_waiting_round(), now) else {
        return;
    };
    let steps = match round {
        PlanRound::All => {
            loads::update_placement(&mut engine, shared, now);
            engine.plan(now)
        }
        PlanRound::Urgent => engine.plan_for_waiting(now),
    };
    let events = engine.take_events();
    drop(engine);
    for event in &events {
        emit(&records::placement(event));
    }
    let ended = shared.clock.now();
    leadership.plan_pace.note_round(round, now, ended);
    for step in steps {
        tokio::spawn(orders::execute(step, shared.clone()));
    }
}

fn feed(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let becomes_settled = !leadership.settled && now.since(leadership.elected_at) >= SETTLE_TIME;
    let mut engine = shared.engine();
    engine.mark_adapters_ready(now);
    engine.expire(now);
    drop(engine);
    let due =
        now.since(leadership.instances_sent_at) >= instances_interval(shared.sessions.count());
    if due || becomes_settled {
        feed_instances(shared, leadership, now);
    }
    if becomes_settled {
        leadership.settled = true;
        let live = shared.engine().ids();
        shared.sessions.mark_settled(live);
        software_versions::begin_feed(&mut leadership.version_publication, now, shared);
    }
    software_versions::feed_changes(&mut leadership.version_publication, now, shared);
    feed_quotas(shared, leadership, now);
    feed_limits(shared, leadership, now);
    let subscribers = u32::try_from(shared.sessions.count()).unwrap_or(u32::MAX);
    let instance_count = shared.engine().count();
    if now.since(leadership.usage_sent_at) >= usage_interval(subscribers, instance_count) {
        send_usage(shared, leadership, now);
    }
}

/// Sends the instances that have changed or are gone.
fn feed_instances(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let (changed, gone) = shared.engine().take_changes(now);
    if changed.is_empty() && gone.is_empty() {
        return;
    }
    if !gone.is_empty() {
        let instances: Vec<String> = gone.iter().map(|id| id.0.clone()).collect();
        emit(&ControllerRecord::InstancesGone {
            instances: &instances,
        });
    }
    instance_persistence::lock(&leadership.unrecorded).note(&changed, &gone);
    leadership.instances_sent_at = now;
    // The versions of these instances were noted before them.
    software_versions::feed_changes(&mut leadership.version_publication, now, shared);
    shared.sessions.send_instances(changed, gone);
}

/// Sends the use of all instances, summed over all routers.
fn send_usage(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    leadership.usage_sent_at = now;
    let instances = shared.engine().total_usage();
    shared.sessions.broadcast(FeedMessage::Usage {
        configuration: leadership.configuration,
        routers: u32::try_from(shared.routers().count()).unwrap_or(u32::MAX),
        instances,
    });
    loads::send_changes(shared, now);
}

/// Sends the state of the tenants' accounts: at once after a change of state, otherwise at
/// [`ACCOUNTS_FEED_INTERVAL`].
fn feed_quotas(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let (changed, events) = {
        let mut quotas = shared.quotas();
        (
            quotas.take_status_changed(),
            quotas.take_reservation_events(),
        )
    };
    reports::record_reservations(&events, shared);
    if !changed && now.since(leadership.quotas_sent_at) < ACCOUNTS_FEED_INTERVAL {
        return;
    }
    leadership.quotas_sent_at = now;
    if let Some(message) = shared.quotas_message(now) {
        shared.sessions.broadcast(message);
    }
}

/// Sends the limits that instances report: after a change within [`MIN_LIMITS_FEED_INTERVAL`],
/// otherwise at [`ACCOUNTS_FEED_INTERVAL`].
fn feed_limits(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let since = now.since(leadership.limits_sent_at);
    let has_changes = shared.limits().has_changes() && since >= MIN_LIMITS_FEED_INTERVAL;
    if !has_changes && since < ACCOUNTS_FEED_INTERVAL {
        return;
    }
    shared.limits().take_changes();
    leadership.limits_sent_at = now;
    if let Some(message) = limits::feed_message(shared, now) {
        shared.sessions.broadcast(message);
    }
}

/// Records changed instances for later leaders, in batches, so that no log entry grows with the
/// size of the fleet.
fn persist_instances(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    let due = now.since(leadership.instances_recorded_at) >= RECORD_INTERVAL;
    let nothing = instance_persistence::lock(&leadership.unrecorded).is_empty();
    if !due || nothing || leadership.recording_instances.swap(true, Ordering::Relaxed) {
        return;
    }
    leadership.instances_recorded_at = now;
    let unrecorded = leadership.unrecorded.clone();
    let (shared, recording) = (shared.clone(), leadership.recording_instances.clone());
    tokio::spawn(async move {
        instance_persistence::record_all(&unrecorded, &shared).await;
        recording.store(false, Ordering::Relaxed);
    });
}
