//! Decides whether requests are within their tenants' limits, asking the leader
//! where that is needed.
//!
//! Invariant: a request waits for the leader's answer for a bounded time; an answer
//! that comes later is given back.

use crate::questions::{Answered, Questions};
use courseshunt_services::{
    LimitedRequest, QuotaAnswer, QuotaQuery, QuotaSettings, QuotaStep, QuotaVerdict, RouterQuotas,
    Tenant, TenantAccountStatus, TenantUse,
};
use courseshunt_settings::service::ServiceLimits;
use courseshunt_types::{Millis, Timestamp};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Longest wait for the leader's answer: a leader that is well answers within a few
/// milliseconds, and the shortest objectives are of 100 ms and more.
pub(crate) const ANSWER_LIMIT: Duration = Duration::from_millis(60);

/// A question on a request of this tenant.
#[derive(Clone)]
struct TenantQuestion {
    tenant: Arc<Tenant>,
    ask: QuotaQuery,
}

struct State {
    quotas: RouterQuotas,
    /// Whether a leader is connected.
    connected: bool,
    questions: Questions<TenantQuestion, QuotaVerdict>,
}

/// See the module.
pub(crate) struct QuotaDesk {
    state: Mutex<State>,
    /// Woken when there is a question to send.
    pub(crate) has_questions: Notify,
}

/// Settings of the limits, out of the process's settings.
pub(crate) fn quota_settings(limits: &ServiceLimits) -> QuotaSettings {
    QuotaSettings::new(
        limits.quota_window_s,
        limits.quota_overshoot,
        limits.quota_slack,
    )
}

