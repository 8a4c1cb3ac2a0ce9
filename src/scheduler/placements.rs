//! Where tasks are: placed, told to stop, and provably gone.

use super::model::*;
use super::termination_proof::{PreviousPlacement, TerminationProof};
use super::Scheduler;
use tracing::debug;

impl Scheduler {
    pub(super) fn stop_all(&mut self, job_id: JobId) {
        let Some(job) = self.jobs.get(&job_id) else { return };
        let places: Vec<_> =
            self.placements_of(job).map(|(id, machine, _)| (id, machine.to_string())).collect();
        for (id, machine) in places {
            self.stop(&machine, id, 0.0);
        }
    }

    /// Every place where a task of the job is, or may be.
    pub(super) fn placements_of<'a>(
        &'a self,
        job: &'a Job,
    ) -> impl Iterator<Item = (TaskId, &'a str, &'a Placement)> {
        let places = job.placements.iter().flat_map(|(task, names)| names.iter().map(move |n| (*task, n)));
        places.filter_map(|(task, name)| {
            let id = TaskId { job_id: job.spec.job_id, task };
            Some((id, name.as_str(), self.machines.get(name)?.tasks.get(&id)?))
        })
    }

    pub(super) fn remove_if_terminated(&mut self, job_id: JobId) {
        if self.jobs.get(&job_id).is_some_and(|j| j.terminated && j.placements.is_empty()) {
            self.jobs.remove(&job_id);
        }
    }

    /// One number for all tasks of a job that start together: a gang's tasks find one another by it.
    /// It carries the token, so that no two leaders ever use one twice.
    pub(super) fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        (self.config.token << 32) | self.attempts
    }

    /// Reserves the place; the start goes out with the answer to the machine's next heartbeat.
    pub(super) fn reserve_placement(
        &mut self,
        name: &str,
        id: TaskId,
        needs: Resources,
        image: String,
        attempt: u64,
    ) {
        let now = self.now;
        self.note_order(id);
        let previous = self.jobs.get_mut(&id.job_id).and_then(|job| job.previous_placements.remove(&id.task));
        if let Some(machine) = self.machines.get_mut(name) {
            let previous = previous.map(tracing::field::display);
            debug!(task = %id, machine = name, attempt, previous, "place");
            let placed = Placement {
                attempt,
                resource_request: needs,
                start_sent_in: None,
                confirmed: false,
                status: TaskStatus::Fetching,
                running_since: None,
                image,
                placed_at: now,
                stopping: None,
            };
            machine.tasks.insert(id, placed);
        }
        self.request_wake(name);
    }

    pub(super) fn stop(&mut self, name: &str, id: TaskId, grace_s: f64) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(placed) = machine.tasks.get_mut(&id) else { return };
        if placed.start_sent_in.is_none() && !placed.confirmed {
            // Its start has not left: it is provably nowhere.
            machine.tasks.remove(&id);
            self.remove_placement(name, id, TerminationProof::NeverSent);
            return;
        }
        // A later stop with less grace ends the saving.
        let grace = placed.stopping.map_or(grace_s, |(_, g)| g.min(grace_s));
        if placed.stopping.is_none_or(|(_, g)| g > grace) {
            placed.stopping = Some((now, grace));
            self.fleet.direct.insert(name.to_string());
            self.request_wake(name);
        }
    }

    /// The task is provably not on this machine any more.
    pub(super) fn remove_placement(&mut self, name: &str, id: TaskId, proof: TerminationProof) {
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        if let Some(names) = job.placements.get_mut(&id.task) {
            names.retain(|n| n != name);
            if names.is_empty() {
                job.placements.remove(&id.task);
                if !job.terminated && !job.progress.succeeded.contains(&id.task) {
                    job.progress.pending.insert(id.task);
                    job.previous_placements
                        .insert(id.task, PreviousPlacement { machine: name.to_string(), proof });
                }
            }
        }
        self.remove_if_terminated(id.job_id);
    }

    /// Everything on the machine is gone.
    pub(super) fn release_machine(&mut self, name: &str, proof: TerminationProof) {
        self.note_lost_work(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        let tasks: Vec<_> = std::mem::take(&mut machine.tasks).into_keys().collect();
        machine.reported.exited.clear();
        machine.reported.orphaned.clear();
        machine.reported.unverified.clear();
        for id in tasks {
            self.remove_placement(name, id, proof);
        }
    }
}
