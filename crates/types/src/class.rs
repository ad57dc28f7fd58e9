//! Priority classes of requests.

/// Priority class of a request. The order of the variants is the order of service.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Requests of control loops, such as setpoints and valve commands.
    Critical,
    /// Requests of a person who waits for the response.
    #[default]
    Interactive,
    /// Requests that may wait for hours, such as plans and reports.
    Batch,
}

impl PriorityClass {
    /// All classes, highest priority first.
    pub const ALL: [PriorityClass; 3] = [Self::Critical, Self::Interactive, Self::Batch];

    /// Index in [`Self::ALL`].
    #[must_use]
    pub fn rank(self) -> usize {
        self as usize
    }

    /// The name used in headers, settings and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }

    /// Parses the name used in headers and settings.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == text)
    }
}

impl std::fmt::Display for PriorityClass {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
