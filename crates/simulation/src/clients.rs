//! Operators that race: they set a few documents under versions that collide,
//! send again after lost answers, also after newer versions, and read.

use crate::checker::Checker;
use crate::node::{Answer, Origin};
use crate::world::{Event, World};
use courseshunt_state::{ChangeRequest, Command, CommandEnvelope, CommandReply, TenantDocument};
use courseshunt_types::{
    ChangeId, ClientId, ClientSequence, ControllerId, Digest, Revision, TenantName, UnixMillis,
    Version,
};

/// Longest wait for an answer before the request is sent again, in milliseconds.
const ANSWER_TIMEOUT: u64 = 900;
/// Longest pause between operations, in milliseconds.
const PAUSE: u64 = 400;
/// An operation that ended within this time before the end counts as lately,
/// in milliseconds.
const LATELY: u64 = 10_000;
/// Questions to machines that are there which a working group does not leave unserved by
/// chance: one is for a redirection, and an answer is lost in one of a hundred cases. Without
/// a leader there are that many within a second.
const ENOUGH_QUESTIONS: u32 = 6;
/// Documents that the operators set.
const DOCUMENTS: u64 = 3;

/// What a client sends.
#[derive(Debug, Clone)]
pub(crate) enum Request {
    Change(Box<CommandEnvelope>),
    Read,
}

#[derive(Debug, Clone)]
struct Operation {
    request: Request,
    change: Option<ChangeId>,
    /// What every client had seen when the operation began.
    floor: Revision,
}

/// One operator.
#[derive(Debug)]
pub(crate) struct Client {
    number: usize,
    operation: u64,
    open: Option<Operation>,
    /// An earlier change, sent again now and then.
    earlier: Option<(Request, ChangeId)>,
    version: u64,
    target: Option<ControllerId>,
    served_at: u64,
    /// Questions to machines that are not gone for good since it was served.
    unserved: u32,
    now: u64,
    /// Number of the latest timer; earlier ones no longer count.
    timer: u64,
}

impl Client {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            number,
            operation: 0,
            open: None,
            earlier: None,
            version: 0,
            target: None,
            served_at: 0,
            unserved: 0,
            now: 0,
            timer: 0,
        }
    }

    /// Whether it was served lately. One that by chance asked hardly anybody but machines
    /// that are gone for good does not count: an operator's list names none.
    pub(crate) fn was_served_lately(&self) -> bool {
        self.unserved < ENOUGH_QUESTIONS || self.served_at + LATELY >= self.now
    }

    fn change(&mut self, document: u64) -> (Request, ChangeId) {
        self.version += 1;
        let change_id: ChangeId = format!("client-{}-{}", self.number, self.operation).into();
        let content = format!("{}-{}", self.number, self.operation);
        let request = ChangeRequest {
            change_id: change_id.clone(),
            tenants: vec![TenantDocument {
                name: TenantName(format!("tenant-{document}")),
                version: Version(self.version),
                token_digests: vec![Digest::of(content.as_bytes())],
            }],
            ..ChangeRequest::default()
        };
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.now),
            command: Command::ChangeConfiguration(request),
        };
        (Request::Change(Box::new(envelope)), change_id)
    }

    /// Sends the next operation to any member.
    pub(crate) fn forget_leader(&mut self) {
        self.target = None;
    }

    /// Takes an answer; returns whether the operation is over.
    fn take(&mut self, from: ControllerId, answer: Answer, checker: &mut Checker) -> bool {
        let Some(open) = &self.open else {
            return false;
        };
        match answer {
            Answer::Written(CommandReply::Configured { revision }) => {
                if let Some(change) = &open.change {
                    checker.acknowledged(change, revision, open.floor);
                    self.earlier = Some((open.request.clone(), change.clone()));
                }
                true
            }
            Answer::Written(_) => true,
            Answer::Read(revision) => {
                checker.read(from, revision, open.floor);
                true
            }
            Answer::NotLeader(leader) => {
                self.target = leader;
                false
            }
            Answer::Undecided => {
                self.target = None;
                false
            }
        }
    }
}

impl World {
    /// Wakes a client after `delay` milliseconds, and not earlier.
    pub(crate) fn wake_client(&mut self, number: usize, delay: u64) {
        let client = &mut self.clients[number];
        client.timer += 1;
        let timer = client.timer;
        self.schedule(delay, Event::Client(number, timer));
    }

    /// A client begins an operation, or sends an open one again.
    pub(crate) fn client_acts(&mut self, number: usize, timer: u64) {
        let now = self.now;
        if self.clients[number].timer != timer {
            return;
        }
        let floor = self.checker.seen_revision();
        let document = self.random.below(DOCUMENTS);
        let (read, resend) = (self.random.chance(450), self.random.chance(150));
        let client = &mut self.clients[number];
        client.now = now;
        if client.open.is_none() {
            client.operation += 1;
            let earlier = client.earlier.clone().filter(|_| resend);
            let operation = match earlier {
                Some((request, change)) => Operation {
                    request,
                    change: Some(change),
                    floor: Revision(0),
                },
                None if read => Operation {
                    request: Request::Read,
                    change: None,
                    floor,
                },
                None => {
                    let (request, change) = client.change(document);
                    Operation {
                        request,
                        change: Some(change),
                        floor,
                    }
                }
            };
            client.open = Some(operation);
        }
        self.send_request(number);
        self.wake_client(number, ANSWER_TIMEOUT);
    }

    fn send_request(&mut self, number: usize) {
        let members: Vec<ControllerId> = self.nodes.keys().copied().collect();
        let anyone = self.random.pick(&members);
        let client = &mut self.clients[number];
        let target = client.target.take().or(anyone);
        let origin = Origin {
            client: number,
            operation: client.operation,
        };
        let Some(operation) = &client.open else {
            return;
        };
        let request = operation.request.clone();
        if let Some(target) = target {
            let lost = self.nodes.get(&target).is_some_and(|node| node.lost);
            if !lost {
                client.unserved += 1;
            }
            let delay = self.delay();
            self.schedule(delay, Event::Request(target, origin, request));
        }
    }

    pub(crate) fn client_hears(&mut self, from: ControllerId, origin: Origin, answer: Answer) {
        let now = self.now;
        let client = &mut self.clients[origin.client];
        if client.operation != origin.operation || client.open.is_none() {
            return;
        }
        client.now = now;
        let over = client.take(from, answer, &mut self.checker);
        if over {
            client.open = None;
            client.served_at = now;
            client.unserved = 0;
            client.target = Some(from);
            let pause = self.random.below(PAUSE);
            self.wake_client(origin.client, pause);
        } else {
            let pause = self.random.between(10, 60);
            self.wake_client(origin.client, pause);
        }
    }
}
