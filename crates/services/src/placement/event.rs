//! What the placement engine tells for records, besides its orders.

use super::LoadSource;
use courseshunt_types::{Millis, ModelName, RunnerId};

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEvent {
    /// An instance was set aside for a model.
    InstanceReserved(InstanceReservation),
    /// A model's load has ended.
    LoadEnded(LoadEnd),
}

/// An instance that was set aside for a model.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReservation {
    /// The instance.
    pub instance: RunnerId,
    /// The model.
    pub model: ModelName,
    /// Where the weights are to come from.
    pub source: LoadSource,
    /// When the model is expected.
    pub ready_after: Millis,
    /// What the place costs, in late requests.
    pub cost: f64,
    /// Requests that wait for the model.
    pub waiting: u32,
    /// The model that the instance was set aside for before.
    pub displaced: Option<ModelName>,
}

/// A model's load that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadEnd {
    /// The instance.
    pub instance: RunnerId,
    /// The model.
    pub model: ModelName,
    /// Where the weights came from.
    pub source: LoadSource,
    /// From the order's acceptance to the sign that the model is there.
    pub duration: Millis,
    /// Loads from the weight store under way meanwhile, this one included, in
    /// the mean; 0 for a load from elsewhere.
    pub store_loads: f64,
    /// Loads from the weight store that may be under way from now on.
    pub store_limit: usize,
}
