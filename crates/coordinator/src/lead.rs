//! The leader's loop: configuration, placement, feeds and membership.

use crate::lead_step::{self, LeadStep};
use crate::members::MembersKeeper;
use crate::order_turn::{self, OrderTurn, TurnView};
use crate::plan_pace::{PlanPace, PlanRound};
use crate::records::{self, ControllerRecord};
use crate::router_book::Way;
use crate::{
    Shared, inheritance, limits, orders, placement_settings, quarantine, quota_settings, reports,
    sessions, upstream,
};
use courseshunt_records::emit;
use courseshunt_services::feed::{instances_interval, usage_interval};
use courseshunt_services::{
    FeedMessage, InstanceView, LimitLedger, PlacementEngine, QuarantineLedger, QuotaLedger,
};
use courseshunt_state::Command;
use courseshunt_types::{Millis, RunnerId, Term, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Longest pause of the loop.
const TICK: Duration = Duration::from_millis(40);
/// A leader that was not in contact with a quorum for so long ends its feeds.
pub(crate) const CONTACT_LIMIT: Millis = Millis(360);
/// Time between words on all accounts of tenants, and on all limits of instances; what is new
/// is told at once.
const ACCOUNTS_INTERVAL: Millis = Millis(1_000);
/// Shortest time between words on limits: a number may change with each answer.
const LIMITS_PAUSE: Millis = Millis(50);
/// After its election a leader waits so long for registrations before it says
/// that other instances are gone.
const SETTLE: Millis = Millis(4_000);
/// Time between records of the instances.
const RECORD_INTERVAL: Millis = Millis(700);
/// Pause before a new leader asks again what was committed before.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);
/// A voter heard within this time can take the leadership over.
const JUST_HEARD: Millis = Millis(200);
/// Added to the lease between the orders of two leaders: an earlier leader may
/// give orders for `orders::CONTACT_LIMIT` after it was last in contact with a
/// quorum, and members that restarted may have elected this one right then.
const LEASE_MARGIN: Millis = Millis(450);

/// State of one leadership.
struct Leadership {
    term: Term,
    since: Timestamp,
    configuration: u64,
    leaving_version: u64,
    settled: bool,
    usage_at: Timestamp,
    quotas_at: Timestamp,
    limits_at: Timestamp,
    recorded_at: Timestamp,
    unrecorded: (BTreeMap<RunnerId, InstanceView>, BTreeSet<RunnerId>),
    members: MembersKeeper,
    fed_at: Timestamp,
    plans: PlanPace,
    /// The quarantine is being recorded.
    recording_quarantine: Arc<AtomicBool>,
    /// What earlier leaders recorded is taken over.
    taken_over: bool,
    /// Instances are being recorded.
    recording: Arc<AtomicBool>,
    turn: Arc<Turn>,
}

/// This leadership's way to its first order.
#[derive(Debug, Default)]
struct Turn {
    /// Everything committed before is applied here.
    caught_up: AtomicBool,
    /// This member is being recorded as the holder.
    recording: AtomicBool,
}

/// Runs until the process stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut status = shared.replica.status();
    let mut leadership: Option<Leadership> = None;
    loop {
        let leads = {
            let status = status.borrow_and_update();
            status.leads().then_some(status.term)
        };
        let held = leadership.as_ref().map(|leadership| leadership.term);
        match lead_step::decide(leads, held) {
            LeadStep::Wait => {
                let _ = status.changed().await;
                continue;
            }
            LeadStep::End => {
                leadership = None;
                end(&shared);
                continue;
            }
            LeadStep::Begin => leadership = leads.map(|term| begin(&shared, term)),
            LeadStep::GoOn => {}
        }
        if let Some(leadership) = &mut leadership {
            act(&shared, leadership).await;
        }
        let pause = pause(&shared);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.wake.notified() => {}
            _ = status.changed() => {}
        }
    }
}

/// Until the next tick, or until an adapter becomes ready.
fn pause(shared: &Shared) -> Duration {
    let now = shared.clock.now();
    let next = shared.engine().next_ready();
    let until = next.map(|at| Duration::from(at.since(now)) + Duration::from_millis(1));
    until.map_or(TICK, |until| until.min(TICK))
}

fn begin(shared: &Arc<Shared>, term: Term) -> Leadership {
    let now = shared.clock.now();
    *shared.quotas() = QuotaLedger::new(term.0, quota_settings(&shared.settings));
    *shared.limits() = LimitLedger::default();
    *shared.quarantine() = QuarantineLedger::default();
    shared.feeding.send_replace(false);
    shared.metrics.leadership();
    emit(&ControllerRecord::Leads { term: term.0 });
    let turn = Arc::new(Turn::default());
    let catching_up = catch_up(shared.clone(), turn.clone());
    tokio::spawn(shared.stop.clone().run_until_cancelled_owned(catching_up));
    Leadership {
        term,
        since: now,
        configuration: 0,
        leaving_version: 0,
        settled: false,
        usage_at: now,
        quotas_at: now,
        limits_at: now,
        recorded_at: now,
        unrecorded: Default::default(),
        members: MembersKeeper::new(now),
        fed_at: now,
        plans: PlanPace::begin(now),
        recording_quarantine: Arc::default(),
        taken_over: false,
        recording: Arc::default(),
        turn,
    }
}

