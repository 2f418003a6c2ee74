//! Why a process stops.

/// Why a process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// It was asked to.
    Signal,
    /// Other members have removed it from the view, and what it held is written off.
    Removal,
}

impl StopReason {
    /// Returns the name of the reason in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Signal => "signal",
            Self::Removal => "removal",
        }
    }
}
