//! Why a machine is deleted.

use std::fmt;

/// Why a machine is deleted. Operators read its text in the overview and in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::scheduler) enum DeletionReason {
    /// It has been idle for long enough, or is replaced and idle.
    Idle,
    /// Its lease has expired, it failed to boot, or the failure detector has given it up.
    Lost,
    /// The cloud says that it has failed.
    Failed,
    /// The last leader had heard from it, and the cloud does not list it.
    Vanished,
    /// It is silent, and the cloud has not listed it for several lags of its list.
    NotListed,
    /// A drain has emptied it.
    Drained,
}

impl DeletionReason {
    /// The text that operators read.
    pub(in crate::scheduler) fn as_str(self) -> &'static str {
        match self {
            DeletionReason::Idle => "idle",
            DeletionReason::Lost => "lost, silent, deaf or never up",
            DeletionReason::Failed => "failed",
            DeletionReason::Vanished => "held by the last leader and not listed",
            DeletionReason::NotListed => "not listed any more",
            DeletionReason::Drained => "drained",
        }
    }
}

impl fmt::Display for DeletionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
