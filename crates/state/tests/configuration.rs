//! Configuration: versions, change identifiers, atomic batches, and rejections with document,
//! field and reason.

use courseshunt_state::configuration::{MAX_HISTORY, MAX_HISTORY_DOCUMENTS};
use courseshunt_state::*;
use courseshunt_types::*;
use serde_json::json;

const RUNNER_MIB: u64 = 1_000;

fn deployment(name: &str, version: u64, memory_mib: u64) -> DeploymentDocument {
    let content = json!({
        "name": name, "version": version, "model": "agro", "tenant": "souss",
        "memory_mib": memory_mib,
    });
    serde_json::from_value(content).unwrap()
}

fn tenant(version: u64, tokens: &[&str]) -> TenantDocument {
    let digests = tokens.iter().map(|token| Digest::of(token.as_bytes()));
    TenantDocument {
        name: "souss".into(),
        version: Version(version),
        token_digests: digests.collect(),
    }
}

fn model(name: &str, version: u64) -> ModelDocument {
    ModelDocument {
        name: name.into(),
        version: Version(version),
    }
}

fn removal(kind: DocumentKind, name: &str, version: u64) -> Removal {
    Removal {
        kind,
        name: name.to_owned(),
        version: Version(version),
    }
}

fn batch(change_id: &str, deployments: Vec<DeploymentDocument>) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.into(),
        deployments,
        ..ChangeRequest::default()
    }
}

fn removals(change_id: &str, removals: Vec<Removal>) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.into(),
        removals,
        ..ChangeRequest::default()
    }
}

fn apply(configuration: &mut Configuration, request: &ChangeRequest) -> String {
    let limits = FleetLimits {
        largest_runner_mib: Some(RUNNER_MIB),
    };
    let before = configuration.clone();
    match configuration.change(request, &limits, UnixMillis(1)) {
        Ok(revision) => format!("revision {revision}"),
        Err(conflict) => {
            assert_eq!(*configuration, before, "a rejected batch changes nothing");
            describe(&conflict)
        }
    }
}

fn describe(conflict: &ConfigurationConflict) -> String {
    match conflict {
        ConfigurationConflict::SameVersion {
            document,
            version,
            winner,
        } => format!(
            "{document}: version {version} is {}",
            &winner.to_string()[..8]
        ),
        ConfigurationConflict::LowerVersion { document, current } => {
            format!("{document}: at {current}")
        }
        ConfigurationConflict::ChangeReused { revision } => format!("used for {revision}"),
        ConfigurationConflict::Invalid {
            document,
            field,
            problem,
        } => format!("{document}: {field}: {problem}"),
    }
}

/// A sequence of requests with the expected results.
#[test]
fn versions_and_change_identifiers() {
    let first = deployment("a", 1, 10);
    let winner = &first.digest().to_string()[..8];
    let deployments = DocumentKind::Deployment;
    let steps: Vec<(&str, ChangeRequest, String)> = vec![
        (
            "new",
            batch("c1", vec![first.clone()]),
            "revision 1".to_owned(),
        ),
        (
            "resend",
            batch("c1", vec![first.clone()]),
            "revision 1".to_owned(),
        ),
        (
            "same version, same content, other change",
            batch("c2", vec![first.clone()]),
            "revision 1".to_owned(),
        ),
        (
            "same version, other content",
            batch("c3", vec![deployment("a", 1, 11)]),
            format!("deployment a: version 1 is {winner}"),
        ),
        (
            "newer",
            batch("c4", vec![deployment("a", 3, 12)]),
            "revision 2".to_owned(),
        ),
        (
            "lower version",
            batch("c5", vec![deployment("a", 2, 13)]),
            "deployment a: at 3".to_owned(),
        ),
        (
            "resend after a newer version",
            batch("c1", vec![first.clone()]),
            "revision 1".to_owned(),
        ),
        (
            "the same without its change identifier",
            batch("", vec![first.clone()]),
            "deployment a: at 3".to_owned(),
        ),
        (
            "change identifier with other content",
            batch("c1", vec![deployment("a", 4, 10)]),
            "used for 1".to_owned(),
        ),
        (
            "one new, one lower: nothing is accepted",
            batch("c6", vec![deployment("b", 1, 10), deployment("a", 2, 10)]),
            "deployment a: at 3".to_owned(),
        ),
        (
            "one new, one unchanged",
            batch("c7", vec![deployment("b", 1, 10), deployment("a", 3, 12)]),
            "revision 3".to_owned(),
        ),
        (
            "unchanged documents get the newest revision that set them",
            batch("c8", vec![deployment("b", 1, 10), deployment("a", 3, 12)]),
            "revision 3".to_owned(),
        ),
        (
            "removal with a lower version",
            removals("c9", vec![removal(deployments, "a", 2)]),
            "deployment a: at 3".to_owned(),
        ),
        (
            "removal",
            removals("c10", vec![removal(deployments, "a", 4)]),
            "revision 4".to_owned(),
        ),
        (
            "removal again",
            removals("c11", vec![removal(deployments, "a", 4)]),
            "revision 4".to_owned(),
        ),
        (
            "lower version after the removal",
            batch("c12", vec![deployment("a", 3, 12)]),
            "deployment a: at 4".to_owned(),
        ),
        (
            "resend of what was removed",
            batch("c4", vec![deployment("a", 3, 12)]),
            "revision 2".to_owned(),
        ),
        (
            "added again under a higher version",
            batch("c13", vec![deployment("a", 5, 12)]),
            "revision 5".to_owned(),
        ),
    ];
    let mut configuration = Configuration::default();
    for (name, request, expected) in steps {
        assert_eq!(apply(&mut configuration, &request), expected, "{name}");
    }
    assert_eq!(configuration.deployments.len(), 2);
}

