//! What the engine wants done at instances: orders and questions, and what may become of
//! them.

use courseshunt_types::{ModelName, RunnerId};

/// What an instance is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model.
    LoadModel(ModelName),
    /// Unload a model with its adapters.
    UnloadModel(ModelName),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelName, String),
    /// Unload an adapter.
    UnloadAdapter(ModelName, String),
}

impl OrderAction {
    /// The model.
    #[must_use]
    pub fn model(&self) -> &ModelName {
        match self {
            Self::LoadModel(model)
            | Self::UnloadModel(model)
            | Self::LoadAdapter(model, _)
            | Self::UnloadAdapter(model, _) => model,
        }
    }

    /// The adapter, if the order is about one.
    #[must_use]
    pub fn adapter(&self) -> Option<&str> {
        match self {
            Self::LoadModel(_) | Self::UnloadModel(_) => None,
            Self::LoadAdapter(_, adapter) | Self::UnloadAdapter(_, adapter) => Some(adapter),
        }
    }

    /// Whether something is to be loaded.
    #[must_use]
    pub fn loads(&self) -> bool {
        matches!(self, Self::LoadModel(_) | Self::LoadAdapter(..))
    }
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The instance.
    pub instance: RunnerId,
    /// Its address.
    pub address: String,
    /// What to do.
    pub action: OrderAction,
    /// Orders that the instance has taken so far.
    pub expected_sequence: u64,
    /// Whether it counts as a load from the weight store.
    pub from_store: bool,
    /// What the decision rests on.
    pub rationale: OrderRationale,
}

/// What the decision to give an order rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderRationale {
    /// Copies of the model, those on their way included.
    pub replicas: usize,
    /// Copies that the demand needs.
    pub desired: usize,
    /// Requests for the model in a thousand seconds.
    pub rate_per_1000_s: u64,
    /// Whether requests wait for the model.
    pub has_waiting_requests: bool,
    /// Loads from the weight store under way.
    pub store_loads: usize,
}

/// What the engine wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementStep {
    /// Ask an instance how it stands.
    QueryInstance {
        /// The instance.
        instance: RunnerId,
        /// Its address.
        address: String,
    },
    /// Give an order.
    SendOrder(Order),
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being done.
    Accepted,
    /// It holds already.
    AlreadyDone,
    /// Another is under way, or the number of orders differs.
    Conflict,
    /// The address belongs to another instance.
    OtherInstance,
    /// It surely was not sent.
    NotSent,
    /// The instance could not be connected to.
    Unreachable,
    /// There was no answer: it may be carried out yet.
    Unknown,
    /// The instance refuses it.
    Refused,
}
