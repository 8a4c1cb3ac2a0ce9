//! Reconciles the task lists of heartbeats with the placements.
//!
//! Called by `heartbeats` with the list of each newest heartbeat, and by `cold_start` with the last list
//! again when a job has become known. Owns `Machine::unplaced_tasks` and the confirmation of placements.

use super::model::{
    HeartbeatNumber, HeartbeatSource, JobSpec, Machine, Placement, ReportedTask, TaskAttempt, TaskId,
    TaskStatus, TerminationProof,
};
use super::Scheduler;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, warn};

/// The tasks of one task list, by how the leader treats them.
#[derive(Default)]
struct ListedTasks {
    /// Tasks that have not exited.
    live: BTreeSet<TaskAttempt>,
    /// Tasks that have exited.
    exited: BTreeSet<TaskAttempt>,
    /// Tasks of jobs that do not exist, which are to be stopped; see `UnplacedTasks::orphaned`.
    orphaned: BTreeSet<TaskAttempt>,
    /// Tasks left alone until the state service has been asked about their jobs, and when each was first
    /// reported; see `UnplacedTasks::unverified`.
    unverified: BTreeMap<TaskAttempt, Timestamp>,
}

impl Placement {
    /// A placement that a heartbeat reports and that this leader did not make.
    fn adopted(task: &ReportedTask, spec: &JobSpec, now: Timestamp) -> Self {
        Placement {
            attempt: task.attempt,
            resource_request: spec.resource_request,
            start_sent_in_response_to: None,
            confirmed: true,
            status: task.status,
            running_since: None,
            image: spec.image.clone(),
            placed_at: now,
            stopping: None,
        }
    }

    /// Updates the placement by a heartbeat that lists its task.
    fn confirm(&mut self, task: &ReportedTask, now: Timestamp) {
        self.attempt = task.attempt;
        self.confirmed = true;
        if self.status != TaskStatus::Running && task.status == TaskStatus::Running {
            self.running_since = Some(now);
        }
        self.status = task.status;
    }
}

impl Machine {
    /// Records that the machine has the image, because a task that uses it runs there. Returns whether the
    /// image was not recorded before.
    fn record_image(&mut self, image: &str) -> bool {
        if self.image_cache.images.contains(image) {
            return false;
        }
        self.image_cache.images.insert(image.to_string());
        self.image_cache.has_unrecorded_image = true;
        true
    }
}

