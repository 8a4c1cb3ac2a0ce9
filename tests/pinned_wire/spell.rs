//! The domain's values in words of the tests' own, which stay as they are when a type or field gets another name.

use dockpier::protocol::users::{JobState, JobStatus};
use dockpier::scheduler::model::{
    ExitReason, Heartbeat, JobSpec, Kind, MachineType, Priority, Resources, TaskStatus,
};
use dockpier::scheduler::{ListedMachine, RequestOutcome};

/// A job as it was submitted.
pub fn job(job: &JobSpec) -> String {
    let kind = match job.kind {
        Kind::Array => "array",
        Kind::Gang => "gang",
        Kind::Service => "service",
    };
    let priority = match job.priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
        Priority::Critical => "critical",
    };
    let names = format!(
        "id {} class {:?} team {:?} kind {kind} priority {priority} tasks {}",
        job.job_id.0, job.class, job.team, job.tasks
    );
    let needs =
        format!("needs {} image {:?} {:?} GB", resources(&job.resource_request), job.image, job.image_gb);
    let places = format!(
        "types {:?} zone {:?} one-zone {} spread {} spot {}",
        job.allowed_machine_types, job.required_zone, job.one_zone, job.spread, job.allows_spot
    );
    let times = format!(
        "estimate {:?} s checkpoint {:?} s save {:?} s deadline {:?} s",
        job.estimate_s, job.checkpoint_interval_s, job.checkpoint_save_s, job.deadline_s
    );
    [names, needs, places, times].join("; ")
}

/// Amounts of a machine or task.
pub fn resources(amounts: &Resources) -> String {
    format!("{} millicores {} milligpus {} MB", amounts.milli_cpus, amounts.milli_gpus, amounts.memory_mb)
}

/// A worker's report.
pub fn report(report: &Heartbeat) -> String {
    let machine = format!(
        "machine {:?} address {:?} type {:?} zone {:?} spot {}",
        report.machine, report.address, report.machine_type, report.zone, report.spot
    );
    let order = format!(
        "session {} sequence {} token {} notice {:?} s",
        report.agent_epoch, report.sequence, report.token, report.notice_s
    );
    let task = |task: &dockpier::scheduler::model::ReportedTask| {
        let (id, attempt) = (task.id, task.attempt);
        format!("job {} task {} attempt {attempt} {}", id.job_id.0, id.task, task_status(task.status))
    };
    let tasks: Vec<String> = report.tasks.iter().map(task).collect();
    format!("{machine}; {order}; tasks [{}]", tasks.join(", "))
}

fn task_status(status: TaskStatus) -> &'static str {
    match status {
        TaskStatus::Fetching => "fetching",
        TaskStatus::Running => "running",
        TaskStatus::Saving => "saving",
        TaskStatus::Exited(ExitReason::Done) => "exited: done",
        TaskStatus::Exited(ExitReason::Stopped) => "exited: stopped",
        TaskStatus::Exited(ExitReason::Error) => "exited: error",
        TaskStatus::Exited(ExitReason::NoRoom) => "exited: no room",
        TaskStatus::Exited(ExitReason::Busy) => "exited: busy",
        TaskStatus::Exited(ExitReason::Unknown) => "exited: unknown",
    }
}

/// A job's state as its user is told.
pub fn job_state(state: &JobState) -> String {
    let status = match state.status {
        JobStatus::Pending => "pending",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
    };
    format!("id {:?} status {status} done {:?} running {:?}", state.job_id, state.done, state.running)
}

/// A machine type of the cloud.
pub fn machine_type(found: &MachineType) -> String {
    let prices = format!("price {:?} spot price {:?}", found.price, found.spot_price);
    format!(
        "type {:?} has {} {prices} boot {:?} s fetch {:?} GB/s zones {:?}",
        found.name,
        resources(&found.capacity),
        found.boot_s,
        found.fetch_gb_per_s,
        found.zones
    )
}

/// A machine in the cloud's list.
pub fn listed_machine(listed: &ListedMachine) -> String {
    let machine = &listed.machine;
    format!(
        "machine {:?} address {:?} type {:?} zone {:?} spot {} images {} failed {} age {:?} s",
        machine.name,
        machine.address,
        machine.machine_type,
        machine.zone,
        machine.spot,
        machine.images.len(),
        listed.failed,
        listed.age_s
    )
}

/// What became of a request to the cloud.
pub fn cloud_outcome(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Done => "done",
        RequestOutcome::Refused => "refused",
        RequestOutcome::Unknown => "unknown",
    }
}
