//! Why a job waits.

use std::fmt;

/// Why a job has pending tasks that do not start. Operators read its text in the overview and in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// Its tasks failed, and it backs off.
    TasksFailed,
    /// A machine on which the last leader may have started it has not sent a heartbeat.
    UnreconciledMachines,
    /// Its width changed a short time ago.
    RescaleGap,
    /// The pace at which a cold start may start tasks is used up.
    ColdStartPace,
    /// The limit of its team is reached.
    TeamLimit,
    /// Some of its tasks started; there is no room for more.
    NoFurtherFreeSlot,
    /// Running stops or an image fetch will make room.
    StopsOrFetchUnderWay,
    /// There is no room, and no job of lower rank to preempt.
    NothingToPreempt,
    /// There is no room, and preemption of lower jobs would not free its minimum.
    PreemptionInsufficient,
    /// Preempted tasks are stopping in its favour.
    StopsUnderWay,
    /// A part of its gang is placed; there is no room for the rest.
    NoSlotForRestOfGang,
    /// Its gang was stopped because the rest of it found no room in time.
    GangIncomplete,
    /// Tasks of the gang's last attempt have not all ended.
    LastAttemptNotEnded,
}

impl PendingReason {
    /// The text that operators read.
    pub fn as_str(self) -> &'static str {
        match self {
            PendingReason::TasksFailed => "its tasks failed",
            PendingReason::UnreconciledMachines => "machines of the last leader have not reported",
            PendingReason::RescaleGap => "rescale gap",
            PendingReason::ColdStartPace => "pace of a cold start",
            PendingReason::TeamLimit => "team limit",
            PendingReason::NoFurtherFreeSlot => "no further free slot",
            PendingReason::StopsOrFetchUnderWay => "stops or a fetch under way",
            PendingReason::NothingToPreempt => "no free slot, and nobody below it runs",
            PendingReason::PreemptionInsufficient => "no free slot, and lower jobs cannot yield its minimum",
            PendingReason::StopsUnderWay => "stops under way",
            PendingReason::NoSlotForRestOfGang => "no free slot for the rest of its gang",
            PendingReason::GangIncomplete => "its gang was not complete in time",
            PendingReason::LastAttemptNotEnded => "its last attempt has not ended everywhere",
        }
    }
}

impl fmt::Display for PendingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
