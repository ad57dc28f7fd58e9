//! Decisions of a tenant's account on requests whose clients return: reservations for those that
//! do not fit now.
//!
//! Invariant: a request is granted only if its units fit into the window and, unless it takes a
//! reservation, beside the units that all reservations need.

use super::ledger::Account;
use super::reservation_events::{ReservationChange, ReservationEvents};
use super::{QuotaQuery, QuotaVerdict};
use courseshunt_reservations::{
    Expiry, Forecast, MAX_TAKEN_DEBT_FRACTION, RefusedDemand, Request, RequestRefusal,
    Reservations, Withheld,
};
use courseshunt_types::{Millis, Timestamp};

/// Fraction of the pace's capacity that a request that can wait leaves free while requests that
/// can't wait are refused.
const LEFT_BY_WAITING_WORK: f64 = 0.2;

/// Reservations of a tenant, and the demand that was refused without one.
#[derive(Debug, Default)]
pub(super) struct TenantReservations {
    table: Reservations,
    refused: RefusedDemand,
}

impl TenantReservations {
    /// Whether there are no reservations. While there are some, routers query the leader, so that
    /// returning requests take theirs.
    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }
}

/// The reservation that a query asks for.
fn reservation_request(query: &QuotaQuery) -> Option<Request> {
    let terms = query.reservation?;
    Some(Request {
        key: terms.key,
        units: query.units,
        rank: query.rank,
        objective: terms.objective,
        latest_return: terms.latest_return,
    })
}

impl Account {
    /// Decides on a query. The caller counts the units of a request that is granted. `assumed` is
    /// the assumed use of disconnected routers, in units.
    pub(super) fn decide(
        &mut self,
        query: &QuotaQuery,
        assumed: f64,
        events: &mut ReservationEvents,
        now: Timestamp,
    ) -> QuotaVerdict {
        self.expire_reservations(&query.tenant, events, now);
        // A request larger than the burst needs only the burst, and the rest becomes debt.
        let needed = f64::from(query.units).min(self.quota.burst);
        if self.take_reservation(query, needed, assumed, events, now) {
            return QuotaVerdict::Granted;
        }
        self.decide_without_reservation(query, needed, assumed, events, now)
    }

    /// Decides on a query that has no reservation: grants the units that are there now, makes a
    /// reservation, or refuses.
    fn decide_without_reservation(
        &mut self,
        query: &QuotaQuery,
        needed: f64,
        assumed: f64,
        events: &mut ReservationEvents,
        now: Timestamp,
    ) -> QuotaVerdict {
        let request = reservation_request(query);
        let can_wait = request.is_some_and(|request| request.can_wait());
        let withheld = self.withheld(assumed, now);
        let left_free = self.left_for_more_urgent(query.rank) + withheld.bucket;
        let kept = assumed + withheld.window + self.small_requests.withheld(now);
        let wait = self.time_until_admitted(needed, left_free, kept, now);
        let window_left = self.left(assumed + withheld.window, now);
        if wait.is_some() && self.small_requests.take(needed, window_left, now) {
            return QuotaVerdict::Granted;
        }
        if wait.is_none() && !(can_wait && self.yields(needed + left_free, now)) {
            return QuotaVerdict::Granted;
        }
        let reserved = request.map(|request| self.reserve(&request, assumed, now));
        if let Some(reserved) = reserved
            && (reserved.is_ok() || wait.is_some())
        {
            events.note_reserved(query, reserved);
        }
        match (reserved, wait) {
            (Some(Ok(starts_after)), _) => QuotaVerdict::Reserved { starts_after },
            (_, None) => QuotaVerdict::Granted,
            (_, Some(wait)) => QuotaVerdict::Refused {
                fits_after: self.refuse(query, wait, !can_wait, now),
            },
        }
    }

    /// Removes the reservations that have ended.
    pub(super) fn expire_reservations(
        &mut self,
        tenant: &str,
        events: &mut ReservationEvents,
        now: Timestamp,
    ) {
        for reservation in self.reservations.table.expire(now) {
            events.note(tenant, &reservation, ReservationChange::Expired);
        }
    }

    /// Drops the reservations that no longer fit after the quota was lowered.
    pub(super) fn refit_reservations(
        &mut self,
        tenant: &str,
        events: &mut ReservationEvents,
        now: Timestamp,
    ) {
        let forecast = self.forecast(0.0, now);
        for reservation in self.reservations.table.refit(&forecast, now) {
            events.note(tenant, &reservation, ReservationChange::Dropped);
        }
    }

