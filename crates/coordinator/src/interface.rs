//! The interface to operators and instances that a controller depends on.
//!
//! Invariant: implementations are pure, without I/O and state.

use bytes::Bytes;
use courseshunt_services::{
    ConfigurationError, InstanceReport, Order, OrderOutcome, Registration, ReportedLimit,
    ServiceConfiguration,
};
use courseshunt_types::{RunnerId, SoftwareVersion};
use hyper::{HeaderMap, Method, StatusCode};

/// A call of an operator or an instance to a controller.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlCall {
    /// An operator sets a new configuration.
    PutConfiguration,
    /// An operator reads the configuration.
    GetConfiguration,
    /// The instance of this name registers.
    Register(RunnerId),
    /// The instance of this name is about to terminate.
    Deregister(RunnerId),
}

/// Content of an instance's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The state that it registers.
    pub registration: Registration,
    /// Version of the software that it runs, if the heartbeat contains it.
    pub software_version: Option<SoftwareVersion>,
}

/// A call of a controller to an instance.
#[derive(Debug, Clone)]
pub struct InstanceCall {
    /// HTTP method.
    pub method: Method,
    /// Path of the request, with a leading slash.
    pub path: String,
    /// Headers besides the host and the content type.
    pub headers: HeaderMap,
    /// JSON body; empty for none.
    pub body: Bytes,
}

/// Translates between the wire formats of operators and instances and the internal types.
/// Pure: no I/O, no state.
pub trait ControlInterface: Send + Sync + 'static {
    /// The call for a method and path; `None` if there is none.
    fn read_call(&self, method: &Method, path: &str) -> Option<ControlCall>;

    /// Reads an operator's configuration document.
    ///
    /// # Errors
    /// When any part of the document is invalid.
    fn read_configuration(
        &self,
        document: &[u8],
    ) -> Result<ServiceConfiguration, ConfigurationError>;

    /// An operator's document in the form that is stored: with the sizes of models that `older`, the
    /// stored document that it replaces, or one before that lists larger. [`Self::read_configuration`]
    /// reads them.
    fn document_to_store(&self, document: &[u8], older: &[u8]) -> Vec<u8>;

    /// A stored document as the operator sent it.
    fn document_for_operator(&self, stored: &[u8]) -> Vec<u8>;

    /// An operator's document in the form that is sent to routers, with digests in place of API
    /// keys. [`Self::read_configuration`] returns the same for both forms.
    fn document_for_routers(&self, document: &[u8]) -> Vec<u8>;

    /// Reads the heartbeat of the instance of this name. A registration without a required
    /// field is rejected: with a default in its place, the instance would be sent requests.
    ///
    /// # Errors
    /// A description of the problem.
    fn read_registration(&self, id: RunnerId, body: &[u8]) -> Result<Heartbeat, String>;

    /// Reads which incarnation of the instance of this name is about to terminate.
    ///
    /// # Errors
    /// A description of the problem.
    fn read_departure(&self, id: RunnerId, body: &[u8]) -> Result<RunnerId, String>;

    /// The body of the reply to a registration; `next` is the address for later registrations.
    fn registration_answer(&self, next: Option<&str>) -> Bytes;

    /// The call that sends an order. `holder` is the name of this controller, `fence` its term.
    fn order_call(&self, order: &Order, holder: &str, fence: u64) -> InstanceCall;

    /// The outcome of an order by the status of its reply.
    fn order_outcome(&self, status: StatusCode) -> OrderOutcome;

    /// Whether the headers of an instance's reply report that it leaves.
    fn reports_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads the rate limit from the headers of an instance's reply.
    fn read_limit(&self, headers: &HeaderMap) -> ReportedLimit;

    /// The call that requests an instance's report.
    fn report_call(&self, instance: &RunnerId) -> InstanceCall;

    /// Reads the reply to [`Self::report_call`]; `None` if it is invalid.
    fn read_report(&self, body: &[u8]) -> Option<InstanceReport>;
}
