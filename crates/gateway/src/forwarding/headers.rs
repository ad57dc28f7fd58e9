//! Headers by which routers exchange what a forwarded request needs besides its content, and what
//! became of it.
//!
//! Invariant: neither clients nor instances receive these headers, and those that they send are
//! never read.

use courseshunt_http::BodyFraming;
use courseshunt_types::{Millis, RunnerId};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use snafu::{OptionExt, Snafu};

const INSTANCE: HeaderName = HeaderName::from_static("courseshunt-forward-instance");
const TIME_LEFT: HeaderName = HeaderName::from_static("courseshunt-forward-time-left-ms");
const PRIORITY: HeaderName = HeaderName::from_static("courseshunt-forward-priority");
const TENANT: HeaderName = HeaderName::from_static("courseshunt-forward-tenant");
const CHECK: HeaderName = HeaderName::from_static("courseshunt-forward-check");
const ID_CHECKED: HeaderName = HeaderName::from_static("courseshunt-forward-id-checked");
const OUTCOME: HeaderName = HeaderName::from_static("courseshunt-forward-outcome");
const FRAMING: HeaderName = HeaderName::from_static("courseshunt-forward-framing");

/// What a forwarder needs besides the request itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardInstruction {
    /// The only instance that the request may be sent to.
    pub instance: RunnerId,
    /// Time until the request's deadline.
    pub time_left: Millis,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Name of the caller's tenant.
    pub tenant: Option<String>,
}

/// Marks a request that asks only whether the forwarder reaches the instance.
pub fn mark_check(headers: &mut HeaderMap) {
    headers.insert(CHECK, HeaderValue::from_static("1"));
}

/// Whether a request asks only whether the forwarder reaches the instance; takes the mark.
pub fn take_check(headers: &mut HeaderMap) -> bool {
    headers.remove(&CHECK).is_some()
}

/// Why the instruction of a request can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("forward: header {header} is missing or can't be read"))]
pub struct InstructionError {
    header: HeaderName,
}

impl ForwardInstruction {
    /// Adds the instruction to the headers of a request, in place of any that a client sent.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.remove(&TENANT);
        if let Ok(instance) = HeaderValue::from_str(self.instance.as_str()) {
            headers.insert(INSTANCE, instance);
        }
        headers.insert(TIME_LEFT, HeaderValue::from(self.time_left.0));
        headers.insert(PRIORITY, HeaderValue::from(u16::from(self.priority)));
        let tenant = self.tenant.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(tenant)) = tenant {
            headers.insert(TENANT, tenant);
        }
    }

    /// Takes the instruction out of the headers of a request.
    ///
    /// # Errors
    /// If a header is missing or can't be read.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, InstructionError> {
        let instance = take_text(headers, &INSTANCE)?;
        let time_left = take_number(headers, &TIME_LEFT)?;
        let priority = take_number(headers, &PRIORITY)?;
        let tenant = match headers.contains_key(&TENANT) {
            true => Some(take_text(headers, &TENANT)?),
            false => None,
        };
        Ok(Self {
            instance: RunnerId::from(instance.as_str()),
            time_left: Millis(time_left),
            priority,
            tenant,
        })
    }
}

fn take_text(headers: &mut HeaderMap, name: &HeaderName) -> Result<String, InstructionError> {
    let value = headers.remove(name);
    let text = value.as_ref().and_then(|value| value.to_str().ok());
    let text = text.filter(|text| !text.is_empty());
    let context = InstructionSnafu {
        header: name.clone(),
    };
    text.map(str::to_owned).context(context)
}

fn take_number<T: std::str::FromStr>(
    headers: &mut HeaderMap,
    name: &HeaderName,
) -> Result<T, InstructionError> {
    let text = take_text(headers, name)?;
    let context = InstructionSnafu {
        header: name.clone(),
    };
    text.parse().ok().context(context)
}

/// Adds how the instance framed a response, in place of what the instance sent under this name.
pub fn write_framing(headers: &mut HeaderMap, framing: BodyFraming) {
    headers.insert(FRAMING, HeaderValue::from_static(framing.name()));
}

/// Takes how the instance framed a response that a forwarder relays in chunks or with the
/// instance's length. A forwarder of an earlier build does not state it: then only a length is
/// certain to be the instance's.
#[must_use]
pub fn take_framing(headers: &mut HeaderMap) -> BodyFraming {
    let stated = headers.remove(&FRAMING);
    let stated = stated.as_ref().and_then(|value| value.to_str().ok());
    let framing = stated.and_then(BodyFraming::from_name);
    framing.unwrap_or_else(|| match headers.contains_key(CONTENT_LENGTH) {
        true => BodyFraming::Length,
        false => BodyFraming::ConnectionClose,
    })
}

/// States that the forwarder's connection to the instance had not carried the request's id before,
/// and that it is closed if the response is not the one to the request.
pub fn mark_id_checked(headers: &mut HeaderMap) {
    headers.insert(ID_CHECKED, HeaderValue::from_static("1"));
}

/// Takes whether a forwarder stated so; one of an earlier build does not.
#[must_use]
pub fn take_id_checked(headers: &mut HeaderMap) -> bool {
    headers.remove(&ID_CHECKED).is_some()
}

/// What became of a forwarded request that no instance answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// Not sent: the forwarder could not reach the instance.
    Unreachable,
    /// Not sent: the forwarder has lost its own path to the instance.
    PathLost,
    /// Not sent: the forwarder does not know the instance as one that accepts requests.
    NotAccepting,
    /// Not sent: the forwarder is stopping or forwards too many requests.
    Busy,
    /// Not sent: the deadline has passed, or the request could not be read.
    Rejected,
    /// Sent, without a response: the request may have run.
    MayHaveRun,
    /// Sent, and the response has no final status: the request may have run. Routers of earlier
    /// builds read it as [`Self::MayHaveRun`].
    NotFinal,
}

/// The outcomes with their names on the wire.
const OUTCOMES: [(ForwardOutcome, &str); 7] = [
    (ForwardOutcome::Unreachable, "unreachable"),
    (ForwardOutcome::PathLost, "path_lost"),
    (ForwardOutcome::NotAccepting, "not_accepting"),
    (ForwardOutcome::Busy, "busy"),
    (ForwardOutcome::Rejected, "rejected"),
    (ForwardOutcome::MayHaveRun, "may_have_run"),
    (ForwardOutcome::NotFinal, "no_final_status"),
];

impl ForwardOutcome {
    /// Name on the wire, in records and in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        let named = OUTCOMES.iter().find(|(outcome, _)| *outcome == self);
        named.map_or("may_have_run", |(_, name)| name)
    }

    /// Adds the outcome to the headers of a response.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(OUTCOME, HeaderValue::from_static(self.name()));
    }

    /// Reads the outcome from a forwarder's response; `None` if the response is the instance's.
    /// An unknown outcome counts as [`Self::MayHaveRun`].
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(&OUTCOME)?;
        let named = OUTCOMES.iter().find(|(_, name)| *name == value);
        Some(named.map_or(Self::MayHaveRun, |(outcome, _)| *outcome))
    }

    /// Removes what an instance sent under the name of the outcome.
    pub fn remove(headers: &mut HeaderMap) {
        headers.remove(&OUTCOME);
    }
}
