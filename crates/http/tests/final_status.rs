//! Statuses that are no final ones counted as answers.

use courseshunt_http::{NoFinalStatus, require_final_status};
use hyper::{Response, StatusCode};

#[test]
fn only_200_to_599_are_final() {
    for code in 100..=999 {
        let status = StatusCode::from_u16(code).expect("three digits");
        let mut response = Response::new(());
        *response.status_mut() = status;
        let judged = require_final_status(response).map(|response| response.status());
        let expected = match code {
            200..=599 => Ok(status),
            _ => Err(NoFinalStatus { status }),
        };
        assert_eq!(judged, expected);
    }
}