impl Scheduler {
    /// Updates placements, jobs and images by a task list. Returns its tasks that have not exited.
    pub(super) fn apply_task_list(&mut self, name: &str, tasks: &[ReportedTask]) -> BTreeSet<TaskAttempt> {
        let mut listed = ListedTasks::default();
        for task in tasks {
            let attempt = TaskAttempt { task: task.id, attempt: task.attempt };
            match task.status {
                TaskStatus::Exited(reason) => {
                    listed.exited.insert(attempt);
                    self.apply_exit(name, attempt, reason);
                }
                TaskStatus::Fetching | TaskStatus::Running | TaskStatus::Saving => {
                    listed.live.insert(attempt);
                    if self.jobs.contains_key(&task.id.job_id) {
                        self.apply_live_task(name, task);
                    } else {
                        self.classify_unknown(name, attempt, &mut listed);
                    }
                }
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.unplaced_tasks.exited.retain(|attempt, _| listed.exited.contains(attempt));
            machine.unplaced_tasks.orphaned = listed.orphaned;
            machine.unplaced_tasks.unverified = listed.unverified;
        }
        listed.live
    }

    /// Applies a listed task that has not exited and whose job is known.
    fn apply_live_task(&mut self, name: &str, task: &ReportedTask) {
        let now = self.now;
        let Some(job) = self.jobs.get(&task.id.job_id) else { return };
        let Some(machine) = self.machines.get_mut(name) else { return };
        if task.status == TaskStatus::Running {
            let placement = machine.tasks.get(&task.id);
            if placement.is_some_and(|placement| placement.status != TaskStatus::Running) {
                debug!(task = %task.id, machine = name, "task is running");
            }
            if machine.record_image(&job.spec.image) {
                let machines = self.machines_by_image.entry(job.spec.image.clone()).or_default();
                machines.insert(name.to_string());
            }
        }
        match machine.tasks.get_mut(&task.id) {
            Some(placement) if placement.attempt == task.attempt || !placement.confirmed => {
                placement.confirm(task, now);
            }
            // Another attempt than the confirmed one is listed. A worker never holds two attempts of one
            // task, so the confirmed one is gone: `remove_unlisted` removes its placement.
            Some(_) => {}
            None => {
                machine.tasks.insert(task.id, Placement::adopted(task, &job.spec, now));
                self.adopt(name, task.id);
            }
        }
    }

    /// Enters a listed task of an unknown job in `listed`: as orphaned, so that it is stopped, or as
    /// unverified, so that it is left alone until the state service has been asked about its job.
    fn classify_unknown(&self, name: &str, attempt: TaskAttempt, listed: &mut ListedTasks) {
        let unplaced = self.machines.get(name).map(|machine| &machine.unplaced_tasks);
        let is_orphaned = unplaced.is_some_and(|unplaced| unplaced.orphaned.contains(&attempt));
        if is_orphaned || !self.cold_start_enabled() {
            listed.orphaned.insert(attempt);
            return;
        }
        let first_reported_at = unplaced.and_then(|unplaced| unplaced.unverified.get(&attempt)).copied();
        listed.unverified.insert(attempt, first_reported_at.unwrap_or(self.now));
    }

    /// Enters in its job a task that an earlier leader started on this machine. Stops it here if the job is
    /// terminated, if it has succeeded or is not one of the job's tasks, or if it is placed on another
    /// machine too.
    fn adopt(&mut self, name: &str, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        let is_elsewhere = job.placements.get(&id.task).is_some_and(|names| !names.is_empty());
        let must_not_run = job.progress.succeeded.contains(&id.task) || id.task >= job.spec.tasks;
        job.progress.pending.remove(&id.task);
        let names = job.placements.entry(id.task).or_default();
        if !names.iter().any(|other| other == name) {
            names.push(name.into());
        }
        let placed = job.placements.len() as u32;
        // `granted_width`, the target number of placed tasks, is at least the number placed already.
        job.width_state.granted_width = job.width_state.granted_width.max(placed);
        let terminated = job.terminated;
        if is_elsewhere {
            warn!(task = %id, machine = name, "task is placed on another machine too; stopping it on this one");
        }
        if terminated || is_elsewhere || must_not_run {
            self.request_stop(name, id, 0.0);
        }
    }

    /// Removes the placements that the heartbeat `number` proves to be gone. `listed`: its tasks that have
    /// not exited.
    pub(super) fn remove_unlisted(
        &mut self,
        name: &str,
        listed: &BTreeSet<TaskAttempt>,
        number: HeartbeatNumber,
        source: HeartbeatSource,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        // Until a later periodic heartbeat arrives, the start may still be on its way to the worker.
        let start_was_processed = |placement: &Placement| {
            source == HeartbeatSource::Periodic
                && placement.start_sent_in_response_to.is_some_and(|sent| number > sent)
        };
        let unlisted: Vec<TaskId> = machine
            .tasks
            .iter()
            .filter(|(id, placement)| {
                !listed.contains(&TaskAttempt { task: **id, attempt: placement.attempt })
            })
            .filter(|(_, placement)| placement.confirmed || start_was_processed(placement))
            .map(|(id, _)| *id)
            .collect();
        for id in unlisted {
            debug!(task = %id, machine = name, "task is not listed any more; placement removed");
            if let Some(machine) = self.machines.get_mut(name) {
                machine.tasks.remove(&id);
            }
            self.remove_placement(name, id, TerminationProof::NotListed { heartbeat: number });
        }
    }
}
