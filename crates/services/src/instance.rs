//! Back-end instances: their registrations, and the views of them that routers hold.

use courseshunt_types::{Millis, ModelName, RunnerId, Zone};

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub enum InstanceState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
}

/// A model that is loaded on an instance.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct ResidentModel {
    /// Name.
    pub name: ModelName,
    /// Version of the weights.
    pub version: u64,
    /// Loaded adapters of the model.
    pub adapters: Vec<String>,
}

/// State of an instance as it registers with a controller.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct Registration {
    /// Identity of this incarnation; a restarted instance has a new one.
    pub id: RunnerId,
    /// Name of its service.
    pub service: String,
    /// Address of its HTTP interface, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Increases with each registration, so that a delayed one can be recognised.
    pub sequence: u64,
    /// Time until the instance is terminated, if that has been announced.
    pub remaining: Option<Millis>,
    /// Loaded models.
    pub models: Vec<ResidentModel>,
    /// Weights that it can load without the weight store.
    pub cached_weights: CachedWeights,
}

/// Weights that an instance has cached in addition to its loaded models.
#[derive(
    Debug, Clone, Default, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize,
)]
pub struct CachedWeights {
    /// Models whose weights are cached in host memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights are cached on local disk.
    pub on_disk: Vec<ModelName>,
}

/// View of an instance that is sent to routers.
#[derive(Debug, Clone, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct InstanceView {
    /// Identity of this incarnation.
    pub id: RunnerId,
    /// Name of its service.
    pub service: String,
    /// Address of its HTTP interface, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: Zone,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: InstanceState,
    /// Models for which it accepts requests.
    pub models: Vec<ResidentModel>,
    /// Models that are being loaded, with the remaining load time.
    pub loading: Vec<(ModelName, Millis)>,
}

impl InstanceView {
    /// The loaded model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ResidentModel> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// Whether the model is loaded, and the adapter if one is named.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(loaded) = self.model(model) else {
            return false;
        };
        adapter.is_none_or(|adapter| loaded.adapters.iter().any(|one| one == adapter))
    }
}
