//! Decides whether requests are within their tenants' quotas, and queries the leader where this
//! is needed.
//!
//! Invariant: a request waits for the leader's answer for a bounded time; units that are
//! granted after that are refunded.

use crate::leader_queries::{Answered, LeaderQueries};
use courseshunt_services::{
    LimitedRequest, QuotaAnswer, QuotaQuery, QuotaSettings, QuotaStep, QuotaVerdict,
    ReservationTerms, RouterQuotas, Tenant, TenantAccountStatus, UseReport,
};
use courseshunt_settings::service::ServiceLimits;
use courseshunt_types::{Millis, Timestamp};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Timeout for the leader's answer: a healthy leader answers within a few milliseconds, and the
/// shortest objectives are 100 ms.
pub(crate) const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// A request that waits is counted again after this time, so that its units stay within the window
/// until it is sent.
const MAX_CHARGE_AGE: Millis = Millis(1_000);
/// A request that is sent this time after it was counted is counted again: the resolution of the
/// leader's accounts.
const MAX_SENT_CHARGE_AGE: Millis = Millis(100);
/// Refusal of a request that exceeds its tenant's quota.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OverQuota {
    /// Time after which the client should return.
    pub(crate) retry_after: Millis,
    /// Whether the leader reserved units for its return.
    pub(crate) is_reserved: bool,
}

impl From<Millis> for OverQuota {
    fn from(retry_after: Millis) -> Self {
        Self {
            retry_after,
            is_reserved: false,
        }
    }
}

/// A query on a request of this tenant.
#[derive(Clone)]
struct TenantQuery {
    tenant: Arc<Tenant>,
    query: QuotaQuery,
}

struct State {
    quotas: RouterQuotas,
    /// Whether a leader is connected.
    connected: bool,
    queries: LeaderQueries<TenantQuery, QuotaVerdict>,
}

/// Quota state of this router and its queries to the leader.
pub(crate) struct QuotaTracker {
    state: Mutex<State>,
    /// Notified when there is a query to send.
    pub(crate) queries_pending: Notify,
}

/// Quota settings from the settings of the process.
pub(crate) fn quota_settings(limits: &ServiceLimits) -> QuotaSettings {
    QuotaSettings::new(
        limits.quota_window_s,
        limits.quota_overshoot,
        limits.quota_slack,
    )
}

