//! The way of a request: arrival, ticket, grant, claim, execution, answer.

use super::Mutant;
use super::event::{Event, Process, RequestNumber};
use super::requests::{End, Request, Stage};
use super::world::World;
use courseshunt_queue::{Grant, Ticket};
use courseshunt_standin::model::{EngineRequest, PREFIX_BLOCK_TOKENS, SequenceKey};
use courseshunt_state::{ClaimReply, ClaimRequest, Command, CommandReply, StoredAnswer};
use courseshunt_types::{
    Attempt, Digest, IdempotencyKey, Millis, PriorityClass, TenantName, Timestamp,
};

/// A caller asks again this long after it lost its answer or connection.
const REPEAT_AFTER: Millis = Millis::from_secs(2);
/// A caller asks again this long after it was told that the request still runs.
const IN_PROGRESS_AFTER: Millis = Millis::from_secs(5);
/// Pause between tries of a claim while there is no leader.
const CLAIM_RETRY: Millis = Millis(500);
/// How long claims are kept.
const CLAIM_KEEP: Millis = Millis::from_secs(24 * 3600);
/// Attempts of one request at the most.
const MAX_ATTEMPTS: u64 = 5;

impl World {
    pub(super) fn schedule_arrival(&mut self, number: usize) {
        if let Some(arrival) = self.arrivals.get(number) {
            self.events.push(arrival.at, Event::Arrival(number));
        }
    }

    pub(super) fn arrive(&mut self, number: usize) {
        self.schedule_arrival(number + 1);
        let origin = self.requests.len();
        let arrival = &self.arrivals[number];
        let deadline = self.now + arrival.deadline;
        let first = self.first[number];
        self.add_request(number, origin, first, deadline);
    }

    /// The caller of an ended request asks again, through another router.
    pub(super) fn repeat(&mut self, earlier: RequestNumber) {
        let Request {
            arrival, origin, ..
        } = self.requests[earlier];
        let deadline = self.requests[earlier].deadline;
        if deadline > self.now {
            self.add_request(arrival, origin, false, deadline);
        }
    }

    fn add_request(
        &mut self,
        arrival: usize,
        origin: RequestNumber,
        first: bool,
        deadline: Timestamp,
    ) {
        let number = self.requests.len();
        let holder = self.pick_router(self.arrivals[arrival].router + number - origin);
        self.requests.push(Request {
            arrival,
            deployment: self.arrivals[arrival].deployment,
            origin,
            id: format!("r{number}").into(),
            holder,
            arrived: self.now,
            deadline,
            stage: Stage::Waiting,
            attempt: 1,
            owner: holder,
            grant: None,
            runner: None,
            avoid: Vec::new(),
            starts: 0,
            first,
            measured: false,
            answers: 0,
        });
        self.open += 1;
        self.send_ticket(number);
    }

    /// The wanted router, or the next that runs.
    pub(super) fn pick_router(&self, wanted: usize) -> Process {
        let count = self.routers.len();
        let turns = (0..count).map(|turn| (wanted + turn) % count);
        let mut live =
            turns.filter(|router| self.routers[*router].up && self.routers[*router].accepting);
        self.router_process(live.next().unwrap_or(wanted % count))
    }

    pub(super) fn send_ticket(&mut self, number: RequestNumber) {
        let request = &self.requests[number];
        let Some(owner) = self.owners[request.deployment] else {
            return;
        };
        let owner = self.router_process(owner);
        let ticket = self.ticket(number);
        let delay = self.between_routers(self.requests[number].holder, owner);
        let request = &mut self.requests[number];
        request.owner = owner;
        request.stage = Stage::Waiting;
        self.push(
            delay,
            Event::Ticket {
                ticket,
                owner,
                request: number,
            },
        );
    }

