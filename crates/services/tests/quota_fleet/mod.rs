//! A fleet of routers and a leader in virtual time, one tenant's requests, and what
//! the ways to keep its limit do with them.

use courseshunt_services::quota::history::History;
use courseshunt_services::{
    LimitedRequest, Quota, QuotaLedger, QuotaQuery, QuotaSettings, QuotaStep, QuotaVerdict,
    RouterQuotas, Tenant,
};
use courseshunt_types::{Millis, Timestamp};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::Rng as _;

/// Time between a router's reports, and between the leader's words on all accounts.
const REPORT_INTERVAL: u64 = 240;
const STANDINGS_INTERVAL: u64 = 1_000;
/// Way of a message.
const DELAY: u64 = 5;
/// A leader is missed after so long.
const SILENCE: u64 = 1_000;
const LENGTH: u64 = 40_000;
/// The tenant sends many times its usual within this span.
const HOT: std::ops::Range<u64> = 10_000..21_000;
const TENANT: &str = "t";

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Way {
    EqualParts,
    ToldSums,
    AskNearLimit,
}

/// What a tenant sends: its usual part of the limit, and how many times that in the
/// hot span.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub quota: Quota,
    pub usual: f64,
    pub hot: f64,
}

#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    routers: usize,
    /// No leader in this span; the one after it knows nothing.
    leaderless: Option<(u64, u64)>,
    /// This part of the routers hears no leader in this span.
    cut: Option<(f64, u64, u64)>,
    /// This part of the routers ends then and starts anew a second later.
    killed: Option<(f64, u64)>,
}

impl Fleet {
    pub fn calm(routers: usize) -> Self {
        Self {
            routers,
            leaderless: None,
            cut: None,
            killed: None,
        }
    }

    pub fn leader_dies(routers: usize) -> Self {
        Self {
            leaderless: Some((13_000, 16_500)),
            ..Self::calm(routers)
        }
    }

    pub fn part_cut_off(routers: usize, part: f64) -> Self {
        Self {
            cut: Some((part, 12_000, 18_000)),
            ..Self::calm(routers)
        }
    }

    pub fn part_killed(routers: usize, part: f64) -> Self {
        Self {
            killed: Some((part, 14_000)),
            ..Self::calm(routers)
        }
    }

    fn is_led(&self, router: usize, now: u64) -> bool {
        let led = self
            .leaderless
            .is_none_or(|(from, to)| now < from || now >= to);
        let part = |part: f64| (router as f64) < part * self.routers as f64;
        led && self
            .cut
            .is_none_or(|(cut, from, to)| !part(cut) || now < from || now >= to)
    }

    fn dies(&self, router: usize, now: u64) -> bool {
        let part = |part: f64| (router as f64) < part * self.routers as f64;
        self.killed
            .is_some_and(|(killed, at)| part(killed) && now == at)
    }
}

/// Parts of the limit.
#[derive(Debug, Clone, Copy)]
pub struct Outcome {
    /// Most that was used in a window beyond what the leader grants, as part of the
    /// limit.
    pub over_allowance: f64,
    /// Most that was used in a window beyond limit, overshoot and slack, in units.
    pub over_bound: f64,
    /// Units refused that were within the limit, of all that were.
    pub refused_below: f64,
    /// Questions to the leader in a second.
    pub asks_per_second: f64,
}

impl Outcome {
    pub fn worst(self, other: Self) -> Self {
        Self {
            over_allowance: self.over_allowance.max(other.over_allowance),
            over_bound: self.over_bound.max(other.over_bound),
            refused_below: self.refused_below.max(other.refused_below),
            asks_per_second: self.asks_per_second.max(other.asks_per_second),
        }
    }
}

struct Request {
    at: u64,
    router: usize,
    units: u32,
}

fn even(random: &mut Pcg64) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Requests of exponential sizes, in the mean of 9,000 units or a tenth of the rate.
fn requests(fleet: Fleet, load: Load, random: &mut Pcg64) -> Vec<Request> {
    let mean = 9_000.0_f64.min(load.quota.rate_per_second / 3.0);
    let mut requests = Vec::new();
    for at in 0..LENGTH {
        let times = if HOT.contains(&at) { load.hot } else { 1.0 };
        let expected = load.quota.rate_per_second * load.usual * times / mean / 1_000.0;
        let mut left = expected;
        while even(random) < left {
            left -= 1.0;
            let units = (-mean * (1.0 - even(random)).ln()).clamp(200.0, 45_000.0);
            requests.push(Request {
                at,
                router: (even(random) * fleet.routers as f64) as usize,
                units: units as u32,
            });
        }
    }
    requests
}

