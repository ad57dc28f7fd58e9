//! What a controller needs of the interfaces of operators and instances.

use bytes::Bytes;
use courseshunt_services::{
    ConfigurationError, InstanceReport, Order, OrderOutcome, Registration, ReportedLimit,
    ServiceConfiguration,
};
use courseshunt_types::RunnerId;
use hyper::{HeaderMap, Method, StatusCode};

/// A call that a controller takes.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlCall {
    /// An operator's new configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    GetConfiguration,
    /// An instance registers: its name.
    Register(RunnerId),
    /// An instance is about to end: its name.
    Deregister(RunnerId),
}

/// A call to an instance.
#[derive(Debug, Clone)]
pub struct InstanceCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers besides the usual ones.
    pub headers: HeaderMap,
    /// Body, empty for none.
    pub body: Bytes,
}

/// Translates between the wire forms of operators and instances and the
/// product's own types. Pure: no I/O, no state.
pub trait ControlInterface: Send + Sync + 'static {
    /// The call that a method and path stand for; `None` when there is none.
    fn read_call(&self, method: &Method, path: &str) -> Option<ControlCall>;

    /// Reads an operator's document.
    ///
    /// # Errors
    /// When it can't be read whole.
    fn read_configuration(
        &self,
        document: &[u8],
    ) -> Result<ServiceConfiguration, ConfigurationError>;

    /// An operator's document as routers are sent it: with digests of keys in the
    /// place of keys. [`Self::read_configuration`] reads the same out of both.
    fn document_for_routers(&self, document: &[u8]) -> Vec<u8>;

    /// Reads the registration of the instance of this name. It is whole, or refused: an
    /// instance of which a part is guessed would be sent requests.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_registration(&self, id: RunnerId, body: &[u8]) -> Result<Registration, String>;

    /// Which life of the instance of this name says that it is about to end.
    ///
    /// # Errors
    /// What is wrong with the message.
    fn read_departure(&self, id: RunnerId, body: &[u8]) -> Result<RunnerId, String>;

    /// The answer to a registration; `next` is where later ones should go.
    fn registration_answer(&self, next: Option<&str>) -> Bytes;

    /// The call that gives an order.
    fn order_call(&self, order: &Order, holder: &str, fence: u64) -> InstanceCall;

    /// What the answer to an order means.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Whether the headers of an instance's answer say that it leaves.
    fn says_leaving(&self, headers: &HeaderMap) -> bool;

    /// The limit that the headers of an instance's answer name.
    fn named_limit(&self, headers: &HeaderMap) -> ReportedLimit;

    /// The call that asks an instance how it stands.
    fn report_call(&self, instance: &RunnerId) -> InstanceCall;

    /// Reads the answer to [`Self::report_call`].
    fn read_report(&self, body: &[u8]) -> Option<InstanceReport>;
}
