//! Over any sequence of batches and resends: versions never go down, a revision
//! is given once, a resend gets its first answer, a refused batch changes
//! nothing.

use courseshunt_state::*;
use courseshunt_types::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// One change of one document.
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
    let known = NAMES.into_iter().filter_map(|name| {
        let key = DocumentKey::deployment(&name.into());
        Some((name, configuration.current(&key)?.version))
    });
    known.collect()
}

proptest! {
    #[test]
    fn nothing_reverts(
        batches in prop::collection::vec(prop::collection::vec(item(), 1..3), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        let limits = FleetLimits::default();
        let mut configuration = Configuration::default();
        let mut first_answers: BTreeMap<usize, Revision> = BTreeMap::new();
        // The order names each batch any number of times: resends, late ones too.
        for index in order {
            let change = index.index(batches.len());
            let request = request(change, &batches[change]);
            let before = configuration.clone();
            let answer = configuration.change(&request, &limits, UnixMillis(1));
            for (name, version) in versions(&before) {
                prop_assert!(versions(&configuration)[name] >= version);
            }
            match answer {
                Err(_) => {
                    prop_assert_eq!(&configuration, &before);
                    prop_assert!(!first_answers.contains_key(&change));
                }
                Ok(revision) if configuration.revision > before.revision => {
                    prop_assert_eq!(revision, before.revision.next());
                    prop_assert!(first_answers.insert(change, revision).is_none());
                }
                Ok(revision) => {
                    prop_assert_eq!(&configuration, &before);
                    let first = first_answers.get(&change).copied();
                    prop_assert!(first.is_none_or(|first| first == revision));
                }
            }
        }
    }
}
