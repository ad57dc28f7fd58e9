//! What a queue tells the controllers.

use courseshunt_types::{DeploymentName, Millis, PriorityClass};

/// Numbers of waiting requests by class.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct WaitingByClass {
    /// Critical requests.
    pub critical: u32,
    /// Interactive requests.
    pub interactive: u32,
    /// Batch requests.
    pub batch: u32,
}

impl WaitingByClass {
    /// The number of one class.
    #[must_use]
    pub fn of(&self, class: PriorityClass) -> u32 {
        match class {
            PriorityClass::Critical => self.critical,
            PriorityClass::Interactive => self.interactive,
            PriorityClass::Batch => self.batch,
        }
    }

    /// The number of one class, to change it.
    pub fn of_mut(&mut self, class: PriorityClass) -> &mut u32 {
        match class {
            PriorityClass::Critical => &mut self.critical,
            PriorityClass::Interactive => &mut self.interactive,
            PriorityClass::Batch => &mut self.batch,
        }
    }

    /// The number of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.critical + self.interactive + self.batch
    }
}

/// Demand for one deployment at one queue owner.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct DemandReport {
    /// The deployment.
    pub deployment: DeploymentName,
    /// Waiting requests.
    pub waiting: WaitingByClass,
    /// Granted requests that have not ended.
    pub running: u32,
    /// Requests that arrived since the last report, by class.
    pub arrived: WaitingByClass,
    /// Time left to the earliest deadline of a waiting request.
    pub earliest_deadline_in: Option<Millis>,
    /// Longest wait so far of a waiting request.
    pub longest_wait: Millis,
}

impl WaitingByClass {
    /// Adds the numbers of another queue.
    pub fn add(&mut self, other: &Self) {
        for class in PriorityClass::ALL {
            *self.of_mut(class) += other.of(class);
        }
    }
}

impl DemandReport {
    /// No demand.
    #[must_use]
    pub fn empty(deployment: DeploymentName) -> Self {
        Self {
            deployment,
            waiting: WaitingByClass::default(),
            running: 0,
            arrived: WaitingByClass::default(),
            earliest_deadline_in: None,
            longest_wait: Millis(0),
        }
    }

    /// Adds the demand of another queue of the same deployment.
    pub fn add(&mut self, other: &Self) {
        self.waiting.add(&other.waiting);
        self.arrived.add(&other.arrived);
        self.running += other.running;
        let earliest = [self.earliest_deadline_in, other.earliest_deadline_in];
        self.earliest_deadline_in = earliest.into_iter().flatten().min();
        self.longest_wait = self.longest_wait.max(other.longest_wait);
    }

    /// Whether nothing waits, runs or has arrived.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.total() + self.running + self.arrived.total() == 0
    }
}
