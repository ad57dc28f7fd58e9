//! Replicated state: versions, reservations, claims, jobs and resends.

use courseshunt_state::command::JobEnd;
use courseshunt_state::*;
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::*;

struct Log {
    state: ReplicatedState,
    index: u64,
    time: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            state: ReplicatedState::default(),
            index: 0,
            time: 1_000,
        }
    }

    fn apply(&mut self, command: Command) -> CommandReply {
        self.apply_as(ClientId::default(), 0, command)
    }

    fn apply_as(&mut self, client: ClientId, sequence: u64, command: Command) -> CommandReply {
        self.index += 1;
        let envelope = CommandEnvelope {
            client,
            sequence: ClientSequence(sequence),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.time),
            command,
        };
        let payload = envelope.to_payload();
        let envelope = CommandEnvelope::from_payload(&payload).unwrap();
        self.state.apply(LogIndex(self.index), Term(1), &envelope)
    }

    fn configure(&mut self, change_id: &str, version: u64, memory: u64) -> CommandReply {
        let document: DeploymentDocument = serde_json::from_value(serde_json::json!({
            "name": "agro-llm", "version": version, "model": "agro", "tenant": "souss",
            "memory_mib": memory, "max_replicas": 2
        }))
        .unwrap();
        self.apply(Command::ChangeConfiguration(ChangeRequest {
            change_id: change_id.into(),
            deployments: vec![document],
            ..ChangeRequest::default()
        }))
    }

    fn runner(&mut self, name: &str, incarnation: u64) {
        self.apply(Command::RecordRunner(RunnerRecord {
            runner: name.into(),
            address: "127.0.0.1:1".to_owned(),
            zone: "a".into(),
            incarnation: Incarnation(incarnation),
            accelerators: 1,
            memory_mib: 100,
            state: MachineState::Live,
        }));
    }

    fn place(&mut self, runner: &str, memory_mib: u64) -> CommandReply {
        let replica = replica(runner);
        self.apply(Command::PlaceReplica {
            replica,
            memory_mib,
        })
    }

    fn claim(&mut self, key: &str, body: &[u8], router: &str) -> CommandReply {
        self.apply(Command::OpenClaim(Box::new(ClaimRequest {
            tenant: "souss".into(),
            key: key.into(),
            digest: Digest::of(body),
            router: router.into(),
            incarnation: Incarnation(1),
            runner: "r1".into(),
            request: format!("request-of-{router}").into(),
            attempt: Attempt(1),
            keep: Millis(1_000),
        })))
    }
}

