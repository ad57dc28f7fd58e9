//! The router of declared services: it admits requests, selects an instance by
//! the predicted first answer, forwards, and relays the answer as it comes.
//!
//! Invariants: a request that may not be repeated is sent again only after the
//! instance said that it did not run, or when it surely was not sent; a refusal
//! that promises "not run" is given only then; every request ends with a whole
//! answer, a refusal or a closed connection within its time; bytes of a broken
//! answer never look complete.

mod admission;
mod answer_words;
mod attempt;
mod demand;
pub mod directory;
mod error;
mod feed;
mod flight;
mod handle;
pub mod held_document;
mod interface;
mod limit_desk;
mod looks;
mod metrics;
pub mod passed_headers;
mod pool;
mod quarantine_desk;
mod questions;
mod quota_desk;
mod records;
mod refusal;
mod relay;
mod search;
pub mod seeking;
mod serve;
pub mod standing;
mod view;
pub mod waiting;

pub use error::GatewayError;
pub use interface::{AnswerFacts, CarriedKey, ClientInterface, Presence, RequestFacts, Sending};

use answer_words::UnknownWords;
use courseshunt_records::emit;
use courseshunt_settings::service::{SeedList, ServiceSettings};
use courseshunt_types::time::{MonotonicClock, SuspendDetector};
use error::{BindSnafu, NoAddressSnafu, ShortKeySnafu};
use limit_desk::LimitDesk;
use metrics::Metrics;
use pool::ConnectionPool;
use quarantine_desk::QuarantineDesk;
use quota_desk::{QuotaDesk, quota_settings};
use records::RouterRecord;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use view::View;

/// Time after the order to stop in which new connections are still served: the
/// platform notices the missing readiness only by and by.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the grace time that is left to the end of the process.
const STOP_MARGIN: Duration = Duration::from_millis(400);

/// Before the end of a planned stop, requests that wait for an instance are refused this
/// much earlier: their refusals reach the clients before the process ends.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(500);

/// What the parts of a router share.
pub(crate) struct Shared {
    pub(crate) settings: ServiceSettings,
    pub(crate) interface: Arc<dyn ClientInterface>,
    pub(crate) view: View,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: Metrics,
    pub(crate) quotas: Arc<QuotaDesk>,
    pub(crate) limits: LimitDesk,
    pub(crate) quarantine: QuarantineDesk,
    pub(crate) unknown_words: UnknownWords,
    pub(crate) seeds: SeedList,
    pub(crate) clock: MonotonicClock,
    /// Cancelled when the process is told to stop.
    pub(crate) stopping: CancellationToken,
    /// Cancelled when nothing new is taken any more.
    pub(crate) closing: CancellationToken,
    /// Cancelled when requests that still wait at a planned stop have to be refused.
    pub(crate) giving_up: CancellationToken,
    /// Cancelled when it ends.
    pub(crate) ended: CancellationToken,
    pub(crate) requests: tokio_util::task::TaskTracker,
}

impl Shared {
    /// Whether a leader was heard lately.
    pub(crate) fn is_led(&self) -> bool {
        self.view.feed_age() <= standing::LONGEST_SILENCE
    }
}

/// Time between looks at whether the machine was suspended.
const SLEEP_LOOK: Duration = Duration::from_secs(1);

/// Tells when the machine was suspended. Nothing waits for it: what expires is judged by a
/// clock that counts the sleep, whenever it is asked.
async fn watch_sleep(shared: Arc<Shared>) {
    let mut watch = SuspendDetector::start(&shared.clock);
    loop {
        tokio::time::sleep(SLEEP_LOOK).await;
        if let Some(slept) = watch.check(&shared.clock) {
            shared.metrics.slept(slept);
            emit(&RouterRecord::Slept { slept_ms: slept.0 });
        }
    }
}

/// A running router.
pub struct Gateway {
    shared: Arc<Shared>,
}

