//! The model of gangs on the workers: common start, detection of a missing member, common end.

use super::world::World;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{ExitReason, JobId, Kind, TaskId};
use dockpier::time::Timestamp;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An attempt of a gang that has started.
pub(super) struct GangRun {
    pub(super) ends: Timestamp,
    /// Since when one of its tasks is gone or hangs.
    pub(super) missing: Option<Timestamp>,
}

/// How long a gang's tasks wait for one another, and how soon they notice that one is gone.
const GANG_WAIT: Duration = Duration::from_secs(30);
const GANG_PEER: Duration = Duration::from_secs(6);

impl World {
    /// The workers' side of gangs: a gang starts when its last task has its image, its tasks notice when one of
    /// them is gone, and they complete together.
    pub(super) fn run_gangs(&mut self) {
        let now = self.now;
        let mut alive: BTreeMap<(JobId, u64), Vec<(String, TaskId)>> = BTreeMap::new();
        let mut hanging = BTreeSet::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| !w.dead && now < w.lease_until) {
            for (id, task) in worker.tasks.iter().filter(|(_, t)| t.exited.is_none()) {
                if self.specs[&id.job_id].kind == Kind::Gang {
                    alive.entry((id.job_id, task.attempt)).or_default().push((name.clone(), *id));
                    if now < worker.up_at {
                        hanging.insert((id.job_id, task.attempt));
                    }
                }
            }
        }
        let mut exits: Vec<(String, TaskId, ExitReason)> = Vec::new();
        for (key, members) in alive {
            let complete = members.len() as u32 == self.specs[&key.0].tasks && !hanging.contains(&key);
            let all = |reason| members.iter().map(move |(name, id)| (name.clone(), *id, reason));
            if let Some(run) = self.gangs.get_mut(&key) {
                if complete && now >= run.ends {
                    self.completed.entry(key.0).or_default().extend(members.iter().map(|(_, id)| id.task));
                    self.gangs_done += 1;
                    exits.extend(all(ExitReason::Done));
                } else if complete {
                    run.missing = None;
                } else if now >= *run.missing.get_or_insert(now) + GANG_PEER {
                    exits.extend(all(ExitReason::Stopped));
                }
                continue;
            }
            let ready = |(name, id): &(String, TaskId)| self.workers[name].tasks[id].ends;
            if complete && members.iter().all(|m| now >= ready(m)) {
                let ends = now + self.rng.random_range(5..30u64) as u32 * SECOND;
                self.gangs.insert(key, GangRun { ends, missing: None });
            } else {
                let tired = members.iter().filter(|m| now >= ready(m) + GANG_WAIT);
                exits.extend(tired.map(|(name, id)| (name.clone(), *id, ExitReason::Stopped)));
            }
        }
        for (name, id, reason) in exits {
            let Some(worker) = self.workers.get_mut(&name).filter(|w| now >= w.up_at) else { continue };
            if let Some(task) = worker.tasks.get_mut(&id) {
                task.exited = Some(reason);
                worker.next_report = now;
            }
        }
    }
}
