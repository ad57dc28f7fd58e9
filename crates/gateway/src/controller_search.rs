//! Search for a controller whose feed this router can follow: which controller it dials next,
//! after which pause, and when it switches to a preferred one.
//!
//! Invariant: a router with a feed leaves its controller only for one that precedes it in the
//! router's order and has not failed recently.

use crate::Shared;
use crate::directory::{Directory, KnownMember};
use crate::feed_backoff::FeedBackoff;
use crate::records::RouterRecord;
use courseshunt_records::emit;
use courseshunt_services::MemberLocation;
use courseshunt_types::Zone;
use courseshunt_wire::{DialLimit, WireError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum timeout of a connection attempt.
const MAX_DIAL_TIMEOUT: Duration = Duration::from_millis(960);
/// Routers that learn of a preferred controller switch to it within this time, each at a random
/// moment: all routers of a zone may learn of it at once.
const SWITCH_SPREAD: Duration = Duration::from_secs(4);
/// A controller that was unreachable or lost is not dialled for this time while another one
/// sends the feed, because each attempt interrupts the feed for a moment. Also the maximum
/// interval between checks for a preferred controller.
const LOST_CONTROLLER_BACKOFF: Duration = Duration::from_secs(30);
/// The same for a controller that had no feed: after most elections it has one again.
const NO_FEED_BACKOFF: Duration = Duration::from_secs(4);

/// Why following a controller ended.
pub(crate) enum FeedEnd {
    /// The controller has no feed now; the address of the leader, if the controller has it.
    NoFeed(Option<SocketAddr>),
    /// Another controller is preferred according to the member list.
    Preferred,
    /// The controller was unreachable, or the connection was lost.
    Lost(WireError),
}

impl From<WireError> for FeedEnd {
    fn from(error: WireError) -> Self {
        Self::Lost(error)
    }
}

impl FeedEnd {
    /// The error to put into a record.
    fn problem(&self) -> Option<String> {
        match self {
            Self::NoFeed(_) | Self::Preferred => None,
            Self::Lost(error) => Some(error.to_string()),
        }
    }
}

/// State of the search for a controller.
pub(crate) struct ControllerSearch {
    directory: Directory,
    /// Controllers that were dialled since this router last had a feed.
    tried: Vec<SocketAddr>,
    /// Controllers that failed, and until when they are avoided.
    failed: Vec<(SocketAddr, Instant)>,
    pub(crate) dial_limit: DialLimit,
    backoff: FeedBackoff,
    /// Address of the leader as reported by a controller without a feed; dialled next.
    leader_hint: Option<SocketAddr>,
    /// When the current controller was dialled.
    dialled_at: Instant,
    /// Whether the current controller has sent a feed.
    pub(crate) has_feed: bool,
}

impl ControllerSearch {
    /// Starts a search for the router of this name and zone.
    pub(crate) fn of(router: &str, zone: &str) -> Self {
        Self {
            directory: Directory::of(router, Zone::from(zone)),
            tried: Vec::new(),
            failed: Vec::new(),
            dial_limit: DialLimit::growing_to(MAX_DIAL_TIMEOUT),
            backoff: FeedBackoff::default(),
            leader_hint: None,
            dialled_at: Instant::now(),
            has_feed: false,
        }
    }

    /// The controller to dial next; `None` if all were tried.
    pub(crate) fn next(&mut self, seeds: Vec<SocketAddr>) -> Option<SocketAddr> {
        self.directory.set_seeds(seeds);
        let hint = self.leader_hint.take();
        let hint = hint.filter(|leader| !self.tried.contains(leader));
        let address = hint.or_else(|| self.directory.next(&self.tried))?;
        self.tried.push(address);
        self.dialled_at = Instant::now();
        self.has_feed = false;
        Some(address)
    }

    /// Starts again from the most preferred controller; returns the pause before that.
    pub(crate) fn restart(&mut self) -> Duration {
        self.tried.clear();
        self.dial_limit.timed_out();
        self.backoff.after_unreachable()
    }

    /// Records why following a controller ended; returns the pause before the next one is
    /// dialled.
    pub(crate) fn ended(
        &mut self,
        address: SocketAddr,
        end: &FeedEnd,
        shared: &Shared,
    ) -> Duration {
        if matches!(end, FeedEnd::Preferred) {
            self.tried = self.recently_failed();
            // Without a pause, controllers with different member lists would send the router
            // back and forth in a loop.
            return self.backoff.after_unreachable();
        }
        if let FeedEnd::NoFeed(leader) = end {
            self.leader_hint = *leader;
        }
        let controller = &address.to_string();
        let problem = end.problem();
        let problem = problem.as_deref();
        if self.has_feed {
            shared.metrics.feed_lost();
            emit(&RouterRecord::FeedLost {
                controller,
                problem,
            });
            self.tried.clear();
            self.backoff = FeedBackoff::default();
            if matches!(end, FeedEnd::NoFeed(_)) {
                // The controller has no leader, so all others are tried before it.
                self.tried.push(address);
                self.record_failure(address, NO_FEED_BACKOFF);
            }
            return Duration::ZERO;
        }
        emit(&RouterRecord::FeedSought {
            controller,
            problem,
        });
        let (pause, avoided_for) = match end {
            FeedEnd::Lost(_) => (self.backoff.after_unreachable(), LOST_CONTROLLER_BACKOFF),
            FeedEnd::NoFeed(_) | FeedEnd::Preferred => {
                let waited = self.dialled_at.elapsed();
                let pause = self.backoff.after_no_feed(rand::random(), waited);
                (pause, NO_FEED_BACKOFF)
            }
        };
        self.record_failure(address, avoided_for);
        pause
    }

    fn record_failure(&mut self, address: SocketAddr, avoided_for: Duration) {
        self.failed.push((address, Instant::now() + avoided_for));
    }

    /// Controllers that failed recently; expired entries are removed.
    fn recently_failed(&mut self) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.failed.retain(|(_, until)| *until > now);
        self.failed.iter().map(|(address, _)| *address).collect()
    }

    /// Whether a controller that has not failed recently precedes `address` in this router's
    /// order.
    pub(crate) fn has_preferred(&mut self, address: SocketAddr) -> bool {
        let failed = self.recently_failed();
        self.directory.has_preferred(address, &failed)
    }

    /// Replaces the member list by the one that a controller sent.
    pub(crate) fn set_members(&mut self, members: Vec<MemberLocation>) {
        let members = members.into_iter().filter_map(|one| {
            Some(KnownMember {
                address: one.address.parse().ok()?,
                zone: one.zone,
            })
        });
        self.directory.set_members(members.collect());
    }
}

/// When to check for a preferred controller; `changed` is whether the member list has just
/// changed.
pub(crate) fn next_preference_check(changed: bool) -> Instant {
    let within = match changed {
        true => SWITCH_SPREAD,
        false => LOST_CONTROLLER_BACKOFF,
    };
    // A random moment in the second half of the interval spreads the routers.
    Instant::now() + within.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