/// Units that were refused although one account for the whole fleet would have had
/// them, as part of what that account admits.
fn refused_below(
    requests: &[Request],
    load: Load,
    settings: QuotaSettings,
    admitted: &[bool],
) -> f64 {
    let mut account = Account::new(1.0, load, settings);
    let (mut ideal, mut used) = (0.0, 0.0);
    for (request, admitted) in requests.iter().zip(admitted) {
        let units = f64::from(request.units);
        if account.take(request) {
            ideal += units;
        }
        if *admitted {
            used += units;
        }
    }
    (1.0 - used / ideal).max(0.0)
}

/// A part of the limit, kept by itself.
#[derive(Clone)]
struct Account {
    allowance: f64,
    history: History,
}

impl Account {
    fn new(part: f64, load: Load, settings: QuotaSettings) -> Self {
        let quota = load.quota;
        let limit = quota.rate_per_second * settings.window.as_secs_f64() + quota.burst;
        Self {
            allowance: limit * part,
            history: History::new(Millis(1), settings.window),
        }
    }

    fn left(&mut self, now: u64) -> f64 {
        self.allowance - self.history.sum(Timestamp::at(now)) as f64
    }

    fn take(&mut self, request: &Request) -> bool {
        let fits = self.left(request.at) >= f64::from(request.units);
        if fits {
            let units = i64::from(request.units);
            self.history.add(units, 0, Timestamp::at(request.at));
        }
        fits
    }
}

pub fn play(way: Way, fleet: Fleet, load: Load, settings: QuotaSettings, seed: u64) -> Outcome {
    let mut random = Pcg64::new(u128::from(seed), 0xa02b_dbf7_bb3c_0a7a_c28f_a16a_64ab_f96f);
    let requests = requests(fleet, load, &mut random);
    let (admitted, asks) = match way {
        Way::EqualParts => (equal_parts(fleet, load, settings, &requests), 0),
        Way::ToldSums => (told_sums(fleet, load, settings, &requests, &mut random), 0),
        Way::AskNearLimit => ask_near_limit(fleet, load, settings, &requests, &mut random),
    };
    judge(load, settings, &requests, &admitted, asks)
}

fn judge(
    load: Load,
    settings: QuotaSettings,
    requests: &[Request],
    admitted: &[bool],
    asks: u64,
) -> Outcome {
    let rate = load.quota.rate_per_second;
    let limit = rate * settings.window.as_secs_f64() + load.quota.burst;
    let bound = limit * (1.0 + settings.overshoot) + settings.slack;
    let mut first = 0;
    let mut used = 0.0;
    let mut most = 0.0_f64;
    for (position, request) in requests.iter().enumerate() {
        if admitted[position] {
            used += f64::from(request.units);
        }
        while requests[first].at + settings.window.0 < request.at {
            if admitted[first] {
                used -= f64::from(requests[first].units);
            }
            first += 1;
        }
        most = most.max(used);
    }
    Outcome {
        over_allowance: (most - settings.allowance(&load.quota)) / limit,
        over_bound: most - bound,
        refused_below: refused_below(requests, load, settings, admitted),
        asks_per_second: asks as f64 * 1_000.0 / LENGTH as f64,
    }
}

fn equal_parts(
    fleet: Fleet,
    load: Load,
    settings: QuotaSettings,
    requests: &[Request],
) -> Vec<bool> {
    let account = Account::new(1.0 / fleet.routers as f64, load, settings);
    let mut accounts = vec![account; fleet.routers];
    let requests = requests.iter();
    let admitted = requests.map(|one| accounts[one.router].take(one));
    admitted.collect()
}

/// The leader tells the part that may be admitted, from what arrived and what is left.
fn told_sums(
    fleet: Fleet,
    load: Load,
    settings: QuotaSettings,
    requests: &[Request],
    random: &mut Pcg64,
) -> Vec<bool> {
    let mut account = Account::new(1.0, load, settings);
    let (mut arrived, mut used) = (vec![0.0; fleet.routers], vec![0_i64; fleet.routers]);
    let (mut arrivals, mut told, mut chance) = (0.0, 1.0, 1.0);
    let mut next = 0;
    let mut admitted = vec![false; requests.len()];
    for now in 0..LENGTH {
        for router in 0..fleet.routers {
            if (now + router as u64).is_multiple_of(REPORT_INTERVAL) {
                arrivals += std::mem::take(&mut arrived[router]);
                let units = std::mem::take(&mut used[router]);
                account.history.add(units, 0, Timestamp::at(now));
            }
        }
        if now.is_multiple_of(REPORT_INTERVAL) {
            chance = told;
            told = (account.left(now) / f64::max(arrivals, 1.0)).clamp(0.0, 1.0);
            arrivals = 0.0;
        }
        while requests.get(next).is_some_and(|one| one.at == now) {
            let request = &requests[next];
            let units = f64::from(request.units);
            arrived[request.router] += units;
            if even(random) < chance {
                used[request.router] += i64::from(request.units);
                admitted[next] = true;
            }
            next += 1;
        }
    }
    admitted
}

