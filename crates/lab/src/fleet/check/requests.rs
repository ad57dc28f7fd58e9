//! Requests: each is accounted for, once-only ones run at most once, "not run"
//! is true.

use super::Violation;
use crate::fleet::history::{FaultSpan, History, RunnerExecution};
use crate::load::{RequestForm, RequestRecord, RequestResult, messages};
use courseshunt_types::Outcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after its deadline a caller calls the system silent.
pub const GRACE: Duration = Duration::from_secs(10);
/// How long a fault may still be felt after its end (a lease, a timeout).
pub const EFFECT_AFTER_FAULT: Duration = Duration::from_secs(10);

/// Faults after which a router's callers see broken connections.
const ENDS_PROCESS: [&str; 3] = ["crash", "zone-loss", "lose-disk"];
const PLANNED_RESTART: &str = "planned-restart";
/// Faults that leave no request unknown: what is planned, announced, slow or
/// about configuration.
const HARMLESS: [&str; 6] = [
    PLANNED_RESTART,
    "reclaim",
    "slow-store",
    "slow-link",
    "operator-race",
    "resent-change",
];
const FREEZE: &str = "freeze";

/// Every request ends, for its caller, in its own whole answer, a refusal or
/// an explicit "unknown". A broken connection is allowed where the router died
/// or was not running; a planned stop breaks none.
pub fn accounted(history: &History) -> Vec<Violation> {
    let judged = history.records.iter().filter_map(|record| {
        let problem = unaccounted(history, record)?;
        let message = format!(
            "{} to {} {problem}: {:?}",
            name(record),
            record.router,
            record.result
        );
        Some(Violation::new("accounted", message))
    });
    judged.collect()
}

fn unaccounted(history: &History, record: &RequestRecord) -> Option<&'static str> {
    let hit = |kinds: &[&str]| {
        let mut faults = history.faults.iter();
        faults.any(|fault| kinds.contains(&fault.kind.as_str()) && hits(fault, record))
    };
    match &record.result {
        RequestResult::Answered
        | RequestResult::Refused {
            outcome: Outcome::NotRun,
            ..
        } => None,
        RequestResult::Refused { .. } | RequestResult::StreamError { .. } => {
            let felt = history.faults.iter().any(|fault| was_felt(fault, record));
            let sent_again = !record.earlier.is_empty();
            (!felt && !sent_again).then_some("is unknown without any fault")
        }
        RequestResult::Broken { .. } => (!hit(&ENDS_PROCESS)).then_some("was broken off"),
        RequestResult::NotConnected { .. } => {
            let down = hit(&ENDS_PROCESS) || hit(&[PLANNED_RESTART]);
            (!down).then_some("was not taken")
        }
        RequestResult::Silent => (!hit(&[FREEZE])).then_some("got no word"),
        RequestResult::Wrong { .. } => Some("got a wrong answer"),
        RequestResult::NotSent => Some("was not sent by the tool"),
    }
}

/// Whether a fault hit the record's router while the request was under way.
fn hits(fault: &FaultSpan, record: &RequestRecord) -> bool {
    fault.hits(&record.router) && fault.overlaps(record.request.at, record.ended_at)
}

/// Whether a fault may have left the request unknown.
fn was_felt(fault: &FaultSpan, record: &RequestRecord) -> bool {
    let until = record.ended_at;
    let harmless = HARMLESS.contains(&fault.kind.as_str());
    !harmless && fault.from <= until && record.request.at <= fault.until + EFFECT_AFTER_FAULT
}

fn name(record: &RequestRecord) -> String {
    format!(
        "request {} ({}, {}, for {}, planned at {} ms, ended at {} ms)",
        record.request.number,
        record.request_id.as_deref().unwrap_or("no identity"),
        record.request.form.as_str(),
        record.request.model,
        record.request.at.as_millis(),
        record.ended_at.as_millis()
    )
}

type ExecutionsByPrompt<'a> = BTreeMap<&'a str, Vec<&'a RunnerExecution>>;

fn by_prompt(history: &History) -> ExecutionsByPrompt<'_> {
    let mut grouped = ExecutionsByPrompt::new();
    for execution in &history.executions {
        let same = grouped.entry(execution.prompt.as_str()).or_default();
        same.push(execution);
    }
    grouped
}

/// The executions of a request, over all its sendings.
fn executions<'a>(
    grouped: &'a ExecutionsByPrompt<'a>,
    record: &RequestRecord,
) -> &'a [&'a RunnerExecution] {
    let prompt = messages(&record.request.prompt).to_string();
    grouped.get(prompt.as_str()).map_or(&[], Vec::as_slice)
}

fn places(executions: &[&RunnerExecution]) -> String {
    let places = executions
        .iter()
        .map(|one| format!("{} as {} attempt {}", one.runner, one.request, one.attempt));
    places.collect::<Vec<_>>().join(", ")
}

/// A once-only request runs at most once, over all its sendings.
pub fn once_only(history: &History) -> Vec<Violation> {
    let grouped = by_prompt(history);
    let records = history.records.iter();
    let once = records.filter(|record| record.request.form == RequestForm::OnceOnly);
    let doubled = once.filter_map(|record| {
        let ran = executions(&grouped, record);
        let message = || format!("{} ran {} times: {}", name(record), ran.len(), places(ran));
        (ran.len() > 1).then(|| Violation::new("once-only", message()))
    });
    doubled.collect()
}

/// A request that is said not to have run has no execution.
pub fn not_run(history: &History) -> Vec<Violation> {
    let grouped = by_prompt(history);
    let said = history.records.iter().filter(|record| said_not_run(record));
    let false_ones = said.filter_map(|record| {
        let ran = executions(&grouped, record);
        let message = || {
            let (name, places) = (name(record), places(ran));
            format!(
                "{name} was said not to have run by {}, but ran on {places}",
                record.router
            )
        };
        (!ran.is_empty()).then(|| Violation::new("not-run", message()))
    });
    false_ones.collect()
}

/// Whether each sending of the request was said not to have run.
fn said_not_run(record: &RequestRecord) -> bool {
    let refused = matches!(
        record.result,
        RequestResult::Refused {
            outcome: Outcome::NotRun,
            ..
        }
    );
    let not_run = |result: &RequestResult| {
        matches!(
            result,
            RequestResult::Refused {
                outcome: Outcome::NotRun,
                ..
            } | RequestResult::NotConnected { .. }
        )
    };
    refused && record.earlier.iter().all(not_run)
}

/// Requests that may be repeated and ran more than once, for the report.
#[must_use]
pub fn repeated(history: &History) -> usize {
    let grouped = by_prompt(history);
    let records = history.records.iter();
    let repeated = records.filter(|record| executions(&grouped, record).len() > 1);
    repeated.count()
}
