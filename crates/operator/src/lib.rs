//! What operators' tools share: rendering of templates and the client of the
//! operators' API.

mod client;
mod render;

pub use client::{AdminClient, AdminError};
pub use render::{RenderError, RenderedBatch, read_documents, render};
