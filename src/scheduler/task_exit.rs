//! Tasks that exited: what follows for their jobs and their machines.

use super::model::*;
use super::termination_proof::TerminationProof;
use super::Scheduler;
use crate::limits;
use tracing::{debug, info, warn};

impl Scheduler {
    /// A heartbeat lists the task as exited.
    pub(super) fn take_exit(&mut self, name: &str, id: TaskId, attempt: u64, reason: ExitReason) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        let news = machine.reported.exited.insert((id, attempt), reason).is_none();
        let held = machine.tasks.get(&id).is_some_and(|t| t.attempt == attempt);
        let intended = machine.tasks.get(&id).is_some_and(|t| t.stopping.is_some());
        if held {
            let ran = machine.tasks.remove(&id).and_then(|t| t.running_since).map(|since| now - since);
            if let (ExitReason::Done, Some(ran)) = (reason, ran) {
                self.judge_speed(name, id.job_id, ran);
            }
            self.remove_placement(name, id, TerminationProof::Exited);
        }
        if !news {
            return;
        }
        debug!(task = %id, machine = name, ?reason, "ended");
        if reason != ExitReason::Done && reason != ExitReason::Stopped {
            info!(task = %id, machine = name, ?reason, "task did not run to its end");
        }
        match reason {
            ExitReason::Done => {
                if let Some(job) =
                    self.jobs.get_mut(&id.job_id).filter(|j| !j.terminated && id.task < j.spec.tasks)
                {
                    // The tasks of a gang complete together: its record must not wait for the heartbeat of a
                    // machine that is lost.
                    let ended = match job.spec.kind {
                        Kind::Service => 0..0,
                        Kind::Gang => 0..job.spec.tasks,
                        Kind::Array => id.task..id.task + 1,
                    };
                    let before = job.progress.succeeded.len();
                    job.progress.succeeded.extend(ended.clone());
                    if job.progress.succeeded.len() > before {
                        job.progress.pending.retain(|task| !ended.contains(task));
                        job.progress.unrecorded.extend(ended);
                        job.progress.unrecorded_since.get_or_insert(now);
                    }
                }
                self.note_success(id.job_id);
            }
            ExitReason::Error | ExitReason::Unknown if !intended => {
                self.note_failure(name, id.job_id, reason == ExitReason::Error);
            }
            // Stopped, or it found its mates gone or never come: the attempt is over for all of a gang.
            ExitReason::Stopped => {
                if let Some(job) = self.jobs.get_mut(&id.job_id).filter(|j| j.spec.kind == Kind::Gang) {
                    job.gang.ended_attempt = job.gang.ended_attempt.max(attempt);
                }
            }
            ExitReason::NoRoom | ExitReason::Busy => {
                if let Some(machine) = self.machines.get_mut(name) {
                    machine.health.no_room_backoff_until = now + limits::NO_ROOM_BACKOFF;
                }
            }
            _ => {}
        }
    }

    /// Tasks of one job differ by half or so; one that takes far longer than the others did speaks
    /// against its machine, and a second one in a row keeps arrays off it for a while.
    fn judge_speed(&mut self, name: &str, job_id: JobId, ran: u64) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let (sum, count) = job.run_times;
        job.run_times = (sum + ran, count + 1);
        if count < limits::MIN_SPEED_SAMPLES {
            return;
        }
        let slow = ran as f64 > limits::SLOW_FACTOR * sum as f64 / count as f64;
        let now = self.now;
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.health.slow_tasks = if slow { machine.health.slow_tasks + 1 } else { 0 };
        if machine.health.slow_tasks >= limits::MAX_SLOW_TASKS {
            warn!(machine = name, "slow: no arrays here for a while");
            machine.health.slow_tasks = 0;
            machine.health.quarantined_until = now + limits::SLOW_MACHINE_QUARANTINE;
        }
    }
}
