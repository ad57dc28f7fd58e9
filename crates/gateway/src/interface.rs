//! What a router needs of the interfaces of clients and instances.

use courseshunt_services::{
    ConfigurationError, NamedLimit, PromptShape, Route, ServiceConfiguration,
};
use courseshunt_types::{Digest, Millis, RunnerId};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};

/// What a request says about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identity given by the client, for logs and for matching answers.
    pub id: String,
    /// How long the client waits.
    pub deadline: Option<Millis>,
    /// The key it carries.
    pub key: PresentedKey,
    /// Model, sizes and parts of the prompt.
    pub shape: PromptShape,
}

/// The key of a request, as its digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// It carries none.
    #[default]
    None,
    /// It carries something that is no key, or several.
    Unreadable,
    /// It carries one.
    Key(Digest),
}

/// What a router adds to a request that it sends.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// Time left.
    pub deadline: Millis,
    /// The only instance that may run it.
    pub instance: &'a RunnerId,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whose the request is.
    pub tenant: Option<&'a str>,
}

/// What an instance's answer says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseMetadata {
    /// The instance says that the request did not run there.
    pub not_run: bool,
    /// Another instance answers at this address, or it lacks the model.
    pub misdirected: bool,
    /// The answer belongs to this request and is signed.
    pub genuine: bool,
    /// The answer's status promises to the client that the request did not run.
    pub promises_not_run: bool,
    /// The instance says that it leaves: it wants no further requests.
    pub leaving: bool,
    /// The requests a second that the instance takes.
    pub limit: NamedLimit,
}

/// Who answers at an instance's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeIdentity {
    /// The instance that was meant.
    Expected,
    /// Another one.
    Other,
    /// The answer does not tell.
    Unknown,
}

/// Translates between the wire forms of clients and instances and the product's
/// own types. Pure: no I/O, no state.
pub trait ClientInterface: Send + Sync + 'static {
    /// Reads an operator's document, as committed.
    ///
    /// # Errors
    /// When it can't be read whole.
    fn read_configuration(
        &self,
        document: &[u8],
    ) -> Result<ServiceConfiguration, ConfigurationError>;

    /// Reads what a request says about itself.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// How long a client waits for the first part of an answer on this route;
    /// `None` when it waits until its deadline.
    fn first_byte_timeout(&self, route: &Route) -> Option<Millis>;

    /// Whether a header steers instances, so that it isn't a client's to set. Names
    /// of a family that steers count also where they aren't known yet.
    fn is_instance_control_header(&self, name: &HeaderName) -> bool;

    /// Sets what the router adds.
    fn add_forward_headers(&self, headers: &mut HeaderMap, sending: &ForwardContext<'_>);

    /// Reads what an answer says about itself.
    fn read_response(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Headers of a health check that asks whether this instance is there.
    fn probe_headers(&self, instance: &RunnerId) -> HeaderMap;

    /// Reads who answered such a check, whether well or not.
    fn read_probe_identity(
        &self,
        instance: &RunnerId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ProbeIdentity;

    /// Whether a header of answers, besides those of HTTP, is one whose meaning is known.
    fn is_known_response_header(&self, name: &HeaderName) -> bool;
}
