//! What a follower is told makes it hold what the feeding side holds, in any order of
//! changes; and only what has changed is told.

use courseshunt_services::digest::{BUCKET_COUNT, bucket_of};
use courseshunt_services::{InstanceDigests, InstanceDirectory, InstanceState, InstanceView};
use courseshunt_types::{Millis, ModelName, RunnerId, Zone};
use proptest::prelude::*;

fn view(number: u32, address: u32) -> InstanceView {
    InstanceView {
        id: RunnerId(format!("i-{number}")),
        service: "s".to_owned(),
        address: format!("10.0.0.{address}:80"),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        models: Vec::new(),
        loading: Vec::new(),
    }
}

fn assert_same(left: &InstanceDirectory, right: &InstanceDirectory) {
    let views = |one: &InstanceDirectory| one.values().cloned().collect::<Vec<_>>();
    assert_eq!(views(left), views(right));
    assert_eq!(left.digests(), right.digests());
    assert_eq!(*left.digests(), InstanceDigests::of(left.values()));
}

#[test]
fn what_is_known_is_not_told_again() {
    let mut fed = InstanceDirectory::default();
    let first = fed.change(vec![view(1, 1), view(2, 2)], Vec::new());
    assert_eq!(first.changed.len(), 2);
    let again = fed.change(vec![view(1, 1), view(2, 3)], Vec::new());
    assert_eq!(again.changed, [view(2, 3)]);
    let mut loading = view(1, 1);
    loading.loading = vec![(ModelName::from("m"), Millis(900))];
    assert_eq!(
        fed.change(vec![loading.clone()], Vec::new()).changed.len(),
        1
    );
    // The time that is left has another meaning each time that it is told.
    assert_eq!(fed.change(vec![loading], Vec::new()).changed.len(), 1);
}

#[test]
fn an_instance_that_is_gone_is_told_also_where_it_is_unknown() {
    let mut fed = InstanceDirectory::default();
    let gone = vec![RunnerId("i-9".to_owned())];
    assert_eq!(fed.change(Vec::new(), gone.clone()).gone, gone);
}

#[test]
fn a_part_drops_others_only_when_it_is_complete() {
    let mut fed = InstanceDirectory::default();
    let all: Vec<InstanceView> = (0..200).map(|number| view(number, number)).collect();
    fed.change(all.clone(), Vec::new());
    let part = bucket_of(&all[0].id);
    let of_part = all.iter().filter(|one| bucket_of(&one.id) == part).count();
    let kept = vec![all[0].clone()];
    let news = fed.set_bucket(part, kept.clone(), false);
    assert!(news.is_empty());
    let news = fed.set_bucket(part, kept, true);
    assert_eq!(news.gone.len(), of_part - 1);
    assert_eq!(fed.len(), 200 - (of_part - 1));
    assert!(
        fed.set_bucket(BUCKET_COUNT + 7, Vec::new(), true)
            .is_empty()
    );
}

#[derive(Debug, Clone)]
enum Step {
    Change(u32, u32),
    Remove(u32),
    /// The follower loses its feed and comes back.
    Return,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..40_u32, 0..5_u32).prop_map(|(id, address)| Step::Change(id, address)),
        2 => (0..40_u32).prop_map(Step::Remove),
        1 => Just(Step::Return),
    ];
    proptest::collection::vec(step, 0..120)
}

/// Sends a follower the parts in which it differs.
fn synchronize(source: &InstanceDirectory, follower: &mut InstanceDirectory) {
    let known = follower.digests().clone();
    let differing: Vec<usize> = source.digests().differing_buckets(&known).collect();
    for part in differing {
        follower.set_bucket(part, source.bucket(part).cloned().collect(), true);
    }
}

proptest! {
    #[test]
    fn a_follower_holds_what_the_source_holds(steps in steps()) {
        let mut source = InstanceDirectory::default();
        let mut follower = InstanceDirectory::default();
        let mut connected = true;
        for step in steps {
            let news = match step {
                Step::Change(id, address) => source.change(vec![view(id, address)], Vec::new()),
                Step::Remove(id) => source.change(Vec::new(), vec![RunnerId(format!("i-{id}"))]),
                Step::Return => {
                    connected = !connected;
                    if connected {
                        synchronize(&source, &mut follower);
                    }
                    continue;
                }
            };
            if connected {
                follower.change(news.changed, news.gone);
            }
        }
        synchronize(&source, &mut follower);
        assert_same(&source, &follower);
    }
}
