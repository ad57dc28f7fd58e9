//! What a planner decides.

use courseshunt_types::runner_api::CacheTier;
use courseshunt_types::{DeploymentName, ModelName, RunnerId};

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum DecisionKind {
    /// Load one more replica.
    Load {
        /// The deployment.
        deployment: DeploymentName,
        /// Where.
        runner: RunnerId,
    },
    /// Unload a replica.
    Unload {
        /// The deployment.
        deployment: DeploymentName,
        /// Where.
        runner: RunnerId,
    },
    /// Copy a checkpoint to a cache tier of a runner.
    Stage {
        /// Base model.
        model: ModelName,
        /// Where.
        runner: RunnerId,
        /// Host memory or disk.
        tier: CacheTier,
    },
}

/// A decision with its reason, for `explain` and the log.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Decision {
    /// What to do.
    pub kind: DecisionKind,
    /// Why, in a short sentence.
    pub reason: String,
}
