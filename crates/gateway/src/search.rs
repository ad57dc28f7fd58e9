//! A router's search for a controller that feeds it: whom it asks next, after which pause,
//! and when it goes to a better one.
//!
//! Invariant: a router that is fed leaves its controller only for one that comes before it
//! and has not failed it lately.

use crate::Shared;
use crate::directory::{Directory, KnownMember};
use crate::feed_backoff::FeedBackoff;
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::MemberPlace;
use courseshunt_types::Zone;
use courseshunt_wire::{DialLimit, WireError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time for a connection.
const LONGEST_DIAL: Duration = Duration::from_millis(960);
/// Routers that learn of a better controller go there within this time, each at a moment of
/// its own: those of a whole zone may learn of it at once.
const MOVE_WITHIN: Duration = Duration::from_secs(4);
/// A controller that could not be reached, or was lost, is not gone to for so long while
/// another one feeds this router: each try costs a moment without a feed. Between looks for
/// a better controller there lies as much.
const LOST_KEPT: Duration = Duration::from_secs(30);
/// The same of one that had no feed to give: it has one again after most elections.
const WITHOUT_FEED_KEPT: Duration = Duration::from_secs(4);

/// How following a controller ended.
pub(crate) enum FeedEnd {
    /// It has no feed now; the leader, if it knows it.
    NoFeed(Option<SocketAddr>),
    /// Another controller comes before it, as it told.
    Better,
    /// It was not reached, or its feed broke off.
    Lost(WireError),
}

impl From<WireError> for FeedEnd {
    fn from(error: WireError) -> Self {
        Self::Lost(error)
    }
}

impl FeedEnd {
    /// What went wrong, for records.
    fn problem(&self) -> Option<String> {
        match self {
            Self::NoFeed(_) | Self::Better => None,
            Self::Lost(error) => Some(error.to_string()),
        }
    }
}

/// A router's search for a controller that feeds it.
pub(crate) struct Search {
    directory: Directory,
    /// Controllers that were asked since this router was last fed.
    tried: Vec<SocketAddr>,
    /// Controllers that did not feed this router, and until when that counts.
    failed: Vec<(SocketAddr, Instant)>,
    pub(crate) limit: DialLimit,
    pace: FeedBackoff,
    /// The leader, as a controller told that has no feed itself; asked next.
    leader: Option<SocketAddr>,
    /// When the present controller was asked.
    asked_at: Instant,
    /// Whether the present controller has fed this router.
    pub(crate) fed: bool,
}

impl Search {
    /// The search of this router.
    pub(crate) fn of(router: &str, zone: &str) -> Self {
        Self {
            directory: Directory::of(router, Zone::from(zone)),
            tried: Vec::new(),
            failed: Vec::new(),
            limit: DialLimit::growing_to(LONGEST_DIAL),
            pace: FeedBackoff::default(),
            leader: None,
            asked_at: Instant::now(),
            fed: false,
        }
    }

    /// The controller to ask next; none when all were asked.
    pub(crate) fn next(&mut self, seeds: Vec<SocketAddr>) -> Option<SocketAddr> {
        self.directory.set_seeds(seeds);
        let told = self.leader.take();
        let told = told.filter(|leader| !self.tried.contains(leader));
        let address = told.or_else(|| self.directory.next(&self.tried))?;
        self.tried.push(address);
        self.asked_at = Instant::now();
        self.fed = false;
        Some(address)
    }

    /// Begins from the nearest one on again; returns the pause before that.
    pub(crate) fn begin_again(&mut self) -> Duration {
        self.tried.clear();
        self.limit.timed_out();
        self.pace.unreached()
    }

    /// Records how following a controller ended; returns the pause before the next one.
    pub(crate) fn ended(
        &mut self,
        address: SocketAddr,
        end: &FeedEnd,
        shared: &Shared,
    ) -> Duration {
        if matches!(end, FeedEnd::Better) {
            self.tried = self.failed_lately();
            // Controllers that know different members would send it to and fro without one.
            return self.pace.unreached();
        }
        if let FeedEnd::NoFeed(leader) = end {
            self.leader = *leader;
        }
        let controller = &address.to_string();
        let problem = end.problem();
        let problem = problem.as_deref();
        if self.fed {
            shared.metrics.feed_lost();
            emit(&RouterRecord::FeedLost {
                controller,
                problem,
            });
            self.tried.clear();
            self.pace = FeedBackoff::default();
            if matches!(end, FeedEnd::NoFeed(_)) {
                // It has no leader; all others are asked before it.
                self.tried.push(address);
                self.fails(address, WITHOUT_FEED_KEPT);
            }
            return Duration::ZERO;
        }
        emit(&RouterRecord::FeedSought {
            controller,
            problem,
        });
        let (pause, counts_for) = match end {
            FeedEnd::Lost(_) => (self.pace.unreached(), LOST_KEPT),
            FeedEnd::NoFeed(_) | FeedEnd::Better => {
                let waited = self.asked_at.elapsed();
                let pause = self.pace.without_feed(rand::random(), waited);
                (pause, WITHOUT_FEED_KEPT)
            }
        };
        self.fails(address, counts_for);
        pause
    }

    fn fails(&mut self, address: SocketAddr, counts_for: Duration) {
        self.failed.push((address, Instant::now() + counts_for));
    }

    /// Controllers that did not feed this router a moment ago; others are forgotten.
    fn failed_lately(&mut self) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.failed.retain(|(_, until)| *until > now);
        self.failed.iter().map(|(address, _)| *address).collect()
    }

    /// Whether a controller comes before this one that may feed this router.
    pub(crate) fn has_better(&mut self, address: SocketAddr) -> bool {
        let failed = self.failed_lately();
        self.directory.has_better(address, &failed)
    }

    /// Takes the members over that a controller tells of.
    pub(crate) fn set_members(&mut self, members: Vec<MemberPlace>) {
        let members = members.into_iter().filter_map(|one| {
            Some(KnownMember {
                address: one.address.parse().ok()?,
                zone: one.zone,
            })
        });
        self.directory.set_members(members.collect());
    }
}

/// When to look for a better controller: `changed` tells whether members have changed.
pub(crate) fn next_look(changed: bool) -> Instant {
    let within = match changed {
        true => MOVE_WITHIN,
        false => LOST_KEPT,
    };
    // In the second half of that time, at a moment of this router's own.
    Instant::now() + within.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
