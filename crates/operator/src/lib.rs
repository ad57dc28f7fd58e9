//! What operators' tools share: rendering of templates and the client of the
//! operators' API.

mod check;
mod client;
mod diff;
mod jobs;
mod render;

pub use check::{check_parameters, check_template};
pub use client::{AdminClient, AdminError, ApplyOptions, ChangeReply, LaggingRouter};
pub use diff::{DocumentDiff, diff};
pub use jobs::{JobClient, JobError, JobOptions};
pub use render::{RenderError, RenderedBatch, read_documents, render};
