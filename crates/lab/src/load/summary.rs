//! Counts and latencies of a load.

use super::latency::{Latencies, LatencySummary};
use super::record::{RequestRecord, RequestResult};
use std::collections::BTreeMap;
use std::time::Duration;

/// What came of the requests planned for one second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize)]
pub struct SecondCount {
    /// Planned for this second.
    pub planned: u64,
    /// Answers that ended in this second.
    pub answered: u64,
    /// Refusals and failures that ended in this second.
    pub not_answered: u64,
}

/// See the module. Latencies of answered requests, from the planned time.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct LoadSummary {
    /// Requests.
    pub planned: u64,
    /// By kind of result.
    pub results: BTreeMap<&'static str, u64>,
    /// Refusals by code and outcome.
    pub refusals: BTreeMap<String, u64>,
    /// Requests that were sent again at least once.
    pub sent_again: u64,
    /// Time to the first byte, by class.
    pub first_byte: BTreeMap<&'static str, LatencySummary>,
    /// Time to the end, by class.
    pub total: BTreeMap<&'static str, LatencySummary>,
    /// Time to the end, by form.
    pub total_by_form: BTreeMap<&'static str, LatencySummary>,
    /// By second from the start.
    pub seconds: Vec<SecondCount>,
    /// Longest time without any answer between the first and the last one, in
    /// milliseconds.
    pub longest_gap_ms: u64,
}

type ByName = BTreeMap<&'static str, Latencies>;

impl LoadSummary {
    /// Summary of a load's records.
    #[must_use]
    pub fn of(records: &[RequestRecord]) -> Self {
        let mut summary = Self::default();
        let mut first_byte = ByName::new();
        let mut total = ByName::new();
        let mut by_form = ByName::new();
        for record in records {
            summary.count(record);
            if !record.is_answered() {
                continue;
            }
            let class = record.request.class.as_str();
            let form = record.request.form.as_str();
            if let Some(length) = record.first_byte {
                first_byte.entry(class).or_default().record(length);
            }
            total.entry(class).or_default().record(record.total());
            by_form.entry(form).or_default().record(record.total());
        }
        summary.first_byte = summaries(&first_byte);
        summary.total = summaries(&total);
        summary.total_by_form = summaries(&by_form);
        summary.longest_gap_ms = longest_gap(records).as_millis() as u64;
        summary
    }

    fn count(&mut self, record: &RequestRecord) {
        self.planned += 1;
        *self.results.entry(record.result.kind()).or_default() += 1;
        self.sent_again += u64::from(!record.earlier.is_empty());
        if let RequestResult::Refused { code, outcome, .. } = &record.result {
            let name = format!("{code} ({})", outcome.as_str());
            *self.refusals.entry(name).or_default() += 1;
        }
        self.second(record.request.at).planned += 1;
        let ended = self.second(record.ended_at);
        match record.is_answered() {
            true => ended.answered += 1,
            false => ended.not_answered += 1,
        }
    }

    fn second(&mut self, at: Duration) -> &mut SecondCount {
        let position = at.as_secs() as usize;
        if self.seconds.len() <= position {
            self.seconds.resize(position + 1, SecondCount::default());
        }
        &mut self.seconds[position]
    }

    /// Results of one kind.
    #[must_use]
    pub fn count_of(&self, kind: &str) -> u64 {
        self.results.get(kind).copied().unwrap_or_default()
    }

    /// A table for a terminal.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = format!("{} requests", self.planned);
        for (kind, count) in &self.results {
            text.push_str(&format!(", {kind} {count}"));
        }
        text.push_str(&format!(", sent again {}\n", self.sent_again));
        for (name, count) in &self.refusals {
            text.push_str(&format!("refused: {name}: {count}\n"));
        }
        text.push_str(&format!(
            "longest gap between answers: {} ms\n",
            self.longest_gap_ms
        ));
        text.push_str(&format!(
            "{:<14}{:<14}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}\n",
            "latency ms", "", "count", "p50", "p95", "p99", "p99.9", "max"
        ));
        for (what, rows) in [
            ("first byte", &self.first_byte),
            ("whole answer", &self.total),
            ("by form", &self.total_by_form),
        ] {
            for (name, row) in rows {
                text.push_str(&line(what, name, row));
            }
        }
        text
    }
}

fn line(what: &str, name: &str, row: &LatencySummary) -> String {
    format!(
        "{what:<14}{name:<14}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}\n",
        row.count, row.p50_ms, row.p95_ms, row.p99_ms, row.p999_ms, row.max_ms
    )
}

fn summaries(latencies: &ByName) -> BTreeMap<&'static str, LatencySummary> {
    let pairs = latencies.iter();
    pairs.map(|(name, one)| (*name, one.summary())).collect()
}

/// Longest time between two successive answers.
fn longest_gap(records: &[RequestRecord]) -> Duration {
    let answered = records.iter().filter(|record| record.is_answered());
    let mut ends: Vec<Duration> = answered.map(|record| record.ended_at).collect();
    ends.sort();
    let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or_default()
}
