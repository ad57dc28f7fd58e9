//! Terms of the reservation that a request gets if it exceeds its tenant's quota.
//!
//! Invariant: the attempts of one request have the same key, whichever router they reach; ids and
//! deadlines, which differ between attempts, are not part of it.

use courseshunt_services::{PromptShape, ReservationTerms, Route, RouteTable, Tenant};
use courseshunt_types::Millis;
use xxhash_rust::xxh3::Xxh3;

/// Why no terms are sent for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTerms {
    /// The client does not return, or not in time for a response before its deadline.
    DoesNotReturn,
    /// No service of the route offers the model.
    UnknownModel,
}

impl NoTerms {
    /// Value for records and metrics.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::DoesNotReturn => "does_not_return",
            Self::UnknownModel => "unknown_model",
        }
    }
}

/// Terms of a reservation for a request whose client waits for `time_left` more, and sends a
/// refused request again after at most `latest_return`; `None` if it does not.
///
/// # Errors
/// If a reservation would be of no use.
pub fn reservation_terms(
    table: &RouteTable,
    tenant: &Tenant,
    route: &Route,
    shape: &PromptShape,
    time_left: Millis,
    latest_return: Option<Millis>,
) -> Result<ReservationTerms, NoTerms> {
    if !is_model_offered(table, route, shape) {
        return Err(NoTerms::UnknownModel);
    }
    // The response is expected within the objective after the start.
    let responds_after = Millis(time_left.0.saturating_sub(route.objective.0));
    let latest_return = latest_return.map(|latest| latest.min(responds_after));
    let latest_return = latest_return.filter(|latest| *latest > Millis(0));
    Ok(ReservationTerms {
        key: key(&tenant.name, &route.name, shape),
        objective: route.objective,
        latest_return: latest_return.ok_or(NoTerms::DoesNotReturn)?,
    })
}

/// Whether a service of the route has no models, or offers this one.
fn is_model_offered(table: &RouteTable, route: &Route, shape: &PromptShape) -> bool {
    let mut services = route
        .targets
        .iter()
        .filter_map(|target| table.service(&target.service));
    services.any(|service| match &service.engine {
        Some(engine) => engine.model(&shape.model).is_some(),
        None => true,
    })
}

/// Identifies a request by what its attempts have in common.
fn key(tenant: &str, route: &str, shape: &PromptShape) -> u64 {
    let mut hash = Xxh3::new();
    for text in [tenant, route, shape.model.as_str()] {
        add_text(&mut hash, text);
    }
    hash.update(&[u8::from(shape.adapter.is_some())]);
    add_text(&mut hash, shape.adapter.as_deref().unwrap_or_default());
    hash.update(&shape.prompt_tokens.to_le_bytes());
    hash.update(&shape.output_tokens.to_le_bytes());
    for part in &shape.parts {
        hash.update(&part.id.to_le_bytes());
        hash.update(&part.tokens.to_le_bytes());
    }
    hash.digest()
}

/// Adds a text with its length, so that adjacent texts are not confused.
fn add_text(hash: &mut Xxh3, text: &str) {
    hash.update(&(text.len() as u64).to_le_bytes());
    hash.update(text.as_bytes());
}