impl QuotaDesk {
    pub(crate) fn new(settings: QuotaSettings, routers: u32) -> Self {
        Self {
            state: Mutex::new(State {
                quotas: RouterQuotas::new(settings, routers),
                connected: false,
                questions: Questions::default(),
            }),
            has_questions: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the number of routers.
    pub(crate) fn set_routers(&self, routers: u32) {
        self.lock().quotas.set_routers(routers);
    }

    /// Takes the leader's word on the accounts over.
    pub(crate) fn set_standings(
        &self,
        epoch: u64,
        standings: Vec<TenantAccountStatus>,
        now: Timestamp,
    ) {
        let mut state = self.lock();
        state.connected = true;
        state.quotas.set_account_statuses(epoch, standings, now);
    }

    /// Notes that the leader is lost: whoever waits for its answer decides alone.
    pub(crate) fn disconnected(&self) {
        let mut state = self.lock();
        state.connected = false;
        state.questions.clear();
    }

    /// Questions to send now.
    pub(crate) fn take_questions(&self) -> Vec<QuotaQuery> {
        let questions = self.lock().questions.take_unsent();
        questions.into_iter().map(|one| one.ask).collect()
    }

    /// What to tell the leader of an epoch about use.
    pub(crate) fn take_report(&self, now: Timestamp) -> (u64, Vec<TenantUse>) {
        self.lock().quotas.take_report(now)
    }

    /// Takes the leader's answers.
    pub(crate) fn answered(&self, answers: Vec<QuotaAnswer>, now: Timestamp) {
        let mut state = self.lock();
        for QuotaAnswer { number, verdict } in answers {
            if let Some(answered) = state.questions.answered(number, verdict) {
                state.take_verdict(answered, verdict, now);
            }
        }
    }

    /// Counts a request within its tenant's limit. `led` tells whether a leader was
    /// heard lately.
    ///
    /// # Errors
    /// When it is beyond the limit: the time after which it would fit.
    pub(crate) async fn admit(
        &self,
        tenant: &Arc<Tenant>,
        request: &LimitedRequest<'_>,
        led: bool,
        now: Timestamp,
    ) -> Result<(), Millis> {
        let (number, answer) = {
            let mut state = self.lock();
            let led = led && state.connected;
            match state.quotas.decide(request, led, rand::random(), now) {
                QuotaStep::Admit => return Ok(()),
                QuotaStep::Refuse { fits_after } => return Err(fits_after),
                QuotaStep::Query => state.ask(tenant, request),
            }
        };
        self.has_questions.notify_one();
        match tokio::time::timeout(ANSWER_LIMIT, answer).await {
            Ok(Ok(QuotaVerdict::Granted)) => Ok(()),
            Ok(Ok(QuotaVerdict::Refused { fits_after })) => Err(fits_after),
            Ok(Ok(QuotaVerdict::Unknown) | Err(_)) | Err(_) => {
                self.admit_alone(number, request, now)
            }
        }
    }

    /// Decides on a request whose question the leader did not answer in time.
    fn admit_alone(
        &self,
        number: u64,
        request: &LimitedRequest<'_>,
        now: Timestamp,
    ) -> Result<(), Millis> {
        let mut state = self.lock();
        state.questions.give_up(number);
        match state
            .quotas
            .decide_without_leader(request, rand::random(), now)
        {
            QuotaStep::Refuse { fits_after } => Err(fits_after),
            QuotaStep::Admit | QuotaStep::Query => Ok(()),
        }
    }

    /// Gives back what a request did not use.
    fn give_back(&self, tenant: &str, units: u32, counted_at: Timestamp, now: Timestamp) {
        let mut state = self.lock();
        state.quotas.refund(tenant, units, counted_at, now);
    }
}

impl State {
    fn ask(
        &mut self,
        tenant: &Arc<Tenant>,
        request: &LimitedRequest<'_>,
    ) -> (u64, oneshot::Receiver<QuotaVerdict>) {
        self.questions.ask(|number| TenantQuestion {
            tenant: tenant.clone(),
            ask: QuotaQuery {
                number,
                tenant: tenant.name.clone(),
                units: request.units,
                rank: request.rank,
            },
        })
    }

    fn take_verdict(
        &mut self,
        answered: Answered<TenantQuestion>,
        verdict: QuotaVerdict,
        now: Timestamp,
    ) {
        let Answered {
            question: TenantQuestion { tenant, ask },
            taken,
        } = answered;
        match (verdict, tenant.quota) {
            (QuotaVerdict::Granted, Some(quota)) => {
                let request = LimitedRequest {
                    tenant: &ask.tenant,
                    quota: &quota,
                    units: ask.units,
                    rank: ask.rank,
                };
                self.quotas.granted(&request, now);
                if !taken {
                    self.quotas.refund(&ask.tenant, ask.units, now, now);
                }
            }
            (QuotaVerdict::Refused { fits_after }, _) => {
                self.quotas.refused(&ask, fits_after, now);
            }
            _ => {}
        }
    }
}

/// What a request was counted for. It is given back when the request ends without
/// having been sent, or each instance said that it did not run.
pub(crate) struct Charge {
    desk: Arc<QuotaDesk>,
    clock: courseshunt_types::time::MonotonicClock,
    tenant: Arc<Tenant>,
    units: u32,
    counted_at: Timestamp,
    used: AtomicBool,
}

impl Charge {
    pub(crate) fn new(
        desk: Arc<QuotaDesk>,
        clock: courseshunt_types::time::MonotonicClock,
        tenant: Arc<Tenant>,
        units: u32,
    ) -> Self {
        Self {
            desk,
            clock,
            tenant,
            units,
            counted_at: clock.now(),
            used: AtomicBool::new(false),
        }
    }

    /// What it counts.
    pub(crate) fn units(&self) -> u32 {
        self.units
    }

    /// Notes whether the request may have run by now.
    pub(crate) fn set_used(&self, used: bool) {
        self.used.store(used, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.used.load(Ordering::Relaxed) {
            let now = self.clock.now();
            let name = &self.tenant.name;
            self.desk.give_back(name, self.units, self.counted_at, now);
        }
    }
}
