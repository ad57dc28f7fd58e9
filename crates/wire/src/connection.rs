//! Authenticated connections between two processes over TCP.
//!
//! Invariant: a [`Connection`] exists only after both ends have proved that they hold the cluster
//! key.

use crate::error::WireError;
use crate::frame::{Frame, HEADER_BYTES, PREVIOUS_RELEASE_VERSION, decode, decode_header};
use crate::handshake::{
    ClusterKey, NONCE_BYTES, PROOF_BYTES, PeerIdentity, common_version, versioned_identity,
};
use crate::message::Message;
use crate::previous_release;
use crate::traffic;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time limit for connecting and the handshake together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 4096;
/// Maximum length of an identity, in bytes.
const MAX_IDENTITY_BYTES: usize = 1024;

const DIALLER: &[u8] = b"courseshunt dialler";
const LISTENER: &[u8] = b"courseshunt listener";

/// An authenticated connection.
#[derive(Debug)]
pub struct Connection {
    /// Identity that the peer claimed in the handshake.
    pub peer: PeerIdentity,
    /// Protocol version that both ends use.
    pub version: u8,
    /// The sending half.
    pub sender: Sender,
    /// The receiving half.
    pub receiver: Receiver,
}

/// An authenticated stream that carries another protocol than frames.
#[derive(Debug)]
pub struct AuthenticatedStream {
    /// Identity that the peer claimed in the handshake.
    pub peer: PeerIdentity,
    /// Protocol version that both ends support.
    pub version: u8,
    /// The stream, positioned after the handshake.
    pub stream: TcpStream,
}

/// The sending half of a connection.
#[derive(Debug)]
pub struct Sender {
    half: OwnedWriteHalf,
    peer: String,
    version: u8,
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct Receiver {
    half: BufReader<OwnedReadHalf>,
    peer: String,
    version: u8,
}

impl Connection {
    /// Sends and receives frames over an authenticated stream.
    fn over(authenticated: AuthenticatedStream, address: SocketAddr) -> Self {
        let AuthenticatedStream {
            peer,
            version,
            stream,
        } = authenticated;
        let name = format!("{peer} at {address}");
        let (read, write) = stream.into_split();
        Self {
            peer,
            version,
            sender: Sender {
                half: write,
                peer: name.clone(),
                version,
            },
            receiver: Receiver {
                half: BufReader::new(read),
                peer: name,
                version,
            },
        }
    }

    /// Whether the peer uses the protocol version of the previous release: see
    /// [`crate::previous_release`].
    #[must_use]
    pub fn is_previous_release(&self) -> bool {
        self.version == PREVIOUS_RELEASE_VERSION
    }
}

impl Sender {
    /// Sends one message. A message that the peer's protocol version can't express is skipped.
    ///
    /// # Errors
    /// When the message is too long or the connection is broken.
    pub async fn send(&mut self, message: &Message) -> Result<(), WireError> {
        let frame = Frame::of(message).map_err(|problem| WireError::Protocol {
            step: "encode",
            peer: self.peer.clone(),
            problem,
        })?;
        self.send_frame(&frame).await
    }

    /// Sends a message that is already encoded, like [`Self::send`].
    ///
    /// # Errors
    /// When the connection is broken.
    pub async fn send_frame(&mut self, frame: &Frame) -> Result<(), WireError> {
        let Some(bytes) = frame.bytes_for(self.version) else {
            return Ok(());
        };
        let sent = self.half.write_all(bytes).await;
        sent.map_err(|source| self.io_error(source))?;
        traffic::count_sent(frame.kind(), bytes.len());
        Ok(())
    }

    fn io_error(&self, source: std::io::Error) -> WireError {
        WireError::Io {
            step: "send",
            peer: self.peer.clone(),
            source,
        }
    }
}

impl Receiver {
    /// Receives one message; `None` when the peer closed the connection.
    ///
    /// # Errors
    /// When the connection is broken or a frame can't be decoded.
    pub async fn receive(&mut self) -> Result<Option<Message>, WireError> {
        let Some((content, checksum)) = self.receive_frame().await? else {
            return Ok(None);
        };
        let message = match self.version {
            PREVIOUS_RELEASE_VERSION => previous_release::decode(&content, checksum),
            _ => decode(&content, checksum),
        };
        let message = message.map_err(|problem| self.protocol_error(problem))?;
        traffic::count_received(&message, HEADER_BYTES + content.len());
        Ok(Some(message))
    }