/// Notes when everything committed before this leadership is applied here.
async fn catch_up(shared: Arc<Shared>, turn: Arc<Turn>) {
    while shared.replica.leads() {
        if shared.replica.read_barrier().await.is_ok() {
            turn.caught_up.store(true, Ordering::Relaxed);
            shared.wake.notify_one();
            return;
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
}

fn end(shared: &Shared) {
    // Here, not where the next leadership begins: registrations are taken from the election on,
    // and what an instance says once it may not say again.
    *shared.engine() = PlacementEngine::new(placement_settings(&shared.settings));
    shared.leading.send_replace(false);
    shared.feeding.send_replace(false);
    shared.tell_redundancy(None);
    let leader = shared.leader_address().map(|address| address.to_string());
    emit(&ControllerRecord::LeadsNoMore {
        leader: leader.as_deref(),
    });
    shared.sessions.clear_controllers();
    shared.sessions.broadcast_to_routers(FeedMessage::Awaiting);
    shared.routers().clear();
    shared.applicants().clear();
}

async fn act(shared: &Arc<Shared>, leadership: &mut Leadership) {
    let now = shared.clock.now();
    let caught_up = leadership.turn.caught_up.load(Ordering::Relaxed);
    follow_state(shared, leadership, now);
    if caught_up {
        take_over(shared, leadership, now).await;
        keep_quarantine(shared, leadership);
    }
    let in_contact = shared
        .replica
        .confirmation_age()
        .is_some_and(|age| age < CONTACT_LIMIT);
    if !in_contact {
        return;
    }
    if take_turn(shared, leadership, now).await {
        place(shared, leadership, now);
    }
    if caught_up {
        feed(shared, leadership, now);
        record(shared, leadership, now);
    }
    leadership.members.keep(shared, now).await;
}

/// Takes over what earlier leaders recorded, once all of it is applied here, and begins to
/// feed.
async fn take_over(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    if leadership.taken_over {
        return;
    }
    leadership.taken_over = true;
    let recorded = shared.replica.state().services.quarantined.clone();
    shared.quarantine().seed(&recorded, now);
    inheritance::seed_instances(shared, now).await;
    let term = leadership.term.0;
    let settled = false;
    shared.sessions.lead(sessions::Leadership { term, settled });
    for router in upstream::all_routers(shared) {
        let _ = reports::take(router, Way::Here, shared);
    }
    shared.sessions.broadcast(quarantine::told(shared));
    feed_instances(shared, leadership, now);
    send_usage(shared, leadership, now);
    shared.leading.send_replace(true);
    shared.feeding.send_replace(true);
}

/// Records what has changed of the quarantine.
fn keep_quarantine(shared: &Arc<Shared>, leadership: &Leadership) {
    quarantine::expire(shared, shared.clock.now());
    quarantine::record(shared, &leadership.recording_quarantine);
}

/// Takes over what was committed. The state is locked for the time of a copy only: the
/// thread that commits waits for it.
fn follow_state(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
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
    let mut engine = shared.engine();
    for one in leaving.into_iter().flatten() {
        match one.ended {
            true => engine.depart(&one.instance, now),
            false => engine.leave(&one.instance),
        }
    }
}

fn configure(shared: &Shared, number: u64, document: &[u8], now: Timestamp) {
    match shared.interface.read_configuration(document) {
        Ok(configuration) => {
            shared.quotas().configure(&configuration.tenants, now);
            shared.engine().configure(Arc::new(configuration), now);
        }
        Err(error) => log::error!("coordinator: committed configuration: {error}"),
    }
    shared.routers().spread(number, now);
}

/// Whether orders may be given; does what has to be done before.
async fn take_turn(shared: &Arc<Shared>, leadership: &Leadership, now: Timestamp) -> bool {
    let holder = shared.replica.state().services.orders_holder;
    let own = shared.id;
    let live = match holder {
        Some(holder) if holder != own => {
            let members = shared.replica.members().await;
            members.live_voters(JUST_HEARD).collect()
        }
        _ => BTreeSet::new(),
    };
    let decided = order_turn::decide(&TurnView {
        own,
        holder,
        caught_up: leadership.turn.caught_up.load(Ordering::Relaxed),
        led_for: now.since(leadership.since),
        up_for: now.since(Timestamp::default()),
        lease: Millis(shared.settings.limits.order_lease_ms + LEASE_MARGIN.0),
        live: &live,
    });
    match decided {
        OrderTurn::Give => return true,
        OrderTurn::Wait => {}
        OrderTurn::Record => record_holder(shared, leadership),
        OrderTurn::HandOver(holder) => {
            emit(&ControllerRecord::HandsOver { to: holder.0 });
            shared.replica.transfer_leadership(holder);
        }
    }
    false
}

/// Records this member as the one that gives orders.
fn record_holder(shared: &Arc<Shared>, leadership: &Leadership) {
    let turn = leadership.turn.clone();
    if turn.recording.swap(true, Ordering::Relaxed) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        let command = Command::HoldOrders { member: shared.id };
        let recorded = shared.replica.submit_as_leader(command).await;
        emit(&ControllerRecord::HoldsOrders {
            problem: recorded.err().map(|error| error.to_string()).as_deref(),
        });
        turn.recording.store(false, Ordering::Relaxed);
        shared.wake.notify_one();
    });
}

