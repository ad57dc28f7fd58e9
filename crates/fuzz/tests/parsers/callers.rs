//! Callers' bodies and headers, and the bodies of the runners' interface.

use super::corpus;
use bytes::Bytes;
use courseshunt_fuzz::{config, damaged};
use courseshunt_router::caller::CallerRequest;
use courseshunt_router::configuration::ConfigurationView;
use courseshunt_state::StoredDeployment;
use courseshunt_types::runner_api::{Inventory, LoadReport, MachineItem, OrderRequest};
use courseshunt_types::{DeploymentDocument, Outcome, Revision};
use courseshunt_wire::message::ConfigurationUpdate;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;

const HEADERS: [&str; 4] = [
    "x-courseshunt-class",
    "x-courseshunt-deadline-ms",
    "x-courseshunt-repeat",
    "idempotency-key",
];

/// Values that headers have, to be damaged.
fn header_values() -> Vec<Vec<u8>> {
    let values = ["critical", "1500", "never", "any", "valve-7-0642", "batch"];
    values
        .iter()
        .map(|value| value.as_bytes().to_vec())
        .collect()
}

fn view() -> ConfigurationView {
    let document = serde_json::json!({
        "name": "agro", "version": 1, "model": "agro", "tenant": "souss", "memory_mib": 10,
        "adapters": [{"name": "soil", "memory_mib": 1}],
    });
    let document: DeploymentDocument = serde_json::from_value(document).unwrap();
    let stored = StoredDeployment {
        digest: document.digest(),
        revision: Revision(1),
        document,
    };
    let view = ConfigurationView::default();
    view.apply_configuration(ConfigurationUpdate {
        full: true,
        revision: Revision(1),
        deployments: vec![stored],
        removed: Vec::new(),
        tenants: Some(Vec::new()),
        more: false,
    });
    view
}

fn parse(headers: &HeaderMap, body: Vec<u8>) -> Result<CallerRequest, courseshunt_types::Refusal> {
    let path = "/v1/chat/completions";
    CallerRequest::parse(headers, Bytes::from(body), "souss".into(), path, &view())
}

#[test]
fn the_corpus_is_good() {
    for body in corpus("caller") {
        parse(&HeaderMap::new(), body).unwrap();
    }
}

proptest! {
    #![proptest_config(config(1000))]

    #[test]
    fn bodies(body in damaged(corpus("caller"))) {
        match parse(&HeaderMap::new(), body) {
            Ok(request) => prop_assert_eq!(request.document.name.as_str(), "agro"),
            Err(refusal) => {
                prop_assert_eq!(refusal.outcome, Outcome::NotRun);
                prop_assert!((400..500).contains(&refusal.reason.http_status()));
                prop_assert!(!refusal.message.is_empty());
            }
        }
    }

    #[test]
    fn headers(values in proptest::collection::vec((0..HEADERS.len(), damaged(header_values())), 1..4)) {
        let mut headers = HeaderMap::new();
        for (name, value) in values {
            let name = HeaderName::from_static(HEADERS[name]);
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.append(name, value);
            }
        }
        let body = corpus("caller").remove(0);
        if let Err(refusal) = parse(&headers, body) {
            prop_assert_eq!(refusal.outcome, Outcome::NotRun);
            prop_assert_eq!(refusal.reason.http_status(), 400);
        }
    }

    #[test]
    fn runner_bodies(body in damaged(corpus("runner"))) {
        let _ = serde_json::from_slice::<OrderRequest>(&body);
        let _ = serde_json::from_slice::<Inventory>(&body);
        let _ = serde_json::from_slice::<LoadReport>(&body);
        let _ = serde_json::from_slice::<Vec<MachineItem>>(&body);
    }
}
