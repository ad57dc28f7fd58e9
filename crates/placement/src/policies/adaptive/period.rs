//! Deployments that are called at a fixed interval: the interval, and the time
//! in which the next call is due. Pure.

use courseshunt_types::{Millis, Timestamp};
use std::collections::VecDeque;

/// Sessions remembered.
const REMEMBERED: usize = 24;
/// Shortest interval that is worth unloading in between.
const SHORTEST: Millis = Millis::from_secs(300);
/// A session this share of the interval early or late still belongs to it.
const TOLERANCE: f64 = 0.08;
/// Share of the sessions that must have a successor one interval later.
const NEEDED_SHARE: f64 = 0.6;
/// Sessions that must have had the time for a successor.
const NEEDED_SESSIONS: usize = 4;
/// Share of hits that chance may explain.
const CHANCE: f64 = 0.4;
/// Added on both sides of the learned deviations.
const MARGIN: Millis = Millis::from_secs(10);

/// The begins of the last sessions of one deployment.
#[derive(Debug, Clone, Default)]
pub struct PeriodDetector {
    sessions: VecDeque<Timestamp>,
    period: Option<Period>,
}

/// A fixed interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Period {
    /// The interval.
    pub interval: Millis,
    /// How early a session was at the most.
    pub early: Millis,
    /// How late a session was at the most.
    pub late: Millis,
}

/// Time in which a call is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueTime {
    /// Earliest.
    pub from: Timestamp,
    /// Latest.
    pub to: Timestamp,
}

impl PeriodDetector {
    /// Takes in the begin of a session.
    pub fn session(&mut self, at: Timestamp) {
        if self.sessions.len() == REMEMBERED {
            self.sessions.pop_front();
        }
        self.sessions.push_back(at);
        self.period = self.detect(at);
    }

    /// The interval, if there is one.
    #[must_use]
    pub fn period(&self) -> Option<Period> {
        self.period
    }

    /// The next times in which a call is due and which have not passed. Only
    /// sessions that themselves came one interval after another count.
    pub fn due(&self, now: Timestamp) -> impl Iterator<Item = DueTime> + '_ {
        let period = self.period.into_iter();
        period.flat_map(move |period| {
            let expected = self.sessions.iter().filter(move |one| {
                let before = **one - period.interval;
                before > Timestamp(0) && self.hit(before, period.interval).is_some()
            });
            expected
                .map(move |one| {
                    let next = *one + period.interval;
                    DueTime {
                        from: next - period.early,
                        to: next + period.late,
                    }
                })
                .filter(move |due| due.to >= now && !self.came(*due))
        })
    }

    /// Whether the call that was due has come.
    fn came(&self, due: DueTime) -> bool {
        let mut sessions = self.sessions.iter();
        sessions.any(|one| *one >= due.from && *one <= due.to)
    }

    fn detect(&self, now: Timestamp) -> Option<Period> {
        let last = self.sessions.len().checked_sub(1)?;
        let earlier = self.sessions.iter().take(last).rev().take(6);
        let candidates = earlier.map(|one| now.since(*one));
        let mut best: Option<(usize, Millis)> = None;
        for interval in candidates.filter(|one| *one >= SHORTEST) {
            let hits = self.accepted_hits(interval, now);
            if hits > best.map_or(0, |(hits, _)| hits) {
                best = Some((hits, interval));
            }
        }
        best.map(|(_, interval)| self.refine(interval))
    }

    /// Sessions that had a successor one interval later, when they are enough.
    fn accepted_hits(&self, interval: Millis, now: Timestamp) -> usize {
        let could = |one: &&Timestamp| **one + interval <= now;
        let tested = self.sessions.iter().filter(could).count();
        let hits = self.sessions.iter().filter(could);
        let hits = hits
            .filter(|one| self.hit(**one, interval).is_some())
            .count();
        let first = self.sessions.front().copied().unwrap_or(now);
        let rate = self.sessions.len() as f64 / now.since(first).0.max(1) as f64;
        let by_chance = 1.0 - (-rate * 2.0 * tolerance(interval).0 as f64).exp();
        let enough = hits as f64 >= tested as f64 * NEEDED_SHARE;
        if tested >= NEEDED_SESSIONS && enough && by_chance < CHANCE {
            hits
        } else {
            0
        }
    }

    /// The session nearest to one interval after `session`, if near enough.
    fn hit(&self, session: Timestamp, interval: Millis) -> Option<Timestamp> {
        let expected = session + interval;
        let distance = |one: &Timestamp| one.0.abs_diff(expected.0);
        let nearest = self.sessions.iter().min_by_key(|one| distance(one))?;
        (distance(nearest) <= tolerance(interval).0).then_some(*nearest)
    }

    /// The mean interval of the hits and their deviations from it.
    fn refine(&self, interval: Millis) -> Period {
        let sessions = self.sessions.iter();
        let gaps: Vec<u64> = sessions
            .filter_map(|one| Some(self.hit(*one, interval)?.since(*one).0))
            .filter(|gap| *gap > 0)
            .collect();
        let mean = gaps.iter().sum::<u64>() / gaps.len().max(1) as u64;
        let shortest = gaps.iter().copied().min().unwrap_or(mean);
        let longest = gaps.iter().copied().max().unwrap_or(mean);
        Period {
            interval: Millis(mean),
            early: Millis(mean - shortest + MARGIN.0),
            late: Millis(longest - mean + MARGIN.0),
        }
    }
}

fn tolerance(interval: Millis) -> Millis {
    Millis((interval.0 as f64 * TOLERANCE) as u64)
}
