//! Client of a runner's control interface. Each call has its own timeout.

use crate::ControllerContext;
use courseshunt_http::{HttpError, Reply};
use courseshunt_types::runner_api::{Inventory, LoadReport, OrderRejection, OrderRequest};
use courseshunt_types::{DeploymentName, RunnerId};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Timeout of a call to a runner or the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner accepted it.
    Accepted,
    /// The runner rejected it; it has no effect.
    Rejected(OrderRejection),
    /// No response, or an unreadable one: the order may have taken effect.
    Unknown,
}

/// Client of one runner's control interface.
#[derive(Debug, Clone)]
pub struct RunnerClient<'a> {
    context: &'a ControllerContext,
    runner: &'a RunnerId,
    address: &'a str,
}

impl<'a> RunnerClient<'a> {
    /// Creates a client of `runner` at `address`.
    #[must_use]
    pub fn new(context: &'a ControllerContext, runner: &'a RunnerId, address: &'a str) -> Self {
        Self {
            context,
            runner,
            address,
        }
    }

    async fn call(&self, path: &str, order: Option<&OrderRequest>) -> Result<Reply, HttpError> {
        let method = match order {
            Some(_) => Method::POST,
            None => Method::GET,
        };
        let token = Some(&*self.context.runner_token);
        let client = &self.context.client;
        client
            .call(method, self.address, path, token, order, CALL_TIMEOUT)
            .await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let reply = self.call(path, None).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Reads the inventory; `None` when the call fails or another runner answers at the address.
    pub async fn inventory(&self) -> Option<Inventory> {
        let inventory: Inventory = self.read("/control/inventory").await?;
        if inventory.runner != *self.runner {
            log::warn!(
                "scheduler: inventory from {} identifies runner {}, expected {}",
                self.address,
                inventory.runner,
                self.runner
            );
            return None;
        }
        Some(inventory)
    }

    /// Reads the load.
    pub async fn load(&self) -> Option<LoadReport> {
        self.read("/control/load").await
    }

    /// Whether the runner certainly holds no replica of a deployment. Must be called after the
    /// fence has been raised: an earlier inventory may miss a delayed load order.
    pub async fn is_free_of(&self, deployment: &DeploymentName) -> bool {
        let inventory = self.inventory().await;
        inventory.is_some_and(|inventory| {
            let mut held = inventory.deployments.iter();
            !held.any(|item| item.deployment == *deployment)
        })
    }

    /// Sends an order.
    pub async fn order(&self, order: &OrderRequest) -> OrderOutcome {
        let runner = self.runner;
        let reply = match self.call("/control/orders", Some(order)).await {
            Ok(reply) => reply,
            Err(error) => {
                log::warn!("scheduler: sending an order to {runner} failed: {error}");
                return OrderOutcome::Unknown;
            }
        };
        if reply.status.is_success() {
            return OrderOutcome::Accepted;
        }
        match serde_json::from_slice(&reply.body) {
            Ok(rejection) => {
                log::warn!("scheduler: {runner} rejected an order: {rejection:?}");
                OrderOutcome::Rejected(rejection)
            }
            Err(_) => {
                log::warn!(
                    "scheduler: {runner} answered an order with status {}",
                    reply.status
                );
                OrderOutcome::Unknown
            }
        }
    }
}
