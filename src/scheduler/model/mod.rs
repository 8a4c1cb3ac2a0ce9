//! The domain: jobs, tasks, machines and heartbeats. Data and what follows from it alone; the rules are beside it.

mod heartbeat;
mod id;
mod job;
mod machine;
mod resources;
mod task;

pub use heartbeat::{Heartbeat, ReportedTask};
pub use id::{JobId, TaskId};
pub use job::{Elasticity, GangState, Job, JobFailures, JobSpec, Kind, Priority, Progress};
pub use machine::{
    CommandTracker, HeartbeatTracker, ImageCache, Lifecycle, Machine, MachineHealth, MachineState,
    MachineType, ReportedTasks, Route,
};
pub use resources::Resources;
pub use task::{ExitReason, Placement, TaskStatus};