    /// Drops all reservations.
    pub(super) fn drop_reservations(&mut self, tenant: &str, events: &mut ReservationEvents) {
        let table = std::mem::take(&mut self.reservations.table);
        for reservation in table.iter() {
            events.note(tenant, reservation, ReservationChange::Dropped);
        }
    }

    /// Takes the query's reservation, if it has one that has started. Returns whether the request
    /// is granted by it: use that routers reported since may have exceeded what was withheld.
    fn take_reservation(
        &mut self,
        query: &QuotaQuery,
        needed: f64,
        assumed: f64,
        events: &mut ReservationEvents,
        now: Timestamp,
    ) -> bool {
        let Some(terms) = query.reservation else {
            return false;
        };
        let table = &mut self.reservations.table;
        let Some(reservation) = table.take(terms.key, query.units, now) else {
            return false;
        };
        let is_met = self.covers_reserved(needed, assumed, now);
        let change = match is_met {
            true => ReservationChange::Taken,
            false => ReservationChange::Unmet,
        };
        events.note(&query.tenant, &reservation, change);
        is_met
    }

    /// Whether the account covers a request that takes a reservation. The pace may go into debt.
    fn covers_reserved(&mut self, needed: f64, assumed: f64, now: Timestamp) -> bool {
        let capacity = self.pace.capacity();
        let required = needed.min(capacity) - MAX_TAKEN_DEBT_FRACTION * capacity;
        self.left(assumed, now) >= needed && self.pace.level(now) >= required
    }

    /// Makes a reservation. A request that can't wait gets none: its units are needed at once by
    /// requests of the same kind, and it would be served late.
    fn reserve(
        &mut self,
        request: &Request,
        assumed: f64,
        now: Timestamp,
    ) -> Result<Millis, RequestRefusal> {
        let is_valid = request.latest_return > Millis(0);
        if is_valid && !request.can_wait() {
            return Err(RequestRefusal::CannotWait);
        }
        let forecast = self.forecast(assumed, now);
        let TenantReservations { table, refused } = &mut self.reservations;
        let is_near_time_needed = refused.has_urgent(now);
        table.reserve(request, &forecast, is_near_time_needed, now)
    }

    /// Whether a request that can wait leaves the units that are available now to requests that
    /// can't.
    fn yields(&mut self, needed: f64, now: Timestamp) -> bool {
        let left_free = LEFT_BY_WAITING_WORK * self.pace.capacity();
        self.reservations.refused.has_urgent(now) && self.pace.level(now) < needed + left_free
    }

    /// Counts a refusal without a reservation. Returns the time after which the client should
    /// return: when the account is expected to be within its quota, but early enough to meet the
    /// objective if the request can't wait. `wait` is the time after which this request alone would
    /// fit.
    fn refuse(
        &mut self,
        query: &QuotaQuery,
        wait: Millis,
        is_urgent: bool,
        now: Timestamp,
    ) -> Millis {
        let returning = match query.reservation {
            Some(_) => f64::from(query.units),
            None => 0.0,
        };
        let expected = self.expected_wait(wait, now);
        self.reservations.refused.add(returning, is_urgent, now);
        match reservation_request(query) {
            Some(request) if !request.can_wait() => {
                expected.min(request.latest_within_objective()).max(wait)
            }
            _ => expected,
        }
    }

    /// Time after which the account is expected to be within its quota: `wait` for one request
    /// alone, and the time to serve the requests that were refused recently and return as well.
    fn expected_wait(&mut self, wait: Millis, now: Timestamp) -> Millis {
        let rate = self.pace.rate();
        wait + self.reservations.refused.time_to_serve(rate, now)
    }

    /// Units that requests without a reservation must leave.
    fn withheld(&mut self, assumed: f64, now: Timestamp) -> Withheld {
        if self.reservations.is_empty() {
            return Withheld::default();
        }
        let forecast = self.forecast(assumed, now);
        self.reservations.table.withheld(&forecast, now)
    }

    /// The units that the account provides from now on if nothing else is admitted.
    fn forecast(&mut self, assumed: f64, now: Timestamp) -> Forecast {
        let window_left = self.left(assumed, now);
        let expiring = self.history.expiring(now).map(|(after, units)| Expiry {
            after,
            units: units as f64,
        });
        Forecast {
            level: self.pace.level(now),
            fill_rate: self.pace.rate(),
            capacity: self.pace.capacity(),
            window_left,
            expiring: expiring.collect(),
        }
    }
}
