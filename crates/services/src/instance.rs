//! Back-end instances, as they register and as routers see them.

use courseshunt_types::{Millis, ModelName, RunnerId, Zone};

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum InstanceState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// A model that an instance holds.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ResidentModel {
    /// Name.
    pub name: ModelName,
    /// Version of the weights.
    pub version: u64,
    /// Adapters of the model.
    pub adapters: Vec<String>,
}

/// What an instance says about itself.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Registration {
    /// Identity of this incarnation; a restart has another.
    pub id: RunnerId,
    /// Its service.
    pub service: String,
    /// `ip:port` of its interface.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Rises with each registration, so that a late one is known.
    pub sequence: u64,
    /// Time left before it is gone, if it is taken away.
    pub remaining: Option<Millis>,
    /// Models held.
    pub models: Vec<ResidentModel>,
    /// Weights that it can load without the weight store.
    pub cached_weights: CachedWeights,
}

/// Copies of weights that an instance keeps besides the models it holds.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct CachedWeights {
    /// Models of which it has a copy in its own memory.
    pub in_memory: Vec<ModelName>,
    /// Models of which it has a copy on its own disk.
    pub on_disk: Vec<ModelName>,
}

/// What a router needs to know about an instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceView {
    /// Identity of this incarnation.
    pub id: RunnerId,
    /// Its service.
    pub service: String,
    /// `ip:port` of its interface.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Models that requests may be sent for.
    pub models: Vec<ResidentModel>,
    /// Models being loaded, with the time until then.
    pub loading: Vec<(ModelName, Millis)>,
}

impl InstanceView {
    /// The held model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ResidentModel> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Whether it holds the model, and the adapter if one is named.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(held) = self.model(model) else {
            return false;
        };
        adapter.is_none_or(|adapter| held.adapters.iter().any(|one| one == adapter))
    }
}