    fn ticket(&self, number: RequestNumber) -> Ticket {
        let request = &self.requests[number];
        let arrival = &self.arrivals[request.arrival];
        let document = &self.site[request.deployment].document;
        let adapter = arrival.adapter.and_then(|one| document.adapters.get(one));
        Ticket {
            request: request.id.clone(),
            holder: self.routers[request.holder.number].site.router.clone(),
            deployment: document.name.clone(),
            adapter: adapter.map(|one| one.name.clone()),
            tenant: document.tenant.clone(),
            class: arrival.class,
            deadline_in: request.deadline.since(self.now),
            waited: self.now.since(request.arrived),
            prefix_hashes: Vec::new(),
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.answer_tokens,
            avoid: request.avoid.clone(),
        }
    }

    pub(super) fn granted(&mut self, grant: Grant, owner: Process, number: RequestNumber) {
        let runner = self.runner_numbers.get(&grant.runner).copied();
        let request = &self.requests[number];
        let wanted = request.stage == Stage::Waiting && self.is_there(request.holder);
        let Some(runner) = runner.filter(|_| wanted) else {
            let deployment = request.deployment;
            let delay = self.between_routers(request.holder, owner);
            let grant = grant.grant;
            let returned = Event::GrantReturned {
                owner,
                deployment,
                grant,
            };
            self.push(delay, returned);
            return;
        };
        self.measure_wait(number);
        let process = self.runner_process(runner);
        let request = &mut self.requests[number];
        request.owner = owner;
        request.stage = Stage::Granted;
        request.grant = Some(grant.grant);
        request.runner = Some(process);
        let (attempt, holder, deployment) = (request.attempt, request.holder, request.deployment);
        let started = Event::GrantStarted {
            owner,
            deployment,
            grant: grant.grant,
        };
        self.push(self.between_routers(holder, owner), started);
        let once_only = self.arrivals[self.requests[number].arrival].once_only;
        match once_only && !self.mutates(Mutant::SkipsClaims) {
            true => {
                let commit = self.settings.scenario.control.commit_ms;
                self.push(
                    commit,
                    Event::Claimed {
                        request: number,
                        attempt,
                    },
                );
            }
            false => self.send(number),
        }
    }

    /// Notes the wait of a request until its first grant, or its refusal.
    fn measure_wait(&mut self, number: RequestNumber) {
        let request = &mut self.requests[number];
        if std::mem::replace(&mut request.measured, true) {
            return;
        }
        let wait = self.now.since(request.arrived);
        let (first, arrival) = (request.first, request.arrival);
        if self.arrivals[arrival].class != PriorityClass::Batch {
            self.waits.add(wait);
        }
        if first {
            self.cold_waits.add(wait);
        }
    }

    fn claim_key(&self, number: RequestNumber) -> IdempotencyKey {
        format!("k{}", self.requests[number].origin).into()
    }

    pub(super) fn claimed(&mut self, number: RequestNumber, attempt: u64) {
        let request = &self.requests[number];
        if request.stage != Stage::Granted || request.attempt != attempt {
            return;
        }
        if !self.control.leading {
            self.push(
                CLAIM_RETRY,
                Event::Claimed {
                    request: number,
                    attempt,
                },
            );
            return;
        }
        let Some(runner) = request.runner else { return };
        let holder = &self.routers[request.holder.number];
        let execution = self.sequence_key(number);
        let command = Command::OpenClaim(Box::new(ClaimRequest {
            tenant: TenantName::from(super::site::TENANT),
            key: self.claim_key(number),
            digest: Digest::of(request.origin.to_string().as_bytes()),
            router: holder.site.router.clone(),
            incarnation: holder.incarnation,
            runner: self.fleet.runners[runner.number].name().clone(),
            request: execution.request,
            attempt: execution.attempt,
            keep: CLAIM_KEEP,
        }));
        match self.apply(command) {
            CommandReply::Claim(ClaimReply::Granted) => self.send(number),
            CommandReply::Claim(ClaimReply::Recorded(_)) => self.end(number, End::Served),
            CommandReply::Claim(ClaimReply::InProgress { .. }) => {
                self.end(number, End::InProgress);
                self.push(IN_PROGRESS_AFTER, Event::Repeat(number));
            }
            _ => self.end(number, End::Unknown),
        }
    }

