//! Domain types of the scheduler: jobs, tasks, machines and heartbeats.
//!
//! The types own the scheduler's data and compute what follows from the data of one object. The scheduling
//! rules are in the other modules of `scheduler`, which use these types; no type here depends on those
//! modules.

mod commands;
mod heartbeat;
mod id;
mod job;
mod job_failures;
mod job_summary;
mod machine;
mod pending_reason;
mod resources;
mod route;
mod task;
mod termination_proof;
mod unplaced_tasks;

pub use commands::{CommandTracker, TaskCommand};
pub use heartbeat::{Heartbeat, HeartbeatNumber, HeartbeatSource, HeartbeatTracker, ReportedTask};
pub use id::{JobId, TaskAttempt, TaskId};
pub use job::{GangState, Job, JobSpec, Kind, Priority, Progress, RunTimes, WidthState};
pub use job_failures::{FailedAttempt, JobFailures, MachineFailures, TaskFailure};
pub use job_summary::{JobSummary, TaskCounts};
pub use machine::{ImageCache, Lifecycle, Machine, MachineHealth, MachineState, MachineType, StoredMachine};
pub use pending_reason::PendingReason;
pub use resources::Resources;
pub use route::{PreviousRoute, Route};
pub use task::{ExitReason, Placement, StopRequest, TaskStatus};
pub use termination_proof::{PreviousPlacement, TerminationProof};
pub use unplaced_tasks::UnplacedTasks;

#[cfg(test)]
mod tests;