    /// Reads the next frame and returns its packed content and checksum; `None` when the peer
    /// closed the connection between two frames.
    async fn receive_frame(&mut self) -> Result<Option<(Vec<u8>, u32)>, WireError> {
        let mut header = [0_u8; HEADER_BYTES];
        let read = self.half.read(&mut header).await;
        let length = read.map_err(|source| self.io_error(source))?;
        if length == 0 {
            return Ok(None);
        }
        // The peer closes between two frames only.
        let read = self.half.read_exact(&mut header[length..]).await;
        read.map_err(|source| self.io_error(source))?;
        let header = decode_header(&header, self.version);
        let header = header.map_err(|problem| self.protocol_error(problem))?;
        let mut content = vec![0_u8; header.length];
        let read = self.half.read_exact(&mut content).await;
        read.map_err(|source| self.io_error(source))?;
        Ok(Some((content, header.checksum)))
    }

    fn io_error(&self, source: std::io::Error) -> WireError {
        WireError::Io {
            step: "receive",
            peer: self.peer.clone(),
            source,
        }
    }

    fn protocol_error(&self, problem: String) -> WireError {
        WireError::Protocol {
            step: "receive",
            peer: self.peer.clone(),
            problem,
        }
    }
}

/// Connects to `address` and performs the handshake, within `HANDSHAKE_TIMEOUT`.
///
/// # Errors
/// When the peer can't be reached, does not answer in time, or does not hold the cluster key.
pub async fn connect(
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<Connection, WireError> {
    connect_from(None, address, key, identity).await
}

/// Like [`connect`], from the local IP address `source`; with `None` the operating system chooses.
///
/// # Errors
/// As [`connect`], and when `source` is not an address of this machine.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<Connection, WireError> {
    connect_within(HANDSHAKE_TIMEOUT, source, address, key, identity).await
}

/// Like [`connect_from`], with `limit` as the time limit for connecting and the handshake.
///
/// # Errors
/// As [`connect_from`]; [`WireError::TimedOut`] when the limit is reached.
pub async fn connect_within(
    limit: Duration,
    source: Option<IpAddr>,
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<Connection, WireError> {
    let stream = connect_stream_within(limit, source, address, key, identity).await?;
    Ok(Connection::over(stream, address))
}

/// Like [`connect_within`], for a stream that does not carry frames.
///
/// # Errors
/// As [`connect_within`].
pub async fn connect_stream_within(
    limit: Duration,
    source: Option<IpAddr>,
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<AuthenticatedStream, WireError> {
    let connecting = async {
        let stream = dial(source, address).await;
        let stream = stream.map_err(|source| WireError::Io {
            step: "connect",
            peer: address.to_string(),
            source,
        })?;
        Handshake::new(stream, address, key).dial(identity).await
    };
    with_timeout(limit, "connect", address, connecting).await
}

/// Listens for peers, with a backlog that is large enough for all processes of a region connecting
/// at once. When the backlog is full, the peer's operating system retries the connection only after
/// a second.
///
/// # Errors
/// When the address is in use or is not an address of this machine.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket_for(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn dial(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = socket_for(address)?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

fn socket_for(address: SocketAddr) -> std::io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

/// Performs the handshake with a dialling peer on an accepted stream, within
/// `HANDSHAKE_TIMEOUT`.
///
/// # Errors
/// When the peer does not answer in time or does not hold the cluster key.
pub async fn accept(
    stream: TcpStream,
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<Connection, WireError> {
    let stream = accept_stream(stream, address, key, identity).await?;
    Ok(Connection::over(stream, address))
}

/// Like [`accept`], for a stream that does not carry frames.
///
/// # Errors
/// As [`accept`].
pub async fn accept_stream(
    stream: TcpStream,
    address: SocketAddr,
    key: &ClusterKey,
    identity: &PeerIdentity,
) -> Result<AuthenticatedStream, WireError> {
    let handshake = Handshake::new(stream, address, key);
    with_timeout(
        HANDSHAKE_TIMEOUT,
        "accept",
        address,
        handshake.answer(identity),
    )
    .await
}

async fn with_timeout<T>(
    limit: Duration,
    step: &'static str,
    address: SocketAddr,
    operation: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    let peer = address.to_string();
    let finished = tokio::time::timeout(limit, operation).await;
    finished.unwrap_or(Err(WireError::TimedOut { step, peer }))
}

/// A peer that has proved that it holds the cluster key.
struct AuthenticatedPeer {
    peer: PeerIdentity,
    version: u8,
}

struct Handshake<'a> {
    stream: TcpStream,
    peer: String,
    key: &'a ClusterKey,
}

impl<'a> Handshake<'a> {
    fn new(stream: TcpStream, address: SocketAddr, key: &'a ClusterKey) -> Self {
        let _ = stream.set_nodelay(true);
        let peer = address.to_string();
        Self { stream, peer, key }
    }

    async fn dial(mut self, identity: &PeerIdentity) -> Result<AuthenticatedStream, WireError> {
        let own_nonce = self.send_nonce().await?;
        let peer_nonce = self.read_nonce().await?;
        let nonces = [own_nonce.as_slice(), peer_nonce.as_slice()];
        let peer = self.read_proof(LISTENER, nonces).await?;
        self.send_proof(DIALLER, nonces, identity).await?;
        Ok(self.finish(peer))
    }

    async fn answer(mut self, identity: &PeerIdentity) -> Result<AuthenticatedStream, WireError> {
        let peer_nonce = self.read_nonce().await?;
        let own_nonce = self.send_nonce().await?;
        let nonces = [peer_nonce.as_slice(), own_nonce.as_slice()];
        self.send_proof(LISTENER, nonces, identity).await?;
        let peer = self.read_proof(DIALLER, nonces).await?;
        Ok(self.finish(peer))
    }

    async fn send_nonce(&mut self) -> Result<[u8; NONCE_BYTES], WireError> {
        let nonce: [u8; NONCE_BYTES] = rand::random();
        self.write(&nonce).await?;
        Ok(nonce)
    }

    async fn read_nonce(&mut self) -> Result<Vec<u8>, WireError> {
        self.read(NONCE_BYTES).await
    }

    async fn send_proof(
        &mut self,
        role: &[u8],
        nonces: [&[u8]; 2],
        identity: &PeerIdentity,
    ) -> Result<(), WireError> {
        let identity = rkyv::to_bytes::<rkyv::rancor::Error>(identity);
        let identity = identity.map_err(|error| self.protocol_error(error.to_string()))?;
        let identity = versioned_identity(&identity);
        let proof = self.key.prove(role, nonces, &identity);
        let length = identity.len() as u32;
        self.write(&length.to_le_bytes()).await?;
        self.write(&identity).await?;
        self.write(&proof).await
    }

    async fn read_proof(
        &mut self,
        role: &[u8],
        nonces: [&[u8]; 2],
    ) -> Result<AuthenticatedPeer, WireError> {
        let length = self.read(4).await?;
        let length = u32::from_le_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length > MAX_IDENTITY_BYTES {
            return Err(self.protocol_error(format!("an identity of {length} bytes is too long")));
        }
        let identity = self.read(length).await?;
        let proof = self.read(PROOF_BYTES).await?;
        if !self.key.verify(role, nonces, &identity, &proof) {
            return Err(self.protocol_error("the peer does not hold the cluster key".to_owned()));
        }
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(length);
        aligned.extend_from_slice(&identity);
        let peer = rkyv::from_bytes::<PeerIdentity, rkyv::rancor::Error>(&aligned);
        let peer = peer.map_err(|error| self.protocol_error(error.to_string()))?;
        let version = common_version(&identity);
        Ok(AuthenticatedPeer { peer, version })
    }

    fn finish(self, authenticated: AuthenticatedPeer) -> AuthenticatedStream {
        AuthenticatedStream {
            peer: authenticated.peer,
            version: authenticated.version,
            stream: self.stream,
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let written = self.stream.write_all(bytes).await;
        written.map_err(|source| self.io_error(source))
    }

    async fn read(&mut self, length: usize) -> Result<Vec<u8>, WireError> {
        let mut bytes = vec![0_u8; length];
        let read = self.stream.read_exact(&mut bytes).await;
        read.map_err(|source| self.io_error(source))?;
        Ok(bytes)
    }

    fn io_error(&self, source: std::io::Error) -> WireError {
        WireError::Io {
            step: "handshake",
            peer: self.peer.clone(),
            source,
        }
    }

    fn protocol_error(&self, problem: String) -> WireError {
        WireError::Protocol {
            step: "handshake",
            peer: self.peer.clone(),
            problem,
        }
    }
}
