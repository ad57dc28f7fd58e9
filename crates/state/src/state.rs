//! The complete replicated state; commands are the only way to change it.

use crate::claims::{ClaimName, ClaimRecord, ClaimState, Claims, ExecutionName};
use crate::command::{Command, CommandEnvelope};
use crate::configuration::{Configuration, FleetLimits};
use crate::drains::Drains;
use crate::jobs::{JobRecord, JobState, Jobs};
use crate::members::MemberAddresses;
use crate::placement::Placement;
use crate::reply::{CommandError, CommandReply};
use crate::services::Services;
use crate::session::{SequenceStatus, Sessions};
use courseshunt_types::runner_api::MachineState;
use courseshunt_types::{
    Attempt, Digest, Fence, IdempotencyKey, LogIndex, RequestId, RunnerId, TenantName, Term,
    UnixMillis,
};

/// The replicated state of one group.
#[derive(Debug, Clone, PartialEq, Default, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ReplicatedState {
    /// Last applied entry.
    pub applied: LogIndex,
    /// Committed time: the highest wall clock in the log.
    pub time: UnixMillis,
    /// Accepted documents.
    pub configuration: Configuration,
    /// Runners and replicas.
    pub placement: Placement,
    /// Last entry that may have changed the placement.
    pub placement_changed_at: LogIndex,
    /// Claims of once-only requests.
    pub claims: Claims,
    /// Deferred jobs.
    pub jobs: Jobs,
    /// Planned shutdowns.
    pub drains: Drains,
    /// Client sessions, for duplicate detection.
    pub sessions: Sessions,
    /// Addresses of members that joined the running group.
    pub members: MemberAddresses,
    /// Service configuration and leaving instances.
    pub services: Services,
}

impl ReplicatedState {
    /// Applies one committed command.
    pub fn apply(
        &mut self,
        index: LogIndex,
        term: Term,
        envelope: &CommandEnvelope,
    ) -> CommandReply {
        self.applied = index;
        self.time = self.time.max(envelope.proposed_at);
        let has_session = !envelope.client.as_str().is_empty();
        if has_session {
            match self.sessions.look_up(&envelope.client, envelope.sequence) {
                SequenceStatus::New => {}
                SequenceStatus::Applied(reply) => return reply,
                SequenceStatus::Forgotten => {
                    return CommandReply::Refused(CommandError::AnswerForgotten);
                }
            }
        }
        let fence = Fence {
            term,
            sequence: index.0,
        };
        if changes_placement(&envelope.command) {
            self.placement_changed_at = index;
        }
        let outcome = self.apply_command(&envelope.command, fence);
        let reply = outcome.unwrap_or_else(CommandReply::Refused);
        if has_session {
            self.sessions.record_reply(
                &envelope.client,
                envelope.sequence,
                envelope.acknowledged,
                reply.clone(),
                self.time,
            );
        }
        reply
    }

    /// Records an entry without a command as applied.
    pub fn skip(&mut self, index: LogIndex) {
        self.applied = index;
    }