impl QuotaTracker {
    pub(crate) fn new(settings: QuotaSettings, routers: u32) -> Self {
        Self {
            state: Mutex::new(State {
                quotas: RouterQuotas::new(settings, routers, rand::random()),
                connected: false,
                queries: LeaderQueries::default(),
            }),
            queries_pending: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the number of routers among which quotas are shared.
    pub(crate) fn set_routers(&self, routers: u32) {
        self.lock().quotas.set_routers(routers);
    }

    /// Applies the account statuses sent by the leader of `epoch`.
    pub(crate) fn set_account_statuses(
        &self,
        epoch: u64,
        account_statuses: Vec<TenantAccountStatus>,
        now: Timestamp,
    ) {
        let mut state = self.lock();
        state.connected = true;
        state
            .quotas
            .set_account_statuses(epoch, account_statuses, now);
    }

    /// Records that the leader is lost: requests that wait for its answer are decided locally.
    pub(crate) fn leader_lost(&self) {
        let mut state = self.lock();
        state.connected = false;
        state.queries.clear();
    }

    /// Takes the queries to send.
    pub(crate) fn take_queries(&self) -> Vec<QuotaQuery> {
        let queries = self.lock().queries.take_unsent();
        queries.into_iter().map(|one| one.query).collect()
    }

    /// Records that the feed of a leader starts.
    pub(crate) fn start_leader_feed(&self) {
        self.lock().quotas.start_leader_feed();
    }

    /// The quota use to report to the leader.
    pub(crate) fn take_report(&self, now: Timestamp) -> Option<UseReport> {
        self.lock().quotas.take_report(now)
    }

    /// Applies the leader's answers.
    pub(crate) fn apply_answers(&self, answers: Vec<QuotaAnswer>, now: Timestamp) {
        let mut state = self.lock();
        for QuotaAnswer { number, verdict } in answers {
            if let Some(answered) = state.queries.complete(number, verdict) {
                state.apply_verdict(answered, verdict, now);
            }
        }
    }

    /// Charges a request to its tenant's quota. `terms` are those of the reservation that it may
    /// have, or gets if it exceeds the quota. `has_leader` is whether a message of a leader arrived
    /// recently.
    ///
    /// # Errors
    /// If the request exceeds the quota.
    pub(crate) async fn admit(
        &self,
        tenant: &Arc<Tenant>,
        request: &LimitedRequest<'_>,
        terms: Option<ReservationTerms>,
        has_leader: bool,
        now: Timestamp,
    ) -> Result<(), OverQuota> {
        let (number, answer) = {
            let mut state = self.lock();
            let has_leader = has_leader && state.connected;
            let (quotas, draw) = (&mut state.quotas, rand::random());
            let step = match terms {
                Some(_) => quotas.decide_returning(request, has_leader, draw, now),
                None => quotas.decide(request, has_leader, draw, now),
            };
            match step {
                QuotaStep::Admit => return Ok(()),
                QuotaStep::Refuse { fits_after } => return Err(fits_after.into()),
                QuotaStep::Query => state.query_leader(tenant, request, terms),
            }
        };
        self.queries_pending.notify_one();
        match tokio::time::timeout(LEADER_ANSWER_TIMEOUT, answer).await {
            Ok(Ok(QuotaVerdict::Granted)) => Ok(()),
            Ok(Ok(QuotaVerdict::Refused { fits_after })) => Err(fits_after.into()),
            Ok(Ok(QuotaVerdict::Reserved { starts_after })) => Err(OverQuota {
                retry_after: starts_after,
                is_reserved: true,
            }),
            Ok(Ok(QuotaVerdict::Unknown) | Err(_)) | Err(_) => {
                let admitted = self.admit_locally(number, request, terms, now);
                admitted.map_err(OverQuota::from)
            }
        }
    }

    /// Decides on a request whose query the leader did not answer in time.
    fn admit_locally(
        &self,
        number: u64,
        request: &LimitedRequest<'_>,
        terms: Option<ReservationTerms>,
        now: Timestamp,
    ) -> Result<(), Millis> {
        let mut state = self.lock();
        state.queries.abandon(number);
        let (quotas, draw) = (&mut state.quotas, rand::random());
        let step = match terms {
            Some(_) => quotas.decide_returning_without_leader(request, draw, now),
            None => quotas.decide_without_leader(request, draw, now),
        };
        match step {
            QuotaStep::Refuse { fits_after } => Err(fits_after),
            QuotaStep::Admit | QuotaStep::Query => Ok(()),
        }
    }

    /// Refunds the units of a request that did not run.
    fn refund(&self, tenant: &str, units: u32, counted_at: Timestamp, now: Timestamp) {
        let mut state = self.lock();
        state.quotas.refund(tenant, units, counted_at, now);
    }
}

impl State {
    fn query_leader(
        &mut self,
        tenant: &Arc<Tenant>,
        request: &LimitedRequest<'_>,
        terms: Option<ReservationTerms>,
    ) -> (u64, oneshot::Receiver<QuotaVerdict>) {
        self.queries.submit(|number| TenantQuery {
            tenant: tenant.clone(),
            query: QuotaQuery {
                number,
                tenant: tenant.name.clone(),
                units: request.units,
                rank: request.rank,
                reservation: terms,
            },
        })
    }

    fn apply_verdict(
        &mut self,
        answered: Answered<TenantQuery>,
        verdict: QuotaVerdict,
        now: Timestamp,
    ) {
        let Answered {
            query: TenantQuery { tenant, query },
            was_awaited,
        } = answered;
        match (verdict, tenant.quota) {
            (QuotaVerdict::Granted, Some(quota)) => {
                let request = LimitedRequest {
                    tenant: &query.tenant,
                    quota: &quota,
                    units: query.units,
                    rank: query.rank,
                };
                self.quotas.granted(&request, now);
                if !was_awaited {
                    self.quotas.refund(&query.tenant, query.units, now, now);
                }
            }
            (QuotaVerdict::Refused { fits_after }, _) => {
                self.quotas.refused(&query, fits_after, now);
            }
            _ => {}
        }
    }
}

/// Units charged for a request. They are refunded if the request ends without having been sent,
/// or if each instance reported that it did not run.
pub(crate) struct Charge {
    tracker: Arc<QuotaTracker>,
    clock: courseshunt_types::time::MonotonicClock,
    tenant: Arc<Tenant>,
    units: u32,
    /// When the request was counted last, in milliseconds of the clock.
    counted_at: AtomicI64,
    may_have_run: AtomicBool,
    /// Whether an attempt before the present one may have run.
    is_repeated: AtomicBool,
}

impl Charge {
    pub(crate) fn new(
        tracker: Arc<QuotaTracker>,
        clock: courseshunt_types::time::MonotonicClock,
        tenant: Arc<Tenant>,
        units: u32,
    ) -> Self {
        Self {
            tracker,
            clock,
            tenant,
            units,
            counted_at: AtomicI64::new(clock.now().0),
            may_have_run: AtomicBool::new(false),
            is_repeated: AtomicBool::new(false),
        }
    }

    /// Number of charged units.
    pub(crate) fn units(&self) -> u32 {
        self.units
    }

    /// Counts the request at the present time if it was counted [`MAX_CHARGE_AGE`] ago or earlier,
    /// so that its units don't expire while it waits.
    pub(crate) fn renew(&self) {
        self.recount(MAX_CHARGE_AGE);
    }

    /// Counts the request at the time at which it is sent, and once more if an earlier attempt may
    /// have run.
    pub(crate) fn record_send(&self) {
        if !self.is_repeated.load(Ordering::Relaxed) {
            return self.recount(MAX_SENT_CHARGE_AGE);
        }
        let now = self.clock.now();
        let quotas = &mut self.tracker.lock().quotas;
        quotas.count_repeated(&self.tenant.name, self.units, now);
    }

    fn recount(&self, oldest: Millis) {
        let now = self.clock.now();
        let counted_at = Timestamp(self.counted_at.load(Ordering::Relaxed));
        if now.since(counted_at) < oldest {
            return;
        }
        self.counted_at.store(now.0, Ordering::Relaxed);
        let quotas = &mut self.tracker.lock().quotas;
        quotas.recount(&self.tenant.name, self.units, counted_at, now);
    }

    /// Records that an attempt starts; `is_repeated` if an earlier one may have run.
    pub(crate) fn begin_attempt(&self, is_repeated: bool) {
        self.is_repeated.store(is_repeated, Ordering::Relaxed);
        self.set_may_have_run(true);
    }

    /// Records whether the request may have run by now.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.may_have_run.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let name = &self.tenant.name;
            let counted_at = Timestamp(self.counted_at.load(Ordering::Relaxed));
            self.tracker.refund(name, self.units, counted_at, now);
        }
    }
}
