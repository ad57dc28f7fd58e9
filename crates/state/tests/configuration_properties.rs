//! For any sequence of batches and resends: versions never decrease, a revision
//! is assigned once, a resend gets the original revision, and a rejected batch
//! changes nothing.

use courseshunt_state::*;
use courseshunt_types::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// A change of one document.
#[derive(Debug, Clone)]
enum Item {
    Set {
        name: usize,
        version: u64,
        memory: u64,
    },
    Remove {
        name: usize,
        version: u64,
    },
}

fn item() -> impl Strategy<Value = Item> {
    let set = (0..NAMES.len(), 1..8_u64, 1..4_u64);
    let set = set.prop_map(|(name, version, memory)| Item::Set {
        name,
        version,
        memory,
    });
    let remove = (0..NAMES.len(), 1..8_u64);
    let remove = remove.prop_map(|(name, version)| Item::Remove { name, version });
    prop_oneof![3 => set, 1 => remove]
}

fn document(name: usize, version: u64, memory: u64) -> DeploymentDocument {
    let content = serde_json::json!({
        "name": NAMES[name], "version": version, "model": "m", "tenant": "t",
        "memory_mib": memory,
    });
    serde_json::from_value(content).unwrap()
}

fn request(change: usize, items: &[Item]) -> ChangeRequest {
    let mut request = ChangeRequest {
        change_id: format!("c{change}").as_str().into(),
        ..ChangeRequest::default()
    };
    for item in items {
        match *item {
            Item::Set {
                name,
                version,
                memory,
            } => request.deployments.push(document(name, version, memory)),
            Item::Remove { name, version } => request.removals.push(Removal {
                kind: DocumentKind::Deployment,
                name: NAMES[name].to_owned(),
                version: Version(version),
            }),
        }
    }
    request
}

fn versions(configuration: &Configuration) -> BTreeMap<&'static str, Version> {
    let stored = NAMES.into_iter().filter_map(|name| {
        let key = DocumentKey::deployment(&name.into());
        Some((name, configuration.current(&key)?.version))
    });
    stored.collect()
}

proptest! {
    #[test]
    fn versions_never_decrease_over_resends(
        batches in prop::collection::vec(prop::collection::vec(item(), 1..3), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let limits = FleetLimits::default();
        let mut configuration = Configuration::default();
        let mut first_revisions: BTreeMap<usize, Revision> = BTreeMap::new();
        // The order contains each batch any number of times, so resends may also come late.
        for index in order {
            let change = index.index(batches.len());
            let request = request(change, &batches[change]);
            let before = configuration.clone();
            let result = configuration.change(&request, &limits, UnixMillis(1));
            for (name, version) in versions(&before) {
                prop_assert!(versions(&configuration)[name] >= version);
            }
            match result {
                Err(_) => {
                    prop_assert_eq!(&configuration, &before);
                    prop_assert!(!first_revisions.contains_key(&change));
                }
                Ok(revision) if configuration.revision > before.revision => {
                    prop_assert_eq!(revision, before.revision.next());
                    prop_assert!(first_revisions.insert(change, revision).is_none());
                }
                Ok(revision) => {
                    prop_assert_eq!(&configuration, &before);
                    let first = first_revisions.get(&change).copied();
                    prop_assert!(first.is_none_or(|first| first == revision));
                }
            }
        }
    }
}