    fn apply_command(
        &mut self,
        command: &Command,
        fence: Fence,
    ) -> Result<CommandReply, CommandError> {
        match command {
            Command::ChangeConfiguration(request) => {
                let limits = self.fleet_limits();
                let changed = self.configuration.change(request, &limits, self.time);
                let revision =
                    changed.map_err(|conflict| CommandError::Configuration { conflict })?;
                return Ok(CommandReply::Configured { revision });
            }
            Command::RecordRunner(record) => {
                let mut record = record.clone();
                let (runner, incarnation) = (&record.runner, record.incarnation);
                record.state = self
                    .drains
                    .effective_state(runner, incarnation, record.state);
                self.placement.record_runner(&record);
            }
            Command::DrainRouter {
                router,
                incarnation,
            } => self.drains.drain_router(router, *incarnation, self.time),
            Command::RouterLeft { router } => self.drains.router_left(router),
            Command::DrainRunner { runner } => self.drain_runner(runner)?,
            Command::SetRunnerState {
                runner,
                incarnation,
                state,
            } => self
                .placement
                .set_runner_state(runner, *incarnation, *state),
            Command::PlaceReplica { .. }
            | Command::ConfirmReplica { .. }
            | Command::WithdrawReplica { .. }
            | Command::ReleaseReplica { .. } => return self.apply_placement(command, fence),
            Command::OpenClaim(_)
            | Command::ReleaseClaim { .. }
            | Command::FinishClaim { .. }
            | Command::LookUpClaim { .. } => return self.apply_claim(command),
            Command::SubmitJob { .. }
            | Command::LeaseJob { .. }
            | Command::FinishJob { .. }
            | Command::CancelJob { .. }
            | Command::ViewJob { .. }
            | Command::ListJobs { .. } => return Ok(self.apply_job(command)),
            Command::AdvanceTime => self.expire(),
            Command::PutServices { number, document } => self.services.put(*number, document),
            Command::RecordLeaving { instance, ended } => {
                self.services.record_leaving(instance, *ended);
            }
            Command::RecordInstances { changed, gone } => {
                self.services.record_instances(changed, gone);
            }
            Command::RecordQuarantine { contents } => {
                self.services.quarantined.clone_from(contents);
            }
            Command::HoldOrders { member } => self.services.orders_holder = Some(*member),
            Command::RecordMember {
                member,
                wire_address,
            } => {
                self.members.insert(*member, wire_address.clone());
            }
        }
        Ok(self.done())
    }

    fn drain_runner(&mut self, runner: &RunnerId) -> Result<(), CommandError> {
        let record = self.placement.runners.get(runner);
        let Some(incarnation) = record.map(|record| record.incarnation) else {
            let runner = runner.clone();
            return Err(CommandError::RunnerNotLive { runner });
        };
        self.drains.drain_runner(runner, incarnation);
        self.placement
            .set_runner_state(runner, incarnation, MachineState::Leaving);
        Ok(())
    }

    /// Limits of the fleet against which documents are validated.
    #[must_use]
    pub fn fleet_limits(&self) -> FleetLimits {
        let runners = self.placement.runners.values();
        let in_service = runners.filter(|runner| runner.state != MachineState::Gone);
        FleetLimits {
            largest_runner_mib: in_service.map(|runner| runner.memory_mib).max(),
        }
    }

    fn done(&self) -> CommandReply {
        CommandReply::Done { at: self.time }
    }

    fn expire(&mut self) {
        self.claims.expire(self.time);
        self.jobs.expire(self.time);
        self.drains.expire(self.time);
        self.sessions.expire(self.time);
    }

    fn apply_placement(
        &mut self,
        command: &Command,
        new_fence: Fence,
    ) -> Result<CommandReply, CommandError> {
        match command {
            Command::PlaceReplica {
                replica,
                memory_mib,
            } => {
                let stored = self.configuration.deployments.get(&replica.deployment);
                let Some(stored) = stored else {
                    let deployment = replica.deployment.clone();
                    return Err(CommandError::UnknownDeployment { deployment });
                };
                let limit = stored.document.max_replicas;
                let placed =
                    self.placement
                        .place(replica, *memory_mib, limit, new_fence, self.time)?;
                Ok(CommandReply::Placed { fence: placed })
            }
            Command::ConfirmReplica { replica, fence } => {
                self.placement.confirm(replica, *fence)?;
                Ok(self.done())
            }
            Command::WithdrawReplica { replica, fence } => {
                let fence = self.placement.withdraw(replica, *fence, new_fence)?;
                Ok(CommandReply::Placed { fence })
            }
            Command::ReleaseReplica { replica, fence } => {
                self.placement.release(replica, *fence)?;
                Ok(self.done())
            }
            _ => Ok(self.done()),
        }
    }