struct Router {
    name: String,
    quotas: RouterQuotas,
    heard: u64,
    session: bool,
}

fn ask_near_limit(
    fleet: Fleet,
    load: Load,
    settings: QuotaSettings,
    requests: &[Request],
    random: &mut Pcg64,
) -> (Vec<bool>, u64) {
    let tenants = [Tenant {
        name: TENANT.to_owned(),
        keys: Vec::new(),
        priority: None,
        quota: Some(load.quota),
    }];
    let new_ledger = |epoch, now| {
        let mut ledger = QuotaLedger::new(epoch, settings);
        ledger.configure(&tenants, now);
        ledger
    };
    let count = u32::try_from(fleet.routers).expect("few routers");
    let new_router = |number: usize| Router {
        name: number.to_string(),
        quotas: RouterQuotas::new(settings, count),
        heard: 0,
        session: false,
    };
    let mut ledger = new_ledger(1, Timestamp(0));
    let mut routers: Vec<Router> = (0..fleet.routers).map(new_router).collect();
    let mut admitted = vec![false; requests.len()];
    let (mut next, mut asks) = (0, 0);
    for now in 0..LENGTH {
        let at = Timestamp::at(now);
        if fleet.leaderless.is_some_and(|(_, to)| now == to) {
            ledger = new_ledger(2, at);
        }
        let tells = ledger.take_status_changed() || now.is_multiple_of(STANDINGS_INTERVAL);
        let standings = if tells {
            ledger.account_statuses(at)
        } else {
            Vec::new()
        };
        for (number, router) in routers.iter_mut().enumerate() {
            if fleet.dies(number, now) {
                ledger.router_lost(&router.name, at);
                *router = new_router(number);
            }
            let led = fleet.is_led(number, now);
            let begins = led && !router.session;
            if router.session && !led {
                ledger.router_lost(&router.name, at);
            }
            router.session = led;
            if !led {
                continue;
            }
            router.heard = now;
            if tells || begins {
                let standings = match begins {
                    true => ledger.account_statuses(at),
                    false => standings.clone(),
                };
                router
                    .quotas
                    .set_account_statuses(ledger.epoch(), standings, at);
            }
            if (now + number as u64).is_multiple_of(REPORT_INTERVAL) {
                let (epoch, uses) = router.quotas.take_report(at);
                ledger.report(&router.name, epoch, &uses, at);
            }
        }
        while requests.get(next).is_some_and(|one| one.at == now) {
            let request = &requests[next];
            let router = &mut routers[request.router];
            let led = router.session || now - router.heard < SILENCE && router.heard > 0;
            let limited = LimitedRequest {
                tenant: TENANT,
                quota: &load.quota,
                units: request.units,
                rank: 0,
            };
            let draw = even(random);
            let step = router.quotas.decide(&limited, led, draw, at);
            admitted[next] = match step {
                QuotaStep::Admit => true,
                QuotaStep::Refuse { .. } => false,
                QuotaStep::Query if !router.session => {
                    let step = router.quotas.decide_without_leader(&limited, draw, at);
                    step == QuotaStep::Admit
                }
                QuotaStep::Query => {
                    asks += 1;
                    let then = Timestamp::at(now + DELAY);
                    let ask = QuotaQuery {
                        number: asks,
                        tenant: TENANT.to_owned(),
                        units: limited.units,
                        rank: limited.rank,
                    };
                    match ledger.decide(&router.name, &ask, then) {
                        QuotaVerdict::Granted => {
                            router.quotas.granted(&limited, at);
                            true
                        }
                        QuotaVerdict::Refused { fits_after } => {
                            let back = Timestamp::at(now + 2 * DELAY);
                            router.quotas.refused(&ask, fits_after, back);
                            false
                        }
                        QuotaVerdict::Unknown => false,
                    }
                }
            };
            next += 1;
        }
    }
    (admitted, asks)
}