fn replica(runner: &str) -> ReplicaKey {
    ReplicaKey {
        deployment: "agro-llm".into(),
        runner: runner.into(),
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
fn versions_never_decrease() {
    let mut log = Log::new();
    let first = CommandReply::Configured {
        revision: Revision(1),
    };
    assert_eq!(log.configure("a", 1, 50), first);
    // The same content again, with the same and with another change identifier.
    assert_eq!(log.configure("a", 1, 50), first);
    assert_eq!(log.configure("b", 1, 50), first);
    let second = CommandReply::Configured {
        revision: Revision(2),
    };
    assert_eq!(log.configure("c", 2, 60), second);
    // A resend after a newer version gets the original reply and reverts nothing.
    assert_eq!(log.configure("a", 1, 50), first);
    let stored = &log.state.configuration.deployments[&"agro-llm".into()];
    assert_eq!(stored.document.version, Version(2));
    for (change, version, memory) in [("d", 2, 61), ("e", 1, 50), ("a", 3, 10)] {
        let reply = log.configure(change, version, memory);
        assert!(
            matches!(reply, CommandReply::Refused(_)),
            "{change}: {reply:?}"
        );
    }
    assert_eq!(log.state.configuration.revision, Revision(2));
}

#[test]
fn memory_and_replica_limits_are_enforced() {
    let mut log = Log::new();
    log.configure("a", 1, 50);
    for runner in ["r1", "r2", "r3"] {
        log.runner(runner, 1);
    }
    assert!(matches!(
        log.place("r1", 101),
        CommandReply::Refused(CommandError::OutOfMemory { .. })
    ));
    assert!(matches!(log.place("r1", 50), CommandReply::Placed { .. }));
    assert!(matches!(
        log.place("r1", 50),
        CommandReply::Refused(CommandError::ReplicaExists { .. })
    ));
    assert!(matches!(log.place("r2", 50), CommandReply::Placed { .. }));
    assert!(matches!(
        log.place("r3", 50),
        CommandReply::Refused(CommandError::ReplicaLimit { .. })
    ));
    assert!(matches!(log.place("r9", 50), CommandReply::Refused(_)));
}

#[test]
fn a_reservation_ends_only_by_release_or_a_new_incarnation() {
    let mut log = Log::new();
    log.configure("a", 1, 50);
    log.runner("r1", 1);
    let CommandReply::Placed { fence } = log.place("r1", 50) else {
        panic!("expected a fence");
    };
    let withdraw = Command::WithdrawReplica {
        replica: replica("r1"),
        fence,
    };
    let CommandReply::Placed { fence: newer } = log.apply(withdraw) else {
        panic!("expected a newer fence");
    };
    assert!(newer > fence);
    assert_eq!(log.state.placement.reserved_mib(&"r1".into()), 50);
    let stale = Command::ReleaseReplica {
        replica: replica("r1"),
        fence,
    };
    assert!(matches!(log.apply(stale), CommandReply::Refused(_)));
    assert_eq!(log.state.placement.reserved_mib(&"r1".into()), 50);
    log.runner("r1", 2);
    assert_eq!(log.state.placement.reserved_mib(&"r1".into()), 0);
}

#[test]
fn a_claim_is_granted_once() {
    let mut log = Log::new();
    assert_eq!(
        log.claim("k", b"x", "a"),
        CommandReply::Claim(ClaimReply::Granted)
    );
    assert!(matches!(
        log.claim("k", b"x", "b"),
        CommandReply::Claim(ClaimReply::InProgress { .. })
    ));
    assert_eq!(
        log.claim("k", b"y", "b"),
        CommandReply::Claim(ClaimReply::Conflict)
    );
    log.apply(Command::FinishClaim {
        tenant: "souss".into(),
        key: "k".into(),
        request: "request-of-a".into(),
        attempt: Attempt(1),
        answer: Some(answer()),
    });
    assert_eq!(
        log.claim("k", b"x", "b"),
        CommandReply::Claim(ClaimReply::Recorded(answer()))
    );
}

#[test]
fn a_lost_executor_requeues_only_repeatable_jobs() {
    let mut log = Log::new();
    for (job, once_only, expected) in [("repeatable", false, "queued"), ("once", true, "unknown")] {
        log.apply(Command::SubmitJob {
            job: job.into(),
            tenant: "andrade".into(),
            deployment: "planificador".into(),
            path: "/v1/completions".to_owned(),
            body: b"{}".to_vec(),
            queue_limit: 10,
            class: PriorityClass::Batch,
            once_only,
            deadline_in: Millis(999_000),
            keep: Millis(1_000),
        });
        log.apply(Command::LeaseJob {
            job: job.into(),
            router: "a".into(),
            incarnation: Incarnation(1),
            length: Millis(10),
        });
        log.time += 11;
        log.apply(Command::AdvanceTime);
        assert_eq!(log.state.jobs.records[&job.into()].state.as_str(), expected);
    }
    let late = log.apply(Command::FinishJob {
        job: "once".into(),
        router: "a".into(),
        incarnation: Incarnation(1),
        end: JobEnd::Answered(answer()),
    });
    assert_eq!(late, CommandReply::Job(JobReply::Accepted));
}

#[test]
fn a_resend_gets_the_original_reply_and_a_snapshot_is_complete() {
    let mut log = Log::new();
    log.configure("a", 1, 50);
    log.runner("r1", 1);
    let place = Command::PlaceReplica {
        replica: replica("r1"),
        memory_mib: 50,
    };
    let first = log.apply_as("router-a".into(), 1, place.clone());
    let again = log.apply_as("router-a".into(), 1, place);
    assert_eq!(first, again);
    let restored = ReplicatedState::from_snapshot(&log.state.to_snapshot()).unwrap();
    assert_eq!(restored, log.state);
    assert!(ReplicatedState::from_snapshot(b"no snapshot").is_err());
}