#[test]
fn invalid_batches_are_rejected_with_field_and_reason() {
    let mut configuration = Configuration::default();
    let mut start = batch("start", vec![deployment("kept", 1, 10)]);
    start.tenants = vec![tenant(1, &["t"])];
    start.models = vec![model("agro", 1), model("spare", 1)];
    assert_eq!(apply(&mut configuration, &start), "revision 1");
    let with_adapter = || {
        let mut document = deployment("a", 1, RUNNER_MIB);
        document.adapters.push(AdapterDocument {
            name: "x".into(),
            version: Version(1),
            memory_mib: 1,
        });
        document
    };
    let of_model = |model: &str| {
        let mut document = deployment("a", 1, 10);
        document.model = model.into();
        document
    };
    let cases: Vec<(ChangeRequest, &str)> = vec![
        (
            batch("a", vec![with_adapter()]),
            "deployment a: memory_mib: a replica takes 1001 MiB with its adapters; the largest runner has 1000 MiB",
        ),
        (
            batch("a", vec![of_model("nothing")]),
            "deployment a: model: there is no model nothing in the catalogue",
        ),
        (
            batch("a", vec![deployment("a", 0, 10)]),
            "deployment a: version: must be 1 or more",
        ),
        (
            batch("a", vec![deployment("a", 1, 0)]),
            "deployment a: memory_mib: must be 1 or more",
        ),
        (
            batch("a", vec![deployment("a", 1, 10), deployment("a", 2, 10)]),
            "deployment a: name: is more than once in the batch",
        ),
        (
            removals("a", vec![removal(DocumentKind::Deployment, "none", 1)]),
            "deployment none: name: there is no such document",
        ),
        (
            removals("a", vec![removal(DocumentKind::Tenant, "souss", 2)]),
            "tenant souss: name: deployment kept uses it",
        ),
        (
            removals("a", vec![removal(DocumentKind::Model, "agro", 2)]),
            "model agro: name: deployment kept uses it",
        ),
    ];
    for (request, expected) in cases {
        assert_eq!(apply(&mut configuration, &request), expected);
    }
    let spare = removals("b", vec![removal(DocumentKind::Model, "spare", 2)]);
    assert_eq!(apply(&mut configuration, &spare), "revision 2");
    let all = vec![
        removal(DocumentKind::Deployment, "kept", 2),
        removal(DocumentKind::Tenant, "souss", 2),
        removal(DocumentKind::Model, "agro", 2),
    ];
    assert_eq!(apply(&mut configuration, &removals("c", all)), "revision 3");
}

#[test]
fn tenant_versions_follow_the_same_rules() {
    let mut configuration = Configuration::default();
    let request = |change_id: &str, version, tokens: &[&str]| ChangeRequest {
        change_id: change_id.into(),
        tenants: vec![tenant(version, tokens)],
        ..ChangeRequest::default()
    };
    let winner = &tenant(1, &["t"]).digest().to_string()[..8];
    let steps = [
        (request("c1", 1, &["t"]), "revision 1".to_owned()),
        (
            request("c2", 1, &["u"]),
            format!("tenant souss: version 1 is {winner}"),
        ),
        (request("c3", 2, &["u"]), "revision 2".to_owned()),
        (request("c4", 1, &["t"]), "tenant souss: at 2".to_owned()),
        (request("c1", 1, &["t"]), "revision 1".to_owned()),
        (request("c5", 2, &["u"]), "revision 2".to_owned()),
    ];
    for (request, expected) in steps {
        assert_eq!(apply(&mut configuration, &request), expected);
    }
}

#[test]
fn the_history_contains_operator_and_time_and_is_bounded() {
    let mut configuration = Configuration::default();
    let names = 0..MAX_HISTORY_DOCUMENTS + 8;
    let documents = names.map(|number| deployment(&format!("d{number}"), 1, 10));
    let mut request = batch("first", documents.collect());
    request.operator = "ana".to_owned();
    apply(&mut configuration, &request);
    let entry = configuration.history[0].clone();
    assert_eq!((entry.operator.as_str(), entry.at), ("ana", UnixMillis(1)));
    assert_eq!(entry.changed as usize, MAX_HISTORY_DOCUMENTS + 8);
    assert_eq!(entry.documents.len(), MAX_HISTORY_DOCUMENTS);
    for version in 2..MAX_HISTORY as u64 + 3 {
        let change = batch(&version.to_string(), vec![deployment("d0", version, 10)]);
        let limits = FleetLimits::default();
        let changed = configuration.change(&change, &limits, UnixMillis(1));
        changed.unwrap();
    }
    assert_eq!(configuration.history.len(), MAX_HISTORY);
    // The first change is no longer in the history, but its versions still prevent a revert.
    let current = MAX_HISTORY + 2;
    assert_eq!(
        apply(&mut configuration, &request),
        format!("deployment d0: at {current}")
    );
}
