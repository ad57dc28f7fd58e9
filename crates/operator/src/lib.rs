//! What operators' tools share: rendering of templates and the client of the
//! operators' API.

mod client;
mod diff;
mod render;

pub use client::{AdminClient, AdminError, ApplyOptions, ChangeReply, LaggingRouter};
pub use diff::{DocumentDiff, diff};
pub use render::{RenderError, RenderedBatch, read_documents, render};