fn place(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    let mut engine = shared.engine();
    let Some(round) = leadership.plans.due(engine.waits(), now) else {
        return;
    };
    let steps = match round {
        PlanRound::All => engine.plan(now),
        PlanRound::Waited => engine.plan_waited(now),
    };
    let events = engine.take_events();
    drop(engine);
    for event in &events {
        emit(&records::placement(event));
    }
    let ended = shared.clock.now();
    leadership.plans.planned(round, now, ended);
    for step in steps {
        tokio::spawn(orders::carry_out(step, shared.clone()));
    }
}

fn feed(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let settles = !leadership.settled && now.since(leadership.since) >= SETTLE;
    let mut engine = shared.engine();
    engine.mark_ready(now);
    engine.expire(now);
    drop(engine);
    let due = now.since(leadership.fed_at) >= instances_interval(shared.sessions.count());
    if due || settles {
        feed_instances(shared, leadership, now);
    }
    if settles {
        leadership.settled = true;
        let live = shared.engine().ids();
        shared.sessions.settle(live);
    }
    feed_quotas(shared, leadership, now);
    feed_limits(shared, leadership, now);
    let followers = u32::try_from(shared.sessions.count()).unwrap_or(u32::MAX);
    let instance_count = shared.engine().count();
    if now.since(leadership.usage_at) >= usage_interval(followers, instance_count) {
        send_usage(shared, leadership, now);
    }
}

/// Tells which instances have changed.
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
    let (unrecorded, lost) = &mut leadership.unrecorded;
    for view in &changed {
        lost.remove(&view.id);
        unrecorded.insert(view.id.clone(), view.clone());
    }
    for id in &gone {
        unrecorded.remove(id);
        lost.insert(id.clone());
    }
    leadership.fed_at = now;
    shared.sessions.send_instances(changed, gone);
}

/// Tells what all routers use.
fn send_usage(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    leadership.usage_at = now;
    let instances = shared.engine().usage_of_all();
    shared.sessions.broadcast(FeedMessage::Usage {
        configuration: leadership.configuration,
        routers: u32::try_from(shared.routers().count()).unwrap_or(u32::MAX),
        instances,
    });
}

/// Tells how the accounts of tenants stand: at once where that changed.
fn feed_quotas(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let turned = shared.quotas().take_turned();
    if !turned && now.since(leadership.quotas_at) < ACCOUNTS_INTERVAL {
        return;
    }
    leadership.quotas_at = now;
    if let Some(message) = shared.quota_standings(now) {
        shared.sessions.broadcast(message);
    }
}

/// Tells which limits instances name: soon where that changed.
fn feed_limits(shared: &Shared, leadership: &mut Leadership, now: Timestamp) {
    let since = now.since(leadership.limits_at);
    let has_news = shared.limits().has_news() && since >= LIMITS_PAUSE;
    if !has_news && since < ACCOUNTS_INTERVAL {
        return;
    }
    shared.limits().take_news();
    leadership.limits_at = now;
    if let Some(message) = limits::told(shared, now) {
        shared.sessions.broadcast(message);
    }
}

/// Records the instances for a successor, some at a time, so that no entry of the log grows
/// with the fleet.
fn record(shared: &Arc<Shared>, leadership: &mut Leadership, now: Timestamp) {
    let (changed, gone) = &mut leadership.unrecorded;
    let due = now.since(leadership.recorded_at) >= RECORD_INTERVAL;
    let nothing = changed.is_empty() && gone.is_empty();
    if !due || nothing || leadership.recording.swap(true, Ordering::Relaxed) {
        return;
    }
    leadership.recorded_at = now;
    let changed: Vec<InstanceView> = std::mem::take(changed).into_values().collect();
    let gone: Vec<RunnerId> = std::mem::take(gone).into_iter().collect();
    let (shared, recording) = (shared.clone(), leadership.recording.clone());
    tokio::spawn(async move {
        inheritance::record_all(&changed, &gone, &shared).await;
        recording.store(false, Ordering::Relaxed);
    });
}
