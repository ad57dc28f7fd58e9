//! Events of the placement engine for records; they are separate from the orders.

use super::LoadSource;
use courseshunt_types::{Millis, ModelName, RunnerId};

/// An event for the records.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEvent {
    /// An instance was reserved for a model.
    InstanceReserved(InstanceReservation),
    /// A model has been loaded.
    LoadEnded(LoadEnd),
}

/// The reservation of an instance for the load of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReservation {
    /// The reserved instance.
    pub instance: RunnerId,
    /// The model to be loaded.
    pub model: ModelName,
    /// Where the weights will be loaded from.
    pub source: LoadSource,
    /// Time until the model is expected to be loaded.
    pub ready_after: Millis,
    /// Cost of this load target, in late requests.
    pub cost: f64,
    /// Requests that wait for the model.
    pub waiting: u32,
    /// Share of the model's streams that paused for longer than their route allows, in thousandths.
    pub paused_permille: u32,
    /// Load of the instance in percent of its capacity at the usual speed, if it reports its load.
    pub load_percent: Option<u32>,
    /// The model that the instance was reserved for before.
    pub displaced: Option<ModelName>,
}

/// The completed load of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadEnd {
    /// The instance that holds the model.
    pub instance: RunnerId,
    /// The loaded model.
    pub model: ModelName,
    /// Where the weights were loaded from.
    pub source: LoadSource,
    /// Time from the acceptance of the order to the first message that reports the model as loaded.
    pub duration: Millis,
    /// Mean number of concurrent loads from the weight store during this load, itself included; 0
    /// for a load from another source.
    pub store_loads: f64,
    /// Limit of concurrent loads from the weight store after this load.
    pub store_limit: usize,
}
