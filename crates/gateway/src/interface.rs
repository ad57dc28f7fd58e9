//! Interface to the formats that clients and instances use on the wire.
//!
//! Invariant: an implementation is pure, so that the router may call it at any time and in any
//! order.

use courseshunt_instance_load::ReportedLoad;
use courseshunt_services::{
    ConfigurationError, PromptShape, ReportedLimit, Route, ServiceConfiguration,
};
use courseshunt_types::{Digest, Millis, RunnerId};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};

/// Metadata in the headers of a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestMetadata {
    /// Id given by the client, for logs and to match responses.
    pub id: String,
    /// Time for which the client waits.
    pub deadline: Option<Millis>,
    /// Key that the request presents.
    pub key: PresentedKey,
    /// Model, token counts and prefix parts of the prompt.
    pub shape: PromptShape,
    /// The stream that the request resumes; `None` for a new request.
    pub resumption: Option<Resumption>,
}

/// What a request states about the stream that it resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the last event that the client has received; empty if it states none that can be read.
    pub last_event_id: String,
    /// Id of the request that brought the first event of the stream; `None` if the client does not
    /// name exactly one.
    pub began_by: Option<String>,
}

/// Key that a request presents, as its digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    #[default]
    None,
    /// Something that is not a key, or several keys.
    Unreadable,
    /// One key.
    Key(Digest),
}

/// Values for the headers that a router adds to a forwarded request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// Time left until the deadline.
    pub deadline: Millis,
    /// The only instance that may run the request.
    pub instance: &'a RunnerId,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Name of the caller's tenant.
    pub tenant: Option<&'a str>,
}

/// Which request a response answers, by the id that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AnsweredRequest {
    /// The request that it was received for.
    This,
    /// Another one: the instance has given an answer too many, and the right one is still due.
    Another,
    /// The response carries no id.
    #[default]
    Unknown,
}

/// Metadata in the headers of an instance's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResponseMetadata {
    /// The instance reports that the request did not run.
    pub not_run: bool,
    /// Another instance answers at this address, or the instance lacks the model.
    pub misdirected: bool,
    /// Which request the response answers.
    pub answered: AnsweredRequest,
    /// The response belongs to this request, and is signed if it reports a success.
    pub genuine: bool,
    /// The status of the response promises to the client that the request did not run.
    pub promises_not_run: bool,
    /// The instance reports that it is leaving and accepts no further requests.
    pub leaving: bool,
    /// Rate limit of the instance, in requests per second.
    pub limit: ReportedLimit,
    /// Load of the instance.
    pub load: ReportedLoad,
}

/// Which instance answers at an address, according to the response to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeIdentity {
    /// The instance that was probed.
    Expected,
    /// Another instance.
    Other,
    /// The response does not identify the instance.
    Unknown,
}

/// Translates between the wire formats of clients and instances and the types of the services.
/// Pure: no I/O, no state.
pub trait ClientInterface: Send + Sync + 'static {
    /// Parses an operator's configuration document, as committed.
    ///
    /// # Errors
    /// If a part of the document can't be parsed.
    fn read_configuration(
        &self,
        document: &[u8],
    ) -> Result<ServiceConfiguration, ConfigurationError>;

    /// Reads the metadata of a request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// How long a client waits for the first byte of a response on this route; `None` if it
    /// waits until its deadline.
    fn first_byte_timeout(&self, route: &Route) -> Option<Millis>;

    /// Longest time after which a client that waits for `time_left` more sends a refused request
    /// again; `None` if it does not.
    fn latest_return(&self, time_left: Millis) -> Option<Millis>;

    /// Whether a header controls instances, so that clients must not set it. Unknown names of a
    /// family of control headers count as well.
    fn is_instance_control_header(&self, name: &HeaderName) -> bool;

    /// Adds the headers of a forwarded request.
    fn add_forward_headers(&self, headers: &mut HeaderMap, sending: &ForwardContext<'_>);

    /// Reads the metadata of a response to the request with this id.
    fn read_response(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Headers of a health probe of this instance.
    fn probe_headers(&self, instance: &RunnerId) -> HeaderMap;

    /// Reads which instance sent the response to a health probe, whatever its status.
    fn read_probe_identity(
        &self,
        instance: &RunnerId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ProbeIdentity;

    /// Whether the meaning of a response header, other than those of HTTP itself, is known.
    fn is_known_response_header(&self, name: &HeaderName) -> bool;
}
