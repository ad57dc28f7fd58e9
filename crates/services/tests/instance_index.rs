//! After any sequence of changes, a lookup by service and model returns the same instances, in the
//! same order, as a scan of all instances.

use courseshunt_services::{InstanceDirectory, InstanceState, InstanceView, ResidentModel};
use courseshunt_types::{Millis, ModelName, RunnerId, Zone};
use proptest::prelude::*;

const SERVICES: [&str; 2] = ["s", "t"];
const MODELS: [&str; 3] = ["m", "n", "o"];

#[derive(Debug, Clone)]
enum Change {
    Put(InstanceView),
    Remove(u8),
}

fn id(number: u8) -> RunnerId {
    RunnerId(format!("i-{number}"))
}

/// A view of an instance; `held` and `loading` are bit sets over [`MODELS`].
fn view(number: u8, service: usize, held: u8, loading: u8) -> InstanceView {
    let chosen = |bits: u8| {
        let models = MODELS.iter().enumerate();
        models.filter(move |(bit, _)| bits & (1 << bit) != 0)
    };
    let models = chosen(held).map(|(_, name)| ResidentModel {
        name: ModelName::from(*name),
        version: 1,
        adapters: Vec::new(),
    });
    InstanceView {
        id: id(number),
        service: SERVICES[service].to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: Zone::from("z"),
        slots: 4,
        state: InstanceState::Ready,
        models: models.collect(),
        loading: chosen(loading)
            .map(|(_, name)| (ModelName::from(*name), Millis(100)))
            .collect(),
    }
}

fn change() -> impl Strategy<Value = Change> {
    let put = (0_u8..12, 0_usize..2, 0_u8..8, 0_u8..8);
    prop_oneof![
        3 => put.prop_map(|(number, service, held, loading)| {
            Change::Put(view(number, service, held, loading))
        }),
        1 => (0_u8..12).prop_map(Change::Remove),
    ]
}

fn ids<'a>(views: impl Iterator<Item = &'a InstanceView>) -> Vec<&'a RunnerId> {
    views.map(|view| &view.id).collect()
}

proptest! {
    #[test]
    fn the_index_finds_the_same_instances_as_a_scan(changes in prop::collection::vec(change(), 0..60)) {
        let mut fed = InstanceDirectory::default();
        for change in changes {
            match change {
                Change::Put(view) => drop(fed.change(vec![view], Vec::new())),
                Change::Remove(number) => drop(fed.change(Vec::new(), vec![id(number)])),
            }
        }
        for service in SERVICES {
            let all = || fed.values().filter(|view| view.service == service);
            prop_assert_eq!(ids(fed.of_service(service)), ids(all()));
            prop_assert_eq!(ids(fed.holders(service, "")), ids(all()));
            for model in MODELS {
                let holds = |view: &&InstanceView| view.holds(model, None);
                prop_assert_eq!(ids(fed.holders(service, model)), ids(all().filter(holds)));
                let loads = |view: &&InstanceView| {
                    view.loading.iter().any(|(name, _)| name.as_str() == model)
                };
                prop_assert_eq!(ids(fed.loaders(service, model)), ids(all().filter(loads)));
            }
        }
    }
}
