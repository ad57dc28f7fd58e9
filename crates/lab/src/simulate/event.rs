//! Events of the simulation and their order.
//!
//! Invariant: events come out by time, and those of one moment in the order in
//! which they were put in, so that equal seeds give equal runs.

use courseshunt_queue::{Grant, GrantId, Ticket};
use courseshunt_state::CommandEnvelope;
use courseshunt_types::runner_api::{MachineState, OrderRequest};
use courseshunt_types::{Fence, Incarnation, ReplicaKey, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Position of a request in the world.
pub type RequestNumber = usize;
/// Position of a router in the world.
pub type RouterNumber = usize;
/// Position of a runner in the world.
pub type RunnerNumber = usize;
/// Position of a deployment in the world.
pub type DeploymentNumber = usize;

/// A process of which only one incarnation is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Process {
    /// Position of the process.
    pub number: usize,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Something that happens.
#[derive(Debug)]
pub enum Event {
    /// A caller's next request reaches a router.
    Arrival(usize),
    /// A caller asks again for what it lost or may try again.
    Repeat(RequestNumber),
    /// A ticket reaches the owner of its queue.
    Ticket {
        /// The ticket.
        ticket: Ticket,
        /// The owner.
        owner: Process,
        /// The request.
        request: RequestNumber,
    },
    /// The owner looks for deadlines and unused grants.
    Expire {
        /// The owner.
        owner: Process,
        /// Its queue.
        deployment: DeploymentNumber,
    },
    /// A grant reaches the holder.
    Granted {
        /// The grant.
        grant: Grant,
        /// The owner that gave it.
        owner: Process,
        /// The request.
        request: RequestNumber,
    },
    /// A refusal reaches the holder.
    Refused {
        /// The request.
        request: RequestNumber,
        /// Whether the deadline was the reason.
        deadline: bool,
    },
    /// The owner learns that a grant is used.
    GrantStarted {
        /// The owner.
        owner: Process,
        /// The queue.
        deployment: DeploymentNumber,
        /// The grant.
        grant: GrantId,
    },
    /// The owner gets a slot back.
    GrantReturned {
        /// The owner.
        owner: Process,
        /// The queue.
        deployment: DeploymentNumber,
        /// The grant.
        grant: GrantId,
    },
    /// A claim was committed, or not.
    Claimed {
        /// The request.
        request: RequestNumber,
        /// Attempt for which it was asked.
        attempt: u64,
    },
    /// A request reaches a runner.
    Submit {
        /// The request.
        request: RequestNumber,
        /// Its attempt.
        attempt: u64,
        /// The runner.
        runner: Process,
    },
    /// The runner refused the request; the holder learns it.
    NotStarted {
        /// The request.
        request: RequestNumber,
        /// Its attempt.
        attempt: u64,
    },
    /// The whole answer reaches the holder.
    Answered {
        /// The request.
        request: RequestNumber,
        /// Its attempt.
        attempt: u64,
    },
    /// The holder learns that the connection to the runner broke.
    ConnectionLost {
        /// The request.
        request: RequestNumber,
        /// Its attempt.
        attempt: u64,
    },
    /// A router that holds a request learns that its queue has another owner.
    OwnerChanged(DeploymentNumber),
    /// Something is due on a runner.
    RunnerWake(RunnerNumber),
    /// Something is due at the weight store.
    StoreWake,
    /// A queue's demand reaches the leader.
    Demand {
        /// The owner.
        owner: Process,
        /// The queue.
        deployment: DeploymentNumber,
    },
    /// The leader plans.
    Plan,
    /// The decisions of a plan are committed.
    CommitDecisions,
    /// A command is committed.
    Commit(Box<CommandEnvelope>),
    /// An order reaches a runner.
    Order {
        /// The runner.
        runner: RunnerNumber,
        /// The order.
        order: OrderRequest,
    },
    /// An unload order that must precede a release reaches a runner.
    FenceAndRelease {
        /// The runner.
        runner: RunnerNumber,
        /// The replica.
        replica: ReplicaKey,
        /// Fence of the withdrawal.
        fence: Fence,
    },
    /// The leader reads a runner's inventory.
    ReadInventory(RunnerNumber),
    /// The leader reads a runner's load.
    ReadLoad(RunnerNumber),
    /// The leader reads all inventories, so that lost orders are repeated.
    Sweep,
    /// The platform's list shows a machine's state.
    Listed {
        /// The runner on it.
        runner: RunnerNumber,
        /// The state.
        state: MachineState,
    },
    /// Routers learn of changed replicas.
    Feed(DeploymentNumber),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A new leader takes over.
    Elected,
    /// A reclaimed machine is taken away.
    MachineTaken(RunnerNumber),
    /// A router's configuration moves on.
    ConfigurationFed(RouterNumber),
}

/// Events to come.
#[derive(Debug, Default)]
pub struct EventQueue {
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    last: u64,
}

impl EventQueue {
    /// Puts an event in.
    pub fn push(&mut self, at: Timestamp, event: Event) {
        self.last += 1;
        self.order.push(Reverse((at, self.last)));
        self.events.insert(self.last, event);
    }

    /// Takes the next event out.
    pub fn pop(&mut self) -> Option<(Timestamp, Event)> {
        let Reverse((at, number)) = self.order.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
