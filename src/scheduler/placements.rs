//! Reserves placements of tasks, requests their stops, and removes them when the tasks have provably
//! terminated. Used by all parts of the scheduler; nothing else makes a task pending again.
//!
//! A task is pending only while it is provably on no machine. So every removal of a placement requires a
//! [`TerminationProof`].

use super::model::{
    Job, JobId, Placement, PreviousPlacement, Resources, StopRequest, TaskId, TaskStatus, TerminationProof,
};
use super::Scheduler;
use crate::time::Timestamp;
use tracing::debug;

impl Placement {
    /// A placement whose start has not been sent.
    fn reserved(resource_request: Resources, image: String, attempt: u64, now: Timestamp) -> Self {
        Placement {
            attempt,
            resource_request,
            start_sent_in_response_to: None,
            confirmed: false,
            status: TaskStatus::Fetching,
            running_since: None,
            image,
            placed_at: now,
            stopping: None,
        }
    }
}

impl Scheduler {
    /// Stops every task of the job at once, without a grace period.
    pub(super) fn stop_all_tasks(&mut self, job_id: JobId) {
        self.stop_all_within(job_id, 0.0);
    }

    /// Asks every task of the job to stop within `grace_s` seconds.
    pub(super) fn stop_all_within(&mut self, job_id: JobId, grace_s: f64) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let placements: Vec<_> =
            self.placements_of(job).map(|(id, machine_name, _)| (id, machine_name.to_string())).collect();
        for (id, machine_name) in placements {
            self.request_stop(&machine_name, id, grace_s);
        }
    }

    /// Every placement of the job's tasks: the task, the name of the machine, and the placement.
    pub(super) fn placements_of<'a>(
        &'a self,
        job: &'a Job,
    ) -> impl Iterator<Item = (TaskId, &'a str, &'a Placement)> {
        let by_task = job.placements.iter();
        by_task.flat_map(|(task, names)| names.iter().map(move |name| (*task, name))).filter_map(
            |(task, name)| {
                let id = TaskId { job_id: job.spec.job_id, task };
                Some((id, name.as_str(), self.machines.get(name)?.tasks.get(&id)?))
            },
        )
    }

    /// Removes the job if it is terminated and no task of it is placed any more.
    pub(super) fn remove_if_terminated(&mut self, job_id: JobId) {
        if self.jobs.get(&job_id).is_some_and(|job| job.terminated && job.placements.is_empty()) {
            self.jobs.remove(&job_id);
        }
    }

    /// The next attempt number, for all tasks of a job that start together; the tasks of a gang find each
    /// other by it. The upper 32 bits are the fencing token, so that no two leaders use the same number.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempts_started += 1;
        (self.config.token.0 << 32) | self.attempts_started
    }

    /// Reserves resources for a task on the machine. The start is sent in the response to the machine's next
    /// heartbeat.
    pub(super) fn reserve_placement(
        &mut self,
        machine_name: &str,
        id: TaskId,
        resource_request: Resources,
        image: String,
        attempt: u64,
    ) {
        let now = self.now;
        self.count_start_for_cold_start_pace(id);
        let previous_placement =
            self.jobs.get_mut(&id.job_id).and_then(|job| job.previous_placements.remove(&id.task));
        if let Some(machine) = self.machines.get_mut(machine_name) {
            let previous_placement = previous_placement.map(tracing::field::display);
            debug!(task = %id, machine = machine_name, attempt, previous_placement, "task placed");
            machine.tasks.insert(id, Placement::reserved(resource_request, image, attempt, now));
        }
        // Only the leader can send the start, in its response to a heartbeat that the leaseholder relays.
        self.request_relay(machine_name);
    }

    /// Asks the task to stop within `grace_s` seconds. If its start has not been sent, removes its placement
    /// at once. A later request with a shorter grace period replaces an earlier one.
    pub(super) fn request_stop(&mut self, machine_name: &str, id: TaskId, grace_s: f64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(machine_name) else { return };
        let Some(placement) = machine.tasks.get_mut(&id) else { return };
        if placement.is_unsent() {
            machine.tasks.remove(&id);
            self.remove_placement(machine_name, id, TerminationProof::NeverSent);
            return;
        }
        let grace_s = placement.stopping.map_or(grace_s, |stop| stop.grace_s.min(grace_s));
        if placement.stopping.is_none_or(|stop| stop.grace_s > grace_s) {
            placement.stopping = Some(StopRequest { requested_at: now, grace_s });
            // Also sent directly to the worker, since its next heartbeat may be seconds away.
            self.autoscaler.machines_with_direct_stops.insert(machine_name.to_string());
            self.request_relay(machine_name);
        }
    }

    /// Removes the placement of a task that is provably no longer on this machine. The task becomes pending
    /// again, unless it may be on another machine, has succeeded, or its job has terminated.
    pub(super) fn remove_placement(&mut self, machine_name: &str, id: TaskId, proof: TerminationProof) {
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        if let Some(machine_names) = job.placements.get_mut(&id.task) {
            machine_names.retain(|other| other != machine_name);
            if machine_names.is_empty() {
                job.placements.remove(&id.task);
                if !job.terminated && !job.progress.succeeded.contains(&id.task) {
                    job.progress.pending.insert(id.task);
                    let previous = PreviousPlacement { machine: machine_name.to_string(), proof };
                    job.previous_placements.insert(id.task, previous);
                }
            }
        }
        self.remove_if_terminated(id.job_id);
    }

    /// Removes all placements of a machine that provably runs no task any more. If draining is enabled, the
    /// lost work is recorded as disruption.
    pub(super) fn remove_all_placements(&mut self, machine_name: &str, proof: TerminationProof) {
        self.record_lost_work(machine_name);
        let Some(machine) = self.machines.get_mut(machine_name) else { return };
        let tasks = std::mem::take(&mut machine.tasks);
        machine.unplaced_tasks.clear();
        for id in tasks.into_keys() {
            self.remove_placement(machine_name, id, proof);
        }
    }
}
