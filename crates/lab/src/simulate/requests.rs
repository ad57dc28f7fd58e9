//! Records of callers' requests.

use super::event::{DeploymentNumber, Process, RequestNumber};
use courseshunt_queue::GrantId;
use courseshunt_types::{RequestId, RunnerId, Timestamp};

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A ticket waits, or is on its way.
    Waiting,
    /// Granted; a claim is being committed, or the request is on its way.
    Granted,
    /// Accepted by a runner.
    Running,
    /// It has its end.
    Ended,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The caller got the whole answer.
    Served,
    /// Refused, proved not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// An earlier execution under the same key still runs.
    InProgress,
    /// The router that held the connection died; the caller asks again.
    Interrupted,
}

/// One request at the router that holds its caller.
#[derive(Debug)]
pub struct Request {
    /// Position of its arrival.
    pub arrival: usize,
    /// Its deployment.
    pub deployment: DeploymentNumber,
    /// The caller's first request under the same key; itself if it is the first.
    pub origin: RequestNumber,
    /// Its identity.
    pub id: RequestId,
    /// Router that holds the caller.
    pub holder: Process,
    /// When it reached its first router.
    pub arrived: Timestamp,
    /// When it must be answered.
    pub deadline: Timestamp,
    /// Where it is.
    pub stage: Stage,
    /// Number of the present attempt, from 1.
    pub attempt: u64,
    /// Owner of the queue that its ticket went to.
    pub owner: Process,
    /// The present grant.
    pub grant: Option<GrantId>,
    /// Runner of the present grant.
    pub runner: Option<Process>,
    /// Runners that failed it.
    pub avoid: Vec<RunnerId>,
    /// Executions that began.
    pub starts: u32,
    /// Whether its wait counts as a cold start.
    pub first: bool,
    /// Whether its wait was measured.
    pub measured: bool,
    /// Answers that the caller got.
    pub answers: u32,
}

impl Request {
    /// The number behind an identity.
    #[must_use]
    pub fn number_of(id: &RequestId) -> Option<RequestNumber> {
        id.as_str().strip_prefix('r')?.parse().ok()
    }
}