    /// Sends a granted request to its runner.
    fn send(&mut self, number: RequestNumber) {
        let request = &self.requests[number];
        let Some(runner) = request.runner else { return };
        let from = &self.routers[request.holder.number].site.zone;
        let to = self.fleet.runners[runner.number].zone();
        let delay = self.delay(from, to);
        let attempt = request.attempt;
        self.push(
            delay,
            Event::Submit {
                request: number,
                attempt,
                runner,
            },
        );
    }

    pub(super) fn submit(&mut self, number: RequestNumber, attempt: u64, runner: Process) {
        let request = &self.requests[number];
        if request.stage != Stage::Granted || request.attempt != attempt {
            return;
        }
        let back = self.back_from(number, runner);
        if !self.fleet.reaches(runner) {
            self.push(
                back,
                Event::NotStarted {
                    request: number,
                    attempt,
                },
            );
            return;
        }
        let engine_request = self.engine_request(number);
        self.account(runner.number);
        let now = self.now;
        let submitted = self.fleet.runners[runner.number]
            .model
            .submit(engine_request, now);
        if submitted.is_err() {
            self.push(
                back,
                Event::NotStarted {
                    request: number,
                    attempt,
                },
            );
            return;
        }
        let request = &mut self.requests[number];
        request.stage = Stage::Running;
        request.starts += 1;
        let once_only = self.arrivals[request.arrival].once_only;
        let leaving = self.fleet.runners[runner.number].leaving_since;
        self.checks.started(request.origin, once_only, leaving, now);
        let executions = &mut self.fleet.runners[runner.number].executions;
        executions.insert(number, attempt);
        self.schedule_runner(runner.number);
        self.load_changed(runner.number);
    }

    pub(super) fn back_from(&self, number: RequestNumber, runner: Process) -> Millis {
        let holder = self.requests[number].holder;
        let to = &self.routers[holder.number].site.zone;
        self.delay(self.fleet.runners[runner.number].zone(), to)
    }

    pub(super) fn sequence_key(&self, number: RequestNumber) -> SequenceKey {
        let request = &self.requests[number];
        SequenceKey {
            request: request.id.clone(),
            attempt: Attempt(request.attempt),
        }
    }

    fn engine_request(&self, number: RequestNumber) -> EngineRequest {
        let request = &self.requests[number];
        let arrival = &self.arrivals[request.arrival];
        let document = &self.site[request.deployment].document;
        let adapter = arrival.adapter.and_then(|one| document.adapters.get(one));
        let blocks = arrival.shared_prefix_tokens / PREFIX_BLOCK_TOKENS;
        EngineRequest {
            key: self.sequence_key(number),
            deployment: document.name.clone(),
            adapter: adapter.map(|one| one.name.clone()),
            class: arrival.class,
            prompt_tokens: arrival.prompt_tokens.max(arrival.shared_prefix_tokens),
            prefix_hashes: (0..u64::from(blocks)).collect(),
            max_tokens: arrival.answer_tokens,
        }
    }

    /// The runner proved that it did not start the request.
    pub(super) fn not_started(&mut self, number: RequestNumber, attempt: u64) {
        if !self.is_present(number, attempt) {
            return;
        }
        if self.arrivals[self.requests[number].arrival].once_only {
            self.release_claim(number);
        }
        self.try_again(number);
    }

    fn is_present(&self, number: RequestNumber, attempt: u64) -> bool {
        let request = &self.requests[number];
        let open = request.stage != Stage::Ended && request.attempt == attempt;
        open && self.is_there(request.holder)
    }

    fn release_claim(&mut self, number: RequestNumber) {
        let execution = self.sequence_key(number);
        let command = Command::ReleaseClaim {
            tenant: TenantName::from(super::site::TENANT),
            key: self.claim_key(number),
            request: execution.request,
            attempt: execution.attempt,
        };
        self.apply(command);
    }

