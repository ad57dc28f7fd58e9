//! Random faults of routers in virtual time: whatever happens, every request of
//! a living router is answered exactly once, in time.

mod support;

use courseshunt_types::{Millis, PriorityClass, RefusalReason};
use proptest::prelude::*;
use std::collections::BTreeSet;
use support::{Answer, Cluster, DETECTION, ticket};

const ROUTERS: usize = 5;
/// Routers that may die or stop; the others always live.
const MORTAL: usize = 3;
const DEADLINE: u64 = 20_000;

#[derive(Debug, Clone)]
enum Step {
    Offer(usize, PriorityClass),
    Cancel(usize),
    Finish(usize),
    Kill(usize),
    Stop(usize),
    TellFleet,
    LoseGrant,
    Place(u32),
    Run(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop::sample::select(PriorityClass::ALL.to_vec());
    prop_oneof![
        6 => (0..ROUTERS, class).prop_map(|(router, class)| Step::Offer(router, class)),
        1 => (0_usize..40).prop_map(Step::Cancel),
        3 => (0_usize..40).prop_map(Step::Finish),
        1 => (0..MORTAL).prop_map(Step::Kill),
        1 => (0..MORTAL).prop_map(Step::Stop),
        1 => Just(Step::TellFleet),
        1 => Just(Step::LoseGrant),
        2 => (0_u32..5).prop_map(Step::Place),
        4 => (1_u64..2_000).prop_map(Step::Run),
    ]
}

/// A run, with what is known of its requests.
struct Run {
    cluster: Cluster,
    holders: Vec<usize>,
    cancelled: BTreeSet<usize>,
    finished: BTreeSet<usize>,
}

impl Run {
    fn new() -> Self {
        Self {
            cluster: Cluster::new(ROUTERS),
            holders: Vec::new(),
            cancelled: BTreeSet::new(),
            finished: BTreeSet::new(),
        }
    }

    fn name(request: usize) -> String {
        format!("request-{request}")
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Offer(router, class) if self.cluster.is_alive(router) => {
                let name = Self::name(self.holders.len());
                self.holders.push(router);
                let ticket = ticket(&name, router, class, DEADLINE);
                self.cluster.offer(router, ticket);
            }
            Step::Cancel(request) if self.lives(request) => {
                let name = Self::name(request);
                if self.cluster.answer(&name).is_none() {
                    self.cancelled.insert(request);
                    self.cluster.cancel(self.holders[request], &name);
                }
            }
            Step::Finish(request) if self.lives(request) => {
                let answer = self.cluster.answer(&Self::name(request)).cloned();
                if let Some(Answer::Granted(grant, _)) = answer
                    && self.finished.insert(request)
                {
                    self.cluster.finish(self.holders[request], grant.grant);
                }
            }
            Step::Kill(router) if self.cluster.is_alive(router) => self.cluster.kill(router),
            Step::Stop(router) if self.cluster.is_alive(router) => self.cluster.stop(router),
            Step::TellFleet => self.cluster.tell_fleet(),
            Step::LoseGrant => self.cluster.lose_next_grant = true,
            Step::Place(slots) => self.cluster.place(&[("r1", slots), ("r2", 1)]),
            Step::Run(length) => self.cluster.run_for(Millis(length)),
            _ => {}
        }
    }

    fn lives(&self, request: usize) -> bool {
        let holder = self.holders.get(request);
        holder.is_some_and(|router| self.cluster.is_alive(*router))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn every_request_is_answered_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut run = Run::new();
        for step in steps {
            run.take(step);
        }
        run.cluster.tell_fleet();
        run.cluster.place(&[("r1", 1000)]);
        run.cluster.run_for(Millis(2 * DETECTION.0));
        for request in 0..run.holders.len() {
            if !run.lives(request) {
                continue;
            }
            let answer = run.cluster.answer(&Run::name(request));
            match answer {
                None => prop_assert!(run.cancelled.contains(&request), "{request} waits"),
                Some(Answer::Granted(..)) => prop_assert!(!run.cancelled.contains(&request)),
                Some(Answer::Refused(refusal, _)) => {
                    prop_assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
                }
            }
        }
        prop_assert_eq!(run.cluster.waiting(), 0, "no ticket is left behind");
    }
}
