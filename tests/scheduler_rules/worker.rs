//! The model of a worker: the tasks that it really holds, and the commands that it carries out. Each start is
//! checked against the rules.

use super::world::World;
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{ExitReason, Kind, TaskId};
use dockpier::scheduler::TaskCommand;
use dockpier::time::Timestamp;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

pub(super) struct Running {
    pub(super) attempt: u64,
    /// When its image is there, of a gang's task; when it ends, of any other.
    pub(super) ends: Timestamp,
    pub(super) exited: Option<ExitReason>,
}

/// One worker, the truth about what runs.
pub(super) struct Worker {
    pub(super) spot: bool,
    pub(super) zone: String,
    pub(super) up_at: Timestamp,
    pub(super) dead: bool,
    pub(super) cut_until: Timestamp,
    /// Until then its heartbeats arrive, but nothing reaches it.
    pub(super) deaf_until: Timestamp,
    /// Until then its heartbeats reach nobody, while direct commands reach it.
    pub(super) mute_until: Timestamp,
    /// Until then every task that starts on it fails.
    pub(super) sick_until: Timestamp,
    /// Until then it does not reach the leader.
    pub(super) leader_cut_until: Timestamp,
    /// The leaseholder that it reports to; None: the leader.
    pub(super) relayed_by: Option<usize>,
    pub(super) agent_epoch: u64,
    pub(super) sequence: u64,
    pub(super) token: FencingToken,
    pub(super) lease_until: Timestamp,
    pub(super) next_report: Timestamp,
    /// Until then it waits for the answer to its last heartbeat, and sends none.
    pub(super) waits_until: Timestamp,
    pub(super) tasks: BTreeMap<TaskId, Running>,
    pub(super) gone: BTreeSet<(TaskId, u64)>,
}

impl World {
    pub(super) fn task_commands(&mut self, name: &str, task_commands: &[TaskCommand]) {
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => self.start(name, *id, *attempt),
                TaskCommand::Stop { id, attempt, .. } => {
                    let Some(worker) = self.workers.get_mut(name) else { return };
                    if let Some(task) = worker.tasks.get_mut(id).filter(|t| t.attempt == *attempt) {
                        if task.exited.is_none() {
                            task.exited = Some(ExitReason::Stopped);
                            worker.next_report = self.now;
                        }
                    }
                }
                TaskCommand::Forget { id, attempt } => {
                    let Some(worker) = self.workers.get_mut(name) else { return };
                    if worker.tasks.get(id).is_some_and(|t| t.attempt == *attempt && t.exited.is_some()) {
                        worker.tasks.remove(id);
                        worker.gone.insert((*id, *attempt));
                    }
                }
            }
        }
    }

    fn start(&mut self, name: &str, id: TaskId, attempt: u64) {
        let spec = self.specs[&id.job_id].clone();
        let runs = self.now + self.rng.random_range(3..12u64) as u32 * SECOND;
        let completed = self.completed.get(&id.job_id).is_some_and(|c| c.contains(&id.task));
        for (other, worker) in self.workers.iter().filter(|(_, w)| !w.dead) {
            // One that hangs past its lease kills them the moment it goes on.
            let alive = self.now < worker.lease_until;
            let there = alive && worker.tasks.get(&id).is_some_and(|t| t.exited.is_none());
            assert!(!there, "ran_twice: {id} starts on {name} while it is on {other}");
        }
        let since = self.cancelled.get(&id.job_id);
        assert!(since.is_none_or(|at| self.now < *at + 40 * SECOND), "ran_cancelled: {id}");
        let Some(worker) = self.workers.get_mut(name) else { return };
        // A gang that has not started yet takes a replacement under its own attempt, on whatever machine.
        let replaces = spec.kind == Kind::Gang && !self.gangs.contains_key(&(id.job_id, attempt));
        assert!(replaces || !worker.gone.contains(&(id, attempt)), "attempt used again: {id}");
        assert!(!worker.spot || spec.allows_spot, "wrong_place: {id} on a spot machine");
        assert!(spec.required_zone.as_ref().is_none_or(|z| *z == worker.zone), "wrong_place: {id}");
        if worker.tasks.contains_key(&id) {
            return;
        }
        let used = worker.tasks.iter().filter(|(_, t)| t.exited.is_none()).count();
        assert!(used < 2, "started without room: {id} on {name}");
        let sick = self.now < worker.sick_until;
        let exited = if completed { Some(ExitReason::Done) } else { sick.then_some(ExitReason::Error) };
        // A gang's task waits for its image at first.
        let gang = spec.kind == Kind::Gang;
        let runs = if gang { self.now + self.rng.random_range(0..4u64) as u32 * SECOND } else { runs };
        worker.tasks.insert(id, Running { attempt, ends: runs, exited });
        worker.next_report = self.now;
        self.starts += 1;
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        let there = self
            .workers
            .values()
            .filter(|w| !w.dead && self.now < w.lease_until)
            .flat_map(|w| w.tasks.iter().map(move |(i, t)| (i, t, w.zone.as_str())))
            .filter(|(i, t, _)| i.job_id == id.job_id && t.exited.is_none())
            .map(|(_, _, z)| z);
        there.for_each(|zone| *zones.entry(zone).or_default() += 1);
        let most = zones.values().copied().max().unwrap_or(0);
        assert!(!spec.spread || most as u32 <= spec.tasks.div_ceil(2), "wrong_place: {id} breaks the spread");
        assert!(!spec.one_zone || zones.len() <= 1, "wrong_place: {id} breaks its one zone");
    }
}
