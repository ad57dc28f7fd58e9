//! Counters of attempts, claims and jobs by result.

use courseshunt_metrics::{MetricsPage, Sample};
use courseshunt_types::{Outcome, PriorityClass};
use std::sync::atomic::{AtomicU64, Ordering};

/// An event that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// A retry after a failed attempt.
    Retry,
    /// A retry that the retry budget refused.
    RetryRefused,
    /// An answer of an earlier attempt, dropped.
    Late,
    /// An answer or event of another request, dropped.
    Mismatched,
    /// An event that was received twice, dropped.
    Duplicate,
    /// An answer that ended before it was complete.
    Truncated,
    /// An answer that was resumed from the same runner after a failure.
    Resumed,
    /// A running request that was cancelled at its runner because its caller
    /// disconnected.
    Cancelled,
    /// A claim that was granted.
    ClaimOpened,
    /// A repeated request that got the recorded answer.
    ClaimRecorded,
    /// A repeated request while the first one was in progress.
    ClaimInProgress,
    /// A repeated request whose first attempt may have run.
    ClaimUnknown,
    /// A request whose key was used before with another body.
    ClaimConflict,
    /// A claim that was not committed in time and is released.
    ClaimWithdrawn,
    /// An answer to a lost router's request, fetched from the runner.
    ClaimRecovered,
    /// A job that was accepted.
    JobSubmitted,
    /// A job lease that this router acquired.
    JobLeased,
    /// A job that this router completed with an answer.
    JobAnswered,
    /// A job that ended at this router without an answer.
    JobReturned,
    /// A job whose lease was lost, or that was cancelled, while it ran here.
    JobLost,
}

const COUNTS: [(Count, &str, &str); 20] = [
    (Count::Retry, "attempts", "retry"),
    (Count::RetryRefused, "attempts", "retry_refused"),
    (Count::Late, "attempts", "late"),
    (Count::Mismatched, "attempts", "crossed"),
    (Count::Duplicate, "attempts", "doubled"),
    (Count::Truncated, "attempts", "cut_short"),
    (Count::Resumed, "attempts", "resumed"),
    (Count::Cancelled, "attempts", "cancelled"),
    (Count::ClaimOpened, "claims", "opened"),
    (Count::ClaimRecorded, "claims", "recorded"),
    (Count::ClaimInProgress, "claims", "in_progress"),
    (Count::ClaimUnknown, "claims", "unknown"),
    (Count::ClaimConflict, "claims", "conflict"),
    (Count::ClaimWithdrawn, "claims", "withdrawn"),
    (Count::ClaimRecovered, "claims", "recovered"),
    (Count::JobSubmitted, "jobs", "submitted"),
    (Count::JobLeased, "jobs", "leased"),
    (Count::JobAnswered, "jobs", "answered"),
    (Count::JobReturned, "jobs", "returned"),
    (Count::JobLost, "jobs", "lost"),
];

const OUTCOMES: [Outcome; 3] = [Outcome::Done, Outcome::NotRun, Outcome::Unknown];

/// The counters of one router.
#[derive(Debug, Default)]
pub struct AttemptCounts {
    counts: [AtomicU64; COUNTS.len()],
    outcomes: [[AtomicU64; OUTCOMES.len()]; PriorityClass::ALL.len()],
}

impl AttemptCounts {
    /// Increments a counter.
    pub fn add(&self, count: Count) {
        self.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of a counter.
    #[must_use]
    pub fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Counts a finished request by class and outcome.
    pub fn add_outcome(&self, class: PriorityClass, outcome: Outcome) {
        self.outcomes[class.rank()][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the counters to a metrics page.
    pub fn write(&self, page: &mut MetricsPage) {
        let families = [
            ("attempts", "Attempts at runners, by what happened."),
            ("claims", "Claims of once-only requests, by what happened."),
            ("jobs", "Deferred jobs at this router, by what happened."),
        ];
        for (family, help) in families {
            let members = COUNTS.iter().filter(|(_, name, _)| *name == family);
            let samples = members.map(|(count, _, event)| {
                Sample::labelled("event", *event, self.get(*count) as f64)
            });
            page.counters(family, help, samples.collect::<Vec<_>>());
        }
        page.counters(
            "outcomes",
            "Ended requests by class and outcome.",
            self.outcome_samples(),
        );
    }

    fn outcome_samples(&self) -> Vec<Sample> {
        let pairs = PriorityClass::ALL
            .into_iter()
            .flat_map(|class| OUTCOMES.map(|outcome| (class, outcome)));
        let samples = pairs.map(|(class, outcome)| {
            let count = &self.outcomes[class.rank()][outcome as usize];
            let value = count.load(Ordering::Relaxed) as f64;
            Sample::labelled("class", class.as_str(), value).and("outcome", outcome.as_str())
        });
        samples.collect()
    }
}