impl Gateway {
    /// Starts a router.
    ///
    /// # Errors
    /// When an address is missing or taken.
    pub async fn start(
        settings: ServiceSettings,
        interface: Arc<dyn ClientInterface>,
    ) -> Result<Self, GatewayError> {
        Self::start_by(MonotonicClock::start(), settings, interface).await
    }

    /// Starts a router that judges what expires by `clock`.
    ///
    /// # Errors
    /// When an address is missing or taken.
    pub async fn start_by(
        clock: MonotonicClock,
        settings: ServiceSettings,
        interface: Arc<dyn ClientInterface>,
    ) -> Result<Self, GatewayError> {
        let key = courseshunt_wire::ClusterKey::new(settings.cluster_key.as_bytes());
        let key = key.context(ShortKeySnafu)?;
        let clients = settings.listen.clients.context(NoAddressSnafu)?;
        let clients = bind(clients)?;
        let ready = settings.listen.ready.map(bind).transpose()?;
        let metrics = settings.listen.metrics.map(bind).transpose()?;
        let shared = Arc::new(Shared {
            view: View::new(&settings, clock),
            pool: ConnectionPool::default(),
            metrics: Metrics::default(),
            quotas: Arc::new(QuotaDesk::new(
                quota_settings(&settings.limits),
                view::ASSUMED_ROUTERS,
            )),
            limits: LimitDesk::default(),
            quarantine: QuarantineDesk::new(clock),
            unknown_words: UnknownWords::default(),
            seeds: SeedList::new(&settings),
            interface,
            clock,
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            giving_up: CancellationToken::new(),
            ended: CancellationToken::new(),
            requests: tokio_util::task::TaskTracker::new(),
            settings,
        });
        let ended = shared.ended.clone();
        let feed = feed::follow(shared.clone(), key);
        tokio::spawn(ended.clone().run_until_cancelled_owned(feed));
        let watching = watch_sleep(shared.clone());
        tokio::spawn(ended.clone().run_until_cancelled_owned(watching));
        let clients = serve::accept_clients(clients, shared.clone());
        tokio::spawn(shared.closing.clone().run_until_cancelled_owned(clients));
        if let Some(ready) = ready {
            tokio::spawn(serve::serve_readiness(ready, shared.clone()));
        }
        if let Some(metrics) = metrics {
            tokio::spawn(serve::serve_metrics(metrics, shared.clone()));
        }
        emit(&RouterRecord::Started {
            name: &shared.settings.name,
            zone: &shared.settings.zone,
        });
        Ok(Self { shared })
    }

    /// Follows changed settings: the seeds take effect at once, all else at the
    /// next start.
    pub fn reload(&self, settings: &ServiceSettings) {
        let seeds = self.shared.seeds.follow(settings);
        emit(&RouterRecord::Reloaded { seeds });
    }

    /// Stops as planned: says that it isn't ready, serves what still comes, and
    /// returns once nothing is under way or the grace time is nearly over.
    pub async fn stop(self) {
        emit(&RouterRecord::Stops);
        self.shared.stopping.cancel();
        let grace = Duration::from_secs_f64(self.shared.settings.limits.grace_s);
        let limit = tokio::time::Instant::now() + grace.saturating_sub(STOP_MARGIN);
        tokio::time::sleep(LINGER.min(grace / 2)).await;
        self.shared.closing.cancel();
        self.shared.requests.close();
        let refusing = limit - GIVE_UP_MARGIN;
        if tokio::time::timeout_at(refusing, self.shared.requests.wait())
            .await
            .is_err()
        {
            self.shared.giving_up.cancel();
            let _ = tokio::time::timeout_at(limit, self.shared.requests.wait()).await;
        }
        self.shared.ended.cancel();
        let unfinished = self.shared.requests.len();
        emit(&RouterRecord::Stopped { unfinished });
    }
}

fn bind(address: SocketAddr) -> Result<tokio::net::TcpListener, GatewayError> {
    courseshunt_wire::listen(address).context(BindSnafu { address })
}
