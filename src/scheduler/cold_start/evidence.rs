//! What the verdicts of a cold start rest on: facts about machines and jobs, in the terms of `dockpier_reconcile`.

use crate::scheduler::model::{ExitReason, JobId, Machine, MachineState, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::Scheduler;
use dockpier_reconcile::{
    Fact, GoneBy, JobFact, MachineFact, Reconciliation, ReportNumber, Reported, ReportedState, TaskKey,
};

impl Scheduler {
    /// All facts that this leader knows; their verdicts follow from them alone.
    pub fn reconciliation(&self) -> Reconciliation {
        let mut reconciliation = Reconciliation::default();
        for name in &self.cold_start.deleted {
            reconciliation.learn(Fact::Machine(name.clone(), MachineFact::Gone(GoneBy::CloudWord)));
        }
        for machine in self.machines.values() {
            reconciliation.learn(Fact::Machine(machine.name.clone(), machine_fact(machine)));
        }
        for job in self.jobs.values().filter(|job| !job.terminated && job.inherited) {
            let finished = job.progress.succeeded.difference(&job.progress.unstored).copied().collect();
            let fact = JobFact::Live { tasks: job.spec.tasks, finished };
            reconciliation.learn(Fact::Job(job.spec.job_id.0, fact));
        }
        for job_id in &self.cold_start.unreadable {
            reconciliation.learn(Fact::Job(job_id.0, JobFact::Unreadable));
        }
        reconciliation
    }
}

pub(super) fn task_id(key: TaskKey) -> TaskId {
    TaskId { job_id: JobId(key.job), task: key.task }
}

/// What this leader knows of a machine.
pub(super) fn machine_fact(machine: &Machine) -> MachineFact {
    if machine.state == MachineState::Lost {
        return MachineFact::Gone(GoneBy::LeaseOver);
    }
    if !machine.accounted_for {
        // A machine that no earlier leader knew holds no task of theirs.
        return match machine.inherited {
            true => MachineFact::Unheard,
            false => MachineFact::Heard { number: ReportNumber(0, 0), at: 0, tasks: Vec::new() },
        };
    }
    MachineFact::Heard {
        number: ReportNumber(machine.heartbeats.newest.agent_epoch, machine.heartbeats.newest.sequence),
        at: machine.heartbeats.last_at.as_micros(),
        tasks: machine.heartbeats.reported_tasks.iter().map(reported).collect(),
    }
}

fn reported(task: &ReportedTask) -> Reported {
    Reported {
        task: TaskKey { job: task.id.job_id.0, task: task.id.task },
        attempt: task.attempt,
        state: match task.status {
            TaskStatus::Exited(ExitReason::Done) => ReportedState::Done,
            TaskStatus::Exited(_) => ReportedState::Ended,
            TaskStatus::Fetching | TaskStatus::Running | TaskStatus::Saving => ReportedState::Alive,
        },
    }
}