    fn apply_claim(&mut self, command: &Command) -> Result<CommandReply, CommandError> {
        match command {
            Command::OpenClaim(request) => {
                let record = ClaimRecord {
                    digest: request.digest,
                    router: request.router.clone(),
                    incarnation: request.incarnation,
                    runner: request.runner.clone(),
                    execution: execution_name(&request.request, request.attempt),
                    state: ClaimState::Open,
                    expires_at: self.time + request.keep,
                };
                let name = claim_name(&request.tenant, &request.key);
                Ok(CommandReply::Claim(self.claims.open(&name, &record)))
            }
            Command::ReleaseClaim {
                tenant,
                key,
                request,
                attempt,
            } => {
                let name = claim_name(tenant, key);
                let execution = execution_name(request, *attempt);
                self.claims.release(&name, &execution, self.time)?;
                Ok(self.done())
            }
            Command::FinishClaim {
                tenant,
                key,
                request,
                attempt,
                answer,
            } => {
                let name = claim_name(tenant, key);
                let execution = execution_name(request, *attempt);
                self.claims.finish(&name, &execution, answer.clone())?;
                Ok(self.done())
            }
            Command::LookUpClaim {
                tenant,
                key,
                digest,
            } => {
                let name = claim_name(tenant, key);
                Ok(CommandReply::Claim(self.claims.look_up(&name, *digest)))
            }
            _ => Ok(self.done()),
        }
    }

    fn apply_job(&mut self, command: &Command) -> CommandReply {
        let now = self.time;
        let reply = match command {
            Command::SubmitJob {
                job,
                tenant,
                deployment,
                path,
                body,
                queue_limit,
                class,
                once_only,
                deadline_in,
                keep,
            } => {
                let record = JobRecord {
                    tenant: tenant.clone(),
                    deployment: deployment.clone(),
                    path: path.clone(),
                    digest: Digest::of(body),
                    body: body.clone(),
                    class: *class,
                    once_only: *once_only,
                    submitted_at: now,
                    deadline: now + *deadline_in,
                    keep: *keep,
                    ended_at: None,
                    expires_at: None,
                    started: false,
                    state: JobState::Queued,
                };
                self.jobs.submit(job, record, *queue_limit)
            }
            Command::LeaseJob {
                job,
                router,
                incarnation,
                length,
            } => {
                let until = now + *length;
                self.jobs.lease(job, router, *incarnation, until, now)
            }
            Command::FinishJob {
                job,
                router,
                incarnation,
                end,
            } => self.jobs.finish(job, router, *incarnation, end, now),
            Command::CancelJob { job, tenant } => self.jobs.cancel(job, tenant, now),
            Command::ViewJob { job, tenant } => self.jobs.view(job, tenant, now),
            Command::ListJobs { tenant, limit } => self.jobs.list(tenant, *limit),
            _ => return self.done(),
        };
        CommandReply::Job(reply)
    }

    /// When the next record expires; an `AdvanceTime` command is due then.
    #[must_use]
    pub fn next_expiry(&self) -> Option<UnixMillis> {
        let times = [
            self.claims.next_expiry(),
            self.jobs.next_expiry(),
            self.drains.next_expiry(),
        ];
        times.into_iter().flatten().min()
    }
}

fn claim_name(tenant: &TenantName, key: &IdempotencyKey) -> ClaimName {
    ClaimName {
        tenant: tenant.clone(),
        key: key.clone(),
    }
}

fn execution_name(request: &RequestId, attempt: Attempt) -> ExecutionName {
    ExecutionName {
        request: request.clone(),
        attempt,
    }
}

fn changes_placement(command: &Command) -> bool {
    matches!(
        command,
        Command::RecordRunner(_)
            | Command::SetRunnerState { .. }
            | Command::DrainRunner { .. }
            | Command::PlaceReplica { .. }
            | Command::ConfirmReplica { .. }
            | Command::WithdrawReplica { .. }
            | Command::ReleaseReplica { .. }
    )
}
