//! Bodies: whole, empty, or sent piece by piece.

use crate::error::HttpError;
use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use std::io;
use std::time::Duration;

/// Any body that we send.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// The sending half of a body that is sent piece by piece. Dropping it ends the
/// body; [`Sender::abort`] breaks it off, which the receiver sees as an error.
pub type BodySender = Sender<Bytes, io::Error>;

/// Pieces that may wait in a body.
const CHANNEL_PIECES: usize = 16;

/// A body without content.
#[must_use]
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A whole body.
#[must_use]
pub fn full_body(content: impl Into<Bytes>) -> Body {
    let body = Full::new(content.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent piece by piece.
#[must_use]
pub fn channel_body() -> (BodySender, Body) {
    let (sender, channel) = Channel::new(CHANNEL_PIECES);
    (sender, channel.boxed_unsync())
}

/// Reads a whole body of at most `limit_bytes` that arrives within `limit`.
///
/// # Errors
/// When the body is longer, breaks off or does not arrive in time.
pub async fn read_in_time<B>(
    body: B,
    limit_bytes: usize,
    limit: Duration,
    peer: &str,
) -> Result<Bytes, HttpError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = tokio::time::timeout(limit, read_limited(body, limit_bytes, peer)).await;
    read.unwrap_or_else(|_| {
        Err(HttpError::TimedOut {
            step: "read the body",
            peer: peer.to_owned(),
        })
    })
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
/// When the body is longer or breaks off.
pub async fn read_limited<B>(body: B, limit_bytes: usize, peer: &str) -> Result<Bytes, HttpError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut content = Vec::new();
    read_pieces(body, limit_bytes, peer, |piece| {
        content.extend_from_slice(piece);
    })
    .await?;
    Ok(Bytes::from(content))
}

/// Reads a body of at most `limit_bytes` to its end and keeps nothing of it.
///
/// # Errors
/// When the body is longer, which is known at once of one that states its length, or breaks off.
pub async fn discard_limited<B>(body: B, limit_bytes: usize, peer: &str) -> Result<(), HttpError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    read_pieces(body, limit_bytes, peer, |_| {}).await
}

/// Passes a body piece by piece to `take`. A piece is not kept: it may keep a whole read buffer in
/// memory, however short it is.
async fn read_pieces<B>(
    body: B,
    limit_bytes: usize,
    peer: &str,
    mut take: impl FnMut(&[u8]),
) -> Result<(), HttpError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let too_large = || HttpError::TooLarge { limit_bytes };
    let mut left = limit_bytes;
    let mut body = std::pin::pin!(body);
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(too_large());
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| HttpError::Broken {
            step: "read the body",
            peer: peer.to_owned(),
            problem: error.into().to_string(),
        })?;
        if let Some(piece) = frame.data_ref() {
            left = left.checked_sub(piece.len()).ok_or_else(too_large)?;
            take(piece);
        }
    }
    Ok(())
}
