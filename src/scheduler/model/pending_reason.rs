//! Reasons for which tasks of a job stay pending.

use std::fmt;

/// Why pending tasks of a job do not start. Operators see the text in the overview and in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// Some of its tasks failed, and its backoff has not ended.
    TasksFailed,
    /// A machine on which an earlier leader may have started its tasks has neither reported to this leader
    /// nor lost its lease.
    UnreconciledMachines,
    /// As many tasks as its width are placed. Inside its rescale gap it gets more only from capacity that
    /// other jobs leave (see [`super::WidthState`]).
    RescaleGap,
    /// A new leader limits the rate at which it starts tasks of inherited jobs during its cold start (see
    /// `cold_start`), and the limit is reached.
    ColdStartPace,
    /// Its team's limit does not allow enough tasks.
    TeamLimit,
    /// Some of its tasks were placed in this round; there is no room for more.
    NoFurtherFreeSlot,
    /// There is enough room, but on machines where stops are under way or that fetch an image for another
    /// job.
    RoomNotFreeYet,
    /// There is not enough room, and no lower-priority job that may be preempted.
    NothingToPreempt,
    /// There is not enough room, and preemption of lower-priority jobs would not free enough for the tasks
    /// missing from its minimum width (for a service: not even for one replica).
    PreemptionInsufficient,
    /// As [`PendingReason::NothingToPreempt`] or [`PendingReason::PreemptionInsufficient`], but there is room
    /// on machines that are closed to it because its tasks failed there.
    ClosedAfterFailure,
    /// Tasks of lower-priority jobs are being preempted for it.
    PreemptionUnderWay,
    /// A part of its gang is placed; there is no room for the other tasks.
    NoSlotForRestOfGang,
    /// Its gang was stopped because there was no room for all its tasks in time.
    GangIncomplete,
    /// Tasks of the gang's last attempt have not all ended.
    LastAttemptNotEnded,
}

impl PendingReason {
    /// The text in the overview and in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            PendingReason::TasksFailed => "its tasks failed",
            PendingReason::UnreconciledMachines => "machines of the last leader have not reported",
            PendingReason::RescaleGap => "rescale gap",
            PendingReason::ColdStartPace => "pace of a cold start",
            PendingReason::TeamLimit => "team limit",
            PendingReason::NoFurtherFreeSlot => "no further free slot",
            PendingReason::RoomNotFreeYet => "stops or a fetch under way",
            PendingReason::NothingToPreempt => "no free slot, and nobody below it runs",
            PendingReason::PreemptionInsufficient => "no free slot, and lower jobs cannot yield its minimum",
            PendingReason::ClosedAfterFailure => "no free slot but on machines where its tasks failed",
            PendingReason::PreemptionUnderWay => "stops under way",
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
