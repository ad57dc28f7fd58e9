//! Priority classes of requests.

/// How urgent a request is. The order of the variants is the order of service.
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
    /// Control loops, such as setpoints and valve commands.
    Critical,
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Plans and reports that may wait for hours.
    Batch,
}

impl PriorityClass {
    /// All classes, the most urgent first.
    pub const ALL: [PriorityClass; 3] = [Self::Critical, Self::Interactive, Self::Batch];

    /// Position in [`Self::ALL`].
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

    /// Reads the name used in headers and settings.
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
