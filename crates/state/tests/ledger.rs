//! Claims and jobs: every way in which they end, as tables of cases.

use courseshunt_state::command::JobEnd;
use courseshunt_state::*;
use courseshunt_types::*;

/// A replicated state whose time advances only by [`Ledger::wait`]. Each command also checks that
/// the state survives a snapshot.
struct Ledger {
    state: ReplicatedState,
    index: u64,
    time: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            state: ReplicatedState::default(),
            index: 0,
            time: 1_000,
        }
    }
}

impl Ledger {
    fn apply(&mut self, command: Command) -> CommandReply {
        self.index += 1;
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.time),
            command,
        };
        let reply = self.state.apply(LogIndex(self.index), Term(1), &envelope);
        let restored = ReplicatedState::from_snapshot(&self.state.to_snapshot()).unwrap();
        assert_eq!(restored, self.state);
        reply
    }

    fn wait(&mut self, millis: u64) {
        self.time += millis;
        self.apply(Command::AdvanceTime);
    }

    fn open(&mut self, request: &str, body: &[u8]) -> ClaimReply {
        let reply = self.apply(Command::OpenClaim(Box::new(ClaimRequest {
            tenant: "souss".into(),
            key: "valve-7".into(),
            digest: Digest::of(body),
            router: "a".into(),
            incarnation: Incarnation(1),
            runner: "r1".into(),
            request: request.into(),
            attempt: Attempt(1),
            keep: Millis(1_000),
        })));
        match reply {
            CommandReply::Claim(reply) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn release(&mut self, request: &str) -> CommandReply {
        self.apply(Command::ReleaseClaim {
            tenant: "souss".into(),
            key: "valve-7".into(),
            request: request.into(),
            attempt: Attempt(1),
        })
    }

    fn finish(&mut self, request: &str, answer: Option<StoredAnswer>) -> CommandReply {
        self.apply(Command::FinishClaim {
            tenant: "souss".into(),
            key: "valve-7".into(),
            request: request.into(),
            attempt: Attempt(1),
            answer,
        })
    }

    fn submit(&mut self, job: &str, once_only: bool) -> CommandReply {
        self.submit_body(job, once_only, b"{}")
    }

    fn submit_body(&mut self, job: &str, once_only: bool, body: &[u8]) -> CommandReply {
        self.submit_within(job, once_only, body, 9_000)
    }

    fn submit_within(
        &mut self,
        job: &str,
        once_only: bool,
        body: &[u8],
        deadline_in: u64,
    ) -> CommandReply {
        self.apply(Command::SubmitJob {
            job: job.into(),
            tenant: "andrade".into(),
            deployment: "planificador".into(),
            path: "/v1/completions".to_owned(),
            body: body.to_vec(),
            queue_limit: 2,
            class: PriorityClass::Batch,
            once_only,
            deadline_in: Millis(deadline_in),
            keep: Millis(5_000),
        })
    }

    fn lease(&mut self, job: &str, router: &str) -> JobReply {
        let reply = self.apply(Command::LeaseJob {
            job: job.into(),
            router: router.into(),
            incarnation: Incarnation(1),
            length: Millis(100),
        });
        job_reply(reply)
    }

    fn end(&mut self, job: &str, router: &str, end: JobEnd) -> JobReply {
        let reply = self.apply(Command::FinishJob {
            job: job.into(),
            router: router.into(),
            incarnation: Incarnation(1),
            end,
        });
        job_reply(reply)
    }

    fn view(&mut self, job: &str) -> Option<JobView> {
        let reply = self.apply(Command::ViewJob {
            job: job.into(),
            tenant: "andrade".into(),
        });
        match job_reply(reply) {
            JobReply::Found(view) => Some(view),
            _ => None,
        }
    }
}

fn job_reply(reply: CommandReply) -> JobReply {
    match reply {
        CommandReply::Job(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: b"{}".to_vec(),
    }
}

#[test]
fn a_claim_released_before_it_was_opened_is_never_granted() {
    let mut ledger = Ledger::default();
    ledger.release("late");
    assert_eq!(ledger.open("late", b"x"), ClaimReply::Withdrawn);
    assert_eq!(ledger.open("next", b"x"), ClaimReply::Granted);
    // A late release of another execution does not affect the open claim.
    ledger.release("late");
    assert!(matches!(
        ledger.open("third", b"x"),
        ClaimReply::InProgress { .. }
    ));
    ledger.release("next");
    assert_eq!(ledger.open("third", b"x"), ClaimReply::Granted);
}

#[test]
fn only_the_claiming_execution_ends_a_claim() {
    let mut ledger = Ledger::default();
    ledger.open("first", b"x");
    let foreign = ledger.finish("other", None);
    assert!(matches!(foreign, CommandReply::Refused(_)), "{foreign:?}");
    ledger.finish("first", None);
    assert_eq!(ledger.open("second", b"x"), ClaimReply::Unknown);
    let ended = ledger.release("first");
    assert!(matches!(ended, CommandReply::Refused(_)), "{ended:?}");
    // An answer that arrives later replaces `Unknown`.
    ledger.finish("first", Some(answer()));
    assert_eq!(ledger.open("second", b"x"), ClaimReply::Recorded(answer()));
    assert_eq!(ledger.open("second", b"y"), ClaimReply::Conflict);
    ledger.wait(999);
    assert_eq!(ledger.open("second", b"x"), ClaimReply::Recorded(answer()));
    ledger.wait(1);
    assert_eq!(ledger.state.next_expiry(), None);
    assert_eq!(ledger.open("second", b"x"), ClaimReply::Granted);
}

#[test]
fn every_job_ends_in_a_visible_state() {
    type Step = fn(&mut Ledger);
    let cases: &[(&str, bool, Step, &str, Outcome)] = &[
        (
            "never leased",
            false,
            |ledger| ledger.wait(9_000),
            "deadline_missed",
            Outcome::NotRun,
        ),
        (
            "answered",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.end("j", "a", JobEnd::Answered(answer()));
            },
            "done",
            Outcome::Done,
        ),
        (
            "proved not run",
            true,
            |ledger| {
                ledger.lease("j", "a");
                ledger.end("j", "a", JobEnd::NotRun);
            },
            "queued",
            Outcome::NotRun,
        ),
        (
            "executor lost",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.wait(100);
            },
            "queued",
            Outcome::Unknown,
        ),
        (
            "executor lost, once only",
            true,
            |ledger| {
                ledger.lease("j", "a");
                ledger.wait(100);
            },
            "unknown",
            Outcome::Unknown,
        ),
        (
            "late answer of a lost executor, once only",
            true,
            |ledger| {
                ledger.lease("j", "a");
                ledger.wait(100);
                ledger.end("j", "a", JobEnd::Answered(answer()));
            },
            "done",
            Outcome::Done,
        ),
        (
            "a renewed lease is valid",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.wait(60);
                assert_eq!(ledger.lease("j", "a"), JobReply::Accepted);
                ledger.wait(60);
            },
            "running",
            Outcome::Unknown,
        ),
        (
            "another router can't take a leased job",
            true,
            |ledger| {
                ledger.lease("j", "a");
                assert!(matches!(
                    ledger.lease("j", "b"),
                    JobReply::WrongState { .. }
                ));
                assert!(matches!(
                    ledger.end("j", "b", JobEnd::NotRun),
                    JobReply::WrongState { .. }
                ));
            },
            "running",
            Outcome::Unknown,
        ),
        (
            "only the second executor's answer is accepted",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.wait(100);
                assert!(matches!(ledger.lease("j", "b"), JobReply::Leased(_)));
                let late = ledger.end("j", "a", JobEnd::Answered(answer()));
                assert!(matches!(late, JobReply::WrongState { .. }), "{late:?}");
                ledger.end("j", "b", JobEnd::Answered(answer()));
            },
            "done",
            Outcome::Done,
        ),
        (
            "deadline while running",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.end("j", "a", JobEnd::DeadlineMissed { started: true });
            },
            "deadline_missed",
            Outcome::Unknown,
        ),
        (
            "refused",
            false,
            |ledger| {
                ledger.lease("j", "a");
                ledger.end(
                    "j",
                    "a",
                    JobEnd::Refused {
                        message: "gone".to_owned(),
                        started: false,
                    },
                );
            },
            "refused",
            Outcome::NotRun,
        ),
    ];
    for (name, once_only, steps, state, outcome) in cases {
        let mut ledger = Ledger::default();
        ledger.submit("j", *once_only);
        steps(&mut ledger);
        let view = ledger.view("j").unwrap();
        assert_eq!(
            (view.state.as_str(), view.outcome),
            (*state, *outcome),
            "{name}"
        );
        let body = &ledger.state.jobs.records[&"j".into()].body;
        let ended = !matches!(*state, "queued" | "running");
        assert_eq!(body.is_empty(), ended, "{name}");
    }
}

