//! Asks another router whether it reaches an instance, so that a lost path is told apart from an
//! instance that is down.

use super::{NO_ID, TriedForwarders, record_forwarded, to_forwarder};
use crate::Shared;
use crate::forwarding;
use crate::forwarding::headers::ForwardOutcome;
use courseshunt_services::InstanceView;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a forwarder's answer whether it reaches an instance.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether an instance to which this router's own connection failed is reached by another router;
/// `None` if no other router can tell.
pub(crate) async fn is_reached_by_another(
    shared: &Arc<Shared>,
    view: &InstanceView,
) -> Option<bool> {
    let mut tried = TriedForwarders::default();
    while let Some(mut upstream) = to_forwarder(shared, view, &mut tried).await {
        let request = forwarding::check_request(view);
        let sending = upstream.send(NO_ID, request);
        let response = tokio::time::timeout(CHECK_TIMEOUT, sending).await;
        let Ok(Ok(response)) = response else { continue };
        let outcome = ForwardOutcome::read(response.headers());
        if let Ok(Ok(_)) = tokio::time::timeout(CHECK_TIMEOUT, response.collect()).await {
            shared.pool.put_back(upstream);
        }
        match outcome {
            None => {
                record_forwarded(shared, view);
                return Some(true);
            }
            Some(ForwardOutcome::Unreachable) => return Some(false),
            Some(_) => {}
        }
    }
    None
}
