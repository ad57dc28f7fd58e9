//! Fingerprints of requests: what is shared gives equal ones, and only that.

use courseshunt_services::{Fingerprints, PrefixPart, PromptShape};
use courseshunt_types::Digest;
use std::collections::HashSet;

fn shape(model: &str, adapter: Option<&str>, parts: &[u64]) -> PromptShape {
    let parts = parts.iter().map(|id| PrefixPart {
        id: *id,
        tokens: 10,
    });
    PromptShape {
        model: model.to_owned(),
        adapter: adapter.map(str::to_owned),
        parts: parts.collect(),
        ..PromptShape::default()
    }
}

fn of(tenant: Option<&str>, service: &str, shape: &PromptShape, content: &str) -> Fingerprints {
    Fingerprints::new(tenant, service, shape, Digest::of(content.as_bytes()))
}

/// Number of fingerprints that two requests have in common.
fn shared(one: &Fingerprints, other: &Fingerprints) -> usize {
    let one: HashSet<&Digest> = one.all().iter().collect();
    other.all().iter().filter(|each| one.contains(each)).count()
}

#[test]
fn a_part_has_the_same_fingerprint_at_any_place_and_with_any_model() {
    let one = of(None, "s", &shape("m", None, &[1, 2, 3]), "one");
    let other = of(None, "s", &shape("n", None, &[4, 5, 2, 6]), "other");
    assert_eq!(one.all().len(), 4);
    assert_eq!(shared(&one, &other), 1);
    assert_eq!(one.all()[1], other.all()[2]);
}

#[test]
fn an_adapter_has_a_fingerprint_with_its_model() {
    let one = of(None, "s", &shape("m", Some("x"), &[1]), "one");
    let same = of(None, "s", &shape("m", Some("x"), &[2]), "two");
    let other_model = of(None, "s", &shape("n", Some("x"), &[3]), "three");
    assert_eq!(one.all()[0], same.all()[0]);
    assert_eq!(shared(&one, &other_model), 0);
}

#[test]
fn tenants_and_services_share_no_fingerprint_of_a_prompt() {
    let prompt = shape("m", Some("x"), &[1, 2]);
    let one = of(Some("t"), "s", &prompt, "one");
    for other in [
        of(Some("u"), "s", &prompt, "two"),
        of(None, "s", &prompt, "two"),
        of(Some("t"), "other", &prompt, "two"),
    ] {
        assert_eq!(shared(&one, &other), 0);
    }
}

#[test]
fn the_content_comes_last_and_the_number_of_parts_is_bounded() {
    let parts: Vec<u64> = (0..1_000).collect();
    let one = of(None, "s", &shape("m", Some("x"), &parts), "one");
    assert_eq!(one.all().len(), 34);
    assert_eq!(one.content(), Digest::of(b"one"));
    let content = Fingerprints::of_content(one.content());
    assert_eq!(content.all(), [one.content()]);
}