#[test]
fn queued_jobs_are_bounded_resends_detected_and_ended_jobs_expire() {
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.submit("j", false),
        CommandReply::Job(JobReply::Accepted)
    );
    assert_eq!(
        ledger.submit("j", false),
        CommandReply::Job(JobReply::Accepted)
    );
    let other = ledger.submit_body("j", false, b"other");
    assert_eq!(other, CommandReply::Job(JobReply::Conflict));
    ledger.submit("k", false);
    assert_eq!(
        ledger.submit("l", false),
        CommandReply::Job(JobReply::QueueFull)
    );
    assert_eq!(ledger.state.jobs.queued().count(), 2);
    let foreign = ledger.apply(Command::CancelJob {
        job: "j".into(),
        tenant: "souss".into(),
    });
    assert_eq!(foreign, CommandReply::Job(JobReply::NotFound));
    let cancelled = ledger.apply(Command::CancelJob {
        job: "j".into(),
        tenant: "andrade".into(),
    });
    assert!(
        matches!(cancelled, CommandReply::Job(JobReply::Found(_))),
        "{cancelled:?}"
    );
    assert!(matches!(
        ledger.lease("j", "a"),
        JobReply::WrongState { .. }
    ));
    assert_eq!(ledger.state.jobs.queued().count(), 1);
    ledger.wait(4_999);
    assert_eq!(ledger.view("j").unwrap().state, "cancelled");
    ledger.wait(1);
    assert_eq!(ledger.view("j"), None);
    ledger.time = 20_000;
    assert_eq!(ledger.lease("k", "a"), JobReply::DeadlinePassed);
    let late = ledger.submit_within("m", false, b"{}", 0);
    assert_eq!(late, CommandReply::Job(JobReply::DeadlinePassed));
}
