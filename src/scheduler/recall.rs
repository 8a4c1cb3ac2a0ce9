//! Stops tasks on machines for which the cloud has given notice of a recall. Called by `heartbeats`.

use super::model::{Job, Kind};
use super::Scheduler;
use crate::limits;
use crate::time::as_seconds;

impl Scheduler {
    /// Stops tasks on a machine if the cloud has given notice of its recall: services at once, and tasks that
    /// save checkpoints when the time left is just enough to save. All others may still finish.
    pub(super) fn stop_before_recall(&mut self, name: &str) {
        let Some(machine) = self.machines.get(name) else { return };
        let Some(recall_at) = machine.lifecycle.recall_at else { return };
        let left_s = as_seconds(recall_at.since(self.now));
        let stops: Vec<_> = machine
            .tasks
            .keys()
            .filter_map(|id| self.jobs.get(&id.job_id).map(|job| (*id, job)))
            .filter(|(_, job)| self.must_stop_for_recall(job, left_s))
            .map(|(id, job)| (id, job.spec.kind, job.spec.checkpoint_save_s))
            .collect();
        for (id, kind, grace_s) in stops {
            match kind {
                Kind::Gang => self.stop_gang(id.job_id),
                Kind::Array | Kind::Service => self.request_stop(name, id, grace_s),
            }
        }
    }

    /// Whether the job's tasks on a machine must stop now if the machine is recalled in `left_s` seconds.
    fn must_stop_for_recall(&self, job: &Job, left_s: f64) -> bool {
        let saves_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        // The tasks of a gang save together; `gang_peer_s` allows for their waiting for each other, as in
        // `stop_gang`.
        let gang_wait_s = match job.spec.kind {
            Kind::Gang => self.config.workers.gang_peer_s,
            Kind::Array | Kind::Service => 0.0,
        };
        let needed_s = job.spec.checkpoint_save_s + gang_wait_s + limits::RECALL_MARGIN_S;
        job.spec.kind == Kind::Service || saves_checkpoints && left_s <= needed_s
    }
}
