//! A router that can't apply a difference requests the full document.

use courseshunt_gateway::current_document::CurrentDocument;
use courseshunt_services::digest::document_digest;
use courseshunt_wire::compression::difference;

const OLDER: &[u8] = b"routes: a, b, c";
const NEWER: &[u8] = b"routes: a, c, d";

fn with_document(number: u64, document: &[u8]) -> CurrentDocument {
    let mut current = CurrentDocument::default();
    current.set(number, document.to_vec());
    current
}

#[test]
fn a_difference_gives_the_newer_document() {
    let mut current = with_document(3, OLDER);
    assert_eq!(current.base(), 3);
    let change = difference(OLDER, NEWER).unwrap();
    let applied = current.apply(3, document_digest(NEWER), &change);
    assert_eq!(applied.as_deref(), Ok(NEWER));
    current.set(4, NEWER.to_vec());
    assert_eq!(current.base(), 4);
}

#[test]
fn a_failed_difference_requests_the_full_document() {
    let change = difference(OLDER, NEWER).unwrap();
    let expected_digest = document_digest(NEWER);
    let cases = [
        ("other base", 2, expected_digest, change.clone()),
        ("other digest", 3, expected_digest + 1, change.clone()),
        (
            "damaged",
            3,
            expected_digest,
            change[..change.len() - 1].to_vec(),
        ),
    ];
    for (case, base, digest, change) in cases {
        let mut current = with_document(3, OLDER);
        assert!(current.apply(base, digest, &change).is_err(), "{case}");
        assert_eq!(current.base(), 0, "{case}");
        let full = difference(&[], NEWER).unwrap();
        assert_eq!(
            current.apply(0, expected_digest, &full).as_deref(),
            Ok(NEWER),
            "{case}"
        );
        current.set(4, NEWER.to_vec());
        assert_eq!(current.base(), 4, "{case}");
    }
}
