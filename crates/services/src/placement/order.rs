//! Orders and queries that the engine wants to be sent to instances, and the possible outcomes of
//! an order.

use courseshunt_types::{ModelName, RunnerId};

/// The change that an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model and its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelName, String),
    /// Unload an adapter of a model that is held.
    UnloadAdapter(ModelName, String),
}

impl OrderAction {
    /// The model that is loaded or unloaded, or whose adapter is.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::LoadModel(model)
            | Self::UnloadModel(model)
            | Self::LoadAdapter(model, _)
            | Self::UnloadAdapter(model, _) => model,
        }
    }

    /// The adapter, if the order concerns one.
    #[must_use]
    pub fn adapter(&self) -> Option<&str> {
        match self {
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
            Self::LoadAdapter(_, adapter) | Self::UnloadAdapter(_, adapter) => Some(adapter),
        }
    }

    /// Whether the order is a load rather than an unload.
    #[must_use]
    pub fn loads(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(..))
    }
}

/// An order to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Id of the instance.
    pub instance: RunnerId,
    /// Address of the instance.
    pub address: String,
    /// The change to make.
    pub action: OrderAction,
    /// Number of orders that the instance has accepted so far; it refuses the order if the number
    /// differs.
    pub expected_sequence: u64,
    /// Whether the order counts as a load from the weight store.
    pub from_store: bool,
    /// State that the decision is based on, for records.
    pub rationale: OrderRationale,
}

/// State that the decision to send an order is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderRationale {
    /// Replicas of the model, including those that are being loaded.
    pub replicas: usize,
    /// Replicas that the demand needs.
    pub desired: usize,
    /// Requests for the model per 1,000 seconds.
    pub rate_per_1000_s: u64,
    /// Whether requests wait for the model.
    pub has_waiting_requests: bool,
    /// Loads from the weight store in flight.
    pub store_loads: usize,
}

/// A call to an instance that the engine wants to be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// Query an instance for its report.
    QueryInstance {
        /// Id of the instance.
        instance: RunnerId,
        /// Address of the instance.
        address: String,
    },
    /// Send an order.
    SendOrder(Order),
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The instance accepted the order and carries it out.
    Accepted,
    /// The requested state holds already.
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The address belongs to another instance.
    OtherInstance,
    /// The order was certainly not sent.
    NotSent,
    /// No connection to the instance could be made.
    Unreachable,
    /// There was no answer: the order may still be carried out.
    Unknown,
    /// The instance refused the order.
    Refused,
}
