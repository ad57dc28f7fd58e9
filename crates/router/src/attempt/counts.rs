//! Counts of what attempts, claims and jobs came to.

use courseshunt_metrics::{MetricsPage, Sample};
use courseshunt_types::{Outcome, PriorityClass};
use std::sync::atomic::{AtomicU64, Ordering};

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// An attempt after the first.
    Retry,
    /// A retry that the budget refused.
    RetryRefused,
    /// An answer or event of an earlier attempt, dropped.
    Late,
    /// An answer or event of another request, dropped.
    Mismatched,
    /// An event that came twice, dropped.
    Duplicate,
    /// An answer that ended early.
    Truncated,
    /// An answer that went on after a break, from the same runner.
    Resumed,
    /// A running request that was ended at its runner, since its caller left.
    Cancelled,
    /// A claim that was opened.
    ClaimOpened,
    /// A repeat that got the recorded answer.
    ClaimRecorded,
    /// A repeat while the first runs.
    ClaimInProgress,
    /// A repeat of a request that may have run.
    ClaimUnknown,
    /// A key that was used with another body.
    ClaimConflict,
    /// A claim that could not be recorded in time and is given back.
    ClaimWithdrawn,
    /// An answer of a lost router, fetched from the runner.
    ClaimRecovered,
    /// A job that was accepted.
    JobSubmitted,
    /// A lease that this router got.
    JobLeased,
    /// A job that this router answered.
    JobAnswered,
    /// A job that this router gave back, not run.
    JobReturned,
    /// A job whose lease was lost or that was cancelled while it ran here.
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

/// The counts of one router.
#[derive(Debug, Default)]
pub struct AttemptCounts {
    counts: [AtomicU64; COUNTS.len()],
    outcomes: [[AtomicU64; OUTCOMES.len()]; PriorityClass::ALL.len()],
}

impl AttemptCounts {
    /// Counts one.
    pub fn add(&self, count: Count) {
        self.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of a count.
    #[must_use]
    pub fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    /// Counts the end of a request.
    pub fn add_outcome(&self, class: PriorityClass, outcome: Outcome) {
        self.outcomes[class.rank()][outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the counts to a metrics page.
    pub fn write(&self, page: &mut MetricsPage) {
        let parts = [
            ("attempts", "Attempts at runners, by what happened."),
            ("claims", "Claims of once-only requests, by what happened."),
            ("jobs", "Deferred jobs at this router, by what happened."),
        ];
        for (part, help) in parts {
            let own = COUNTS.iter().filter(|(_, name, _)| *name == part);
            let samples = own.map(|(count, _, event)| {
                Sample::labelled("event", *event, self.get(*count) as f64)
            });
            page.counters(part, help, samples.collect::<Vec<_>>());
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
