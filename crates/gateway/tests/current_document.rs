//! A router that can't apply a difference asks for the whole document.

use courseshunt_gateway::current_document::CurrentDocument;
use courseshunt_services::digest::document_digest;
use courseshunt_wire::compression::difference;

const OLDER: &[u8] = b"routes: a, b, c";
const NEWER: &[u8] = b"routes: a, c, d";

fn holding(number: u64, document: &[u8]) -> CurrentDocument {
    let mut held = CurrentDocument::default();
    held.hold(number, document.to_vec());
    held
}

#[test]
fn a_difference_leads_to_the_newer_document() {
    let mut held = holding(3, OLDER);
    assert_eq!(held.base(), 3);
    let change = difference(OLDER, NEWER).unwrap();
    let applied = held.apply(3, document_digest(NEWER), &change);
    assert_eq!(applied.as_deref(), Ok(NEWER));
    held.hold(4, NEWER.to_vec());
    assert_eq!(held.base(), 4);
}

#[test]
fn what_can_not_be_applied_is_asked_for_as_a_whole() {
    let change = difference(OLDER, NEWER).unwrap();
    let right = document_digest(NEWER);
    let cases = [
        ("another base", 2, right, change.clone()),
        ("another digest", 3, right + 1, change.clone()),
        ("damaged", 3, right, change[..change.len() - 1].to_vec()),
    ];
    for (what, base, digest, change) in cases {
        let mut held = holding(3, OLDER);
        assert!(held.apply(base, digest, &change).is_err(), "{what}");
        assert_eq!(held.base(), 0, "{what}");
        let whole = difference(&[], NEWER).unwrap();
        assert_eq!(held.apply(0, right, &whole).as_deref(), Ok(NEWER), "{what}");
        held.hold(4, NEWER.to_vec());
        assert_eq!(held.base(), 4, "{what}");
    }
}