    /// Waits for another grant, on another runner if there is one.
    fn try_again(&mut self, number: RequestNumber) {
        self.return_grant(number);
        let now = self.now;
        let request = &mut self.requests[number];
        if let Some(runner) = request.runner.take() {
            request.avoid = vec![self.fleet.runners[runner.number].name().clone()];
        }
        request.attempt += 1;
        if request.attempt > MAX_ATTEMPTS || request.deadline <= now {
            let end = if request.starts > 0 {
                End::Unknown
            } else {
                End::NotRun
            };
            self.end(number, end);
            return;
        }
        self.send_ticket(number);
    }

    pub(super) fn return_grant(&mut self, number: RequestNumber) {
        let request = &mut self.requests[number];
        let Some(grant) = request.grant.take() else {
            return;
        };
        let (owner, holder, deployment) = (request.owner, request.holder, request.deployment);
        let delay = self.between_routers(holder, owner);
        self.push(
            delay,
            Event::GrantReturned {
                owner,
                deployment,
                grant,
            },
        );
    }

    pub(super) fn answered(&mut self, number: RequestNumber, attempt: u64) {
        if !self.is_present(number, attempt) {
            return;
        }
        let arrival = &self.arrivals[self.requests[number].arrival];
        let (once_only, loses) = (arrival.once_only, arrival.loses_answer);
        if once_only {
            self.finish_claim(number, true);
        }
        self.end(number, End::Served);
        if loses && self.requests[number].origin == number {
            self.push(REPEAT_AFTER, Event::Repeat(number));
        }
    }

    fn finish_claim(&mut self, number: RequestNumber, answered: bool) {
        let answer = answered.then(|| StoredAnswer {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        });
        let execution = self.sequence_key(number);
        let command = Command::FinishClaim {
            tenant: TenantName::from(super::site::TENANT),
            key: self.claim_key(number),
            request: execution.request,
            attempt: execution.attempt,
            answer,
        };
        self.apply(command);
    }

    /// The runner died, or the way to it, while the request ran.
    pub(super) fn connection_lost(&mut self, number: RequestNumber, attempt: u64) {
        if !self.is_present(number, attempt) {
            return;
        }
        if self.arrivals[self.requests[number].arrival].once_only {
            self.finish_claim(number, false);
            let end = match self.mutates(Mutant::DeniesExecutions) {
                true => End::NotRun,
                false => End::Unknown,
            };
            self.end(number, end);
            return;
        }
        self.try_again(number);
    }

    pub(super) fn refused(&mut self, number: RequestNumber, deadline: bool) {
        let request = &self.requests[number];
        if request.stage != Stage::Waiting || !self.is_there(request.holder) {
            return;
        }
        if deadline && request.starts > 0 {
            self.end(number, End::Unknown);
            return;
        }
        self.end(number, End::NotRun);
    }

    /// Gives a request its end.
    pub(super) fn end(&mut self, number: RequestNumber, end: End) {
        self.return_grant(number);
        self.measure_wait(number);
        let request = &mut self.requests[number];
        if request.stage == Stage::Ended {
            return;
        }
        request.stage = Stage::Ended;
        self.open -= 1;
        let late = self.now > request.deadline;
        let (starts, arrival) = (request.starts, request.arrival);
        let report = &mut self.report;
        match end {
            End::Served => report.served += 1,
            End::NotRun => report.refused_not_run += 1,
            End::Unknown => report.unknown += 1,
            End::InProgress => report.in_progress += 1,
            End::Interrupted => report.interrupted += 1,
        }
        if end == End::NotRun {
            self.checks.refused_not_run(starts);
        }
        if late || matches!(end, End::NotRun | End::Unknown) {
            report.deadline_missed += 1;
            report.deadline_missed_by_class[self.arrivals[arrival].class.rank()] += 1;
        }
    }
}
