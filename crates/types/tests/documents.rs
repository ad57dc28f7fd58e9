//! Validation of deployment documents, and the text forms of the basic types.

use courseshunt_types::{DeploymentDocument, Digest, Fence, Outcome, PriorityClass, Term};

fn minimal_document() -> serde_json::Value {
    serde_json::json!({
        "name": "climate-ctl", "version": 1, "model": "climate-ctl",
        "tenant": "souss", "memory_mib": 4096
    })
}

#[test]
fn missing_optional_fields_take_defaults() {
    let document: DeploymentDocument = serde_json::from_value(minimal_document()).unwrap();
    assert!(document.validate().is_ok());
    assert_eq!(document.max_replicas, 1);
    assert_eq!(document.checkpoint_size_mib(), 4096);
}

#[test]
fn validation_error_names_the_invalid_field() {
    let cases = [
        ("version", serde_json::json!(0), "version"),
        ("name", serde_json::json!("a b"), "name"),
        ("memory_mib", serde_json::json!(0), "memory_mib"),
        ("max_replicas", serde_json::json!(0), "max_replicas"),
        ("min_replicas", serde_json::json!(5), "min_replicas"),
        (
            "slots_per_replica",
            serde_json::json!(0),
            "slots_per_replica",
        ),
        (
            "tenant_rate_per_second",
            serde_json::json!(-1.0),
            "tenant_rate_per_second",
        ),
    ];
    for (field, value, expected) in cases {
        let mut json = minimal_document();
        json[field] = value;
        let document: DeploymentDocument = serde_json::from_value(json).unwrap();
        let error = document.validate().unwrap_err();
        assert_eq!(error.field, expected);
        assert!(error.to_string().contains("must"));
    }
}

#[test]
fn unknown_field_is_rejected() {
    let mut json = minimal_document();
    json["replicas"] = serde_json::json!(3);
    assert!(serde_json::from_value::<DeploymentDocument>(json).is_err());
}

#[test]
fn fences_are_ordered_by_term_first() {
    let low = Fence {
        term: Term(1),
        sequence: 900,
    };
    let high = Fence {
        term: Term(2),
        sequence: 3,
    };
    assert!(low < high);
}

#[test]
fn text_forms_round_trip() {
    for class in PriorityClass::ALL {
        assert_eq!(PriorityClass::parse(class.as_str()), Some(class));
    }
    let digest = Digest::of(b"x");
    assert_eq!(Digest::parse(&digest.to_string()), Some(digest));
    assert_eq!(Outcome::NotRun.as_str(), "not-run");
}
