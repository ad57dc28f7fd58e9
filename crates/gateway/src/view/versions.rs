//! Which instances may continue a stream, in the router's view.

use super::View;
use super::state::State;
use crate::refusal::Refusal;
use crate::software_versions::{RequiredWriter, SoftwareVersions};
use crate::staleness::MAX_LEADER_SILENCE;
use courseshunt_services::{InstanceState, InstanceView, PromptShape, Service, ServiceVersions};
use courseshunt_types::{RunnerId, SoftwareVersion, Timestamp};

/// Which instances may serve a request: all of its service, or those that may continue the stream
/// that it resumes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Eligibility<'a> {
    writer: Option<&'a RequiredWriter>,
    is_feed_recent: bool,
    now: Timestamp,
}

impl View {
    fn is_feed_recent(&self) -> bool {
        self.feed_age() <= MAX_LEADER_SILENCE
    }

    pub(super) fn eligibility<'a>(
        &self,
        writer: Option<&'a RequiredWriter>,
        now: Timestamp,
    ) -> Eligibility<'a> {
        Eligibility {
            writer,
            // It matters only to requests that resume a stream.
            is_feed_recent: writer.is_some() && self.is_feed_recent(),
            now,
        }
    }

    /// Applies the leader's list of software versions.
    pub(crate) fn set_software_versions(&self, list: Vec<ServiceVersions>) {
        let now = self.clock.now();
        self.lock().versions.apply(list, now);
        self.notify_change();
    }

    /// The software version of an instance, if the leader's list names it.
    pub(crate) fn software_version(&self, instance: &RunnerId) -> Option<SoftwareVersion> {
        let now = self.clock.now();
        self.lock().versions.version_of(instance, now).cloned()
    }

    /// Whether all instances of a service certainly run one software version.
    pub(crate) fn has_one_version(&self, service: &str) -> bool {
        let now = self.clock.now();
        self.is_feed_recent() && !self.lock().versions.may_be_mixed(service, now)
    }

    /// Whether it matters which instance began a stream that this service may continue: instances
    /// may run several software versions, or another service may have begun it.
    pub(crate) fn is_origin_ambiguous(&self, service: &str) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.versions.may_be_mixed(service, now)
            || state.route_services.may_have_begun_elsewhere(service, now)
    }

    /// Whether an instance may serve a request that needs this writer.
    pub(crate) fn may_serve(&self, view: &InstanceView, writer: Option<&RequiredWriter>) -> bool {
        let eligibility = self.eligibility(writer, self.clock.now());
        writer.is_none() || self.lock().is_eligible(view, &eligibility)
    }

    /// Checks that a request which needs this writer can be served, now or once its model is loaded.
    ///
    /// # Errors
    /// If no instance of the writer holds or loads the model, or if it is no longer certain which
    /// instances may serve the request.
    pub(crate) fn check_writer(
        &self,
        service: &Service,
        shape: &PromptShape,
        writer: &RequiredWriter,
    ) -> Result<(), Refusal> {
        let eligibility = self.eligibility(Some(writer), self.clock.now());
        if self.has_one_version(&service.name) {
            return Ok(());
        }
        let state = self.lock();
        if writer.version.is_none() && writer.began_at.is_none() {
            return Err(Refusal::UnknownOrigin);
        }
        let holders = state.instances.holders(&service.name, &shape.model);
        let loaders = state.instances.loaders(&service.name, &shape.model);
        let mut ready = holders
            .chain(loaders)
            .filter(|view| view.state == InstanceState::Ready);
        match ready.any(|view| state.is_eligible(view, &eligibility)) {
            true => Ok(()),
            false => Err(Refusal::WriterGone),
        }
    }
}

impl State {
    /// Whether an instance may serve a request.
    pub(super) fn is_eligible(&self, view: &InstanceView, eligibility: &Eligibility<'_>) -> bool {
        eligibility.admits(&self.versions, view)
    }
}

impl Eligibility<'_> {
    /// Whether an instance with this view may serve the request.
    pub(super) fn admits(&self, versions: &SoftwareVersions, view: &InstanceView) -> bool {
        self.writer.is_none_or(|writer| {
            let (service, id) = (&view.service, &view.id);
            versions.may_continue(writer, service, id, self.is_feed_recent, self.now)
        })
    }
}
