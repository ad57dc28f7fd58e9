//! The side of a forwarded request that has lost its path: connections to forwarders, and the
//! reports by which this router offers to forward and asks for forwarders.

use super::forwarders::Offer;
use super::headers::{ForwardInstruction, mark_check};
use crate::Shared;
use crate::pool::{Endpoint, Upstream};
use bytes::Bytes;
use courseshunt_services::{ForwardingReport, InstanceView, ReportMessage};
use courseshunt_types::{Millis, Zone};
use courseshunt_wire::{PROTOCOL_VERSION, connect_stream_within};
use http_body_util::Full;
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the connection to a forwarder, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection to a forwarder.
///
/// # Errors
/// If it can't be reached in time, does not hold the cluster key or runs another protocol version.
pub(crate) async fn connect(shared: &Shared, address: SocketAddr) -> io::Result<Upstream> {
    let identity = shared.wire_identity();
    let source = Some(shared.settings.address);
    let key = &shared.key;
    let connecting = connect_stream_within(CONNECT_TIMEOUT, source, address, key, &identity);
    let connected = connecting.await.map_err(io::Error::other)?;
    if connected.version != PROTOCOL_VERSION {
        let problem = format!("forward: {address} runs protocol {}", connected.version);
        return Err(io::Error::other(problem));
    }
    Upstream::open(connected.stream, Endpoint::Forwarder(address)).await
}

/// A request that asks a forwarder whether it reaches this instance.
pub(crate) fn check_request(view: &InstanceView) -> Request<Full<Bytes>> {
    let instruction = ForwardInstruction {
        instance: view.id.clone(),
        time_left: Millis(0),
        priority: 0,
        tenant: None,
    };
    let mut request = Request::new(Full::default());
    instruction.write(request.headers_mut());
    mark_check(request.headers_mut());
    request
}

/// This router's report, if one is due.
pub(crate) fn due_report(shared: &Shared) -> Option<ReportMessage> {
    let now = shared.clock.now();
    let available = shared.can_forward();
    let needs_forwarder = shared.paths().needs_forwarder();
    let lost_paths = shared.paths().lost_count();
    let offer = Offer {
        available,
        has_lost_paths: lost_paths > 0,
    };
    if !shared.forwarders.is_report_due(offer, needs_forwarder, now) {
        return None;
    }
    shared.forwarders.record_report(offer, now);
    Some(ReportMessage::Forwarding(ForwardingReport {
        address: shared.settings.wire_address().to_string(),
        zone: Zone::from(shared.settings.zone.as_str()),
        available,
        lost_paths: u32::try_from(lost_paths).unwrap_or(u32::MAX),
    }))
}
