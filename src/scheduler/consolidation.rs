//! Ordinary machines beyond what fixed work needs are closed to work that may use spot machines, and
//! emptied of the few replicas they still hold, so that they can be returned. PROTOCOL, Preemption,
//! allows a replica to be stopped in order to be moved.

use super::model::*;
use super::scoring::{self, ZoneCount};
use super::Scheduler;
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

impl Scheduler {
    /// Work that must have an ordinary machine.
    fn is_fixed(&self, id: &TaskId) -> bool {
        self.jobs.get(&id.job_id).is_none_or(|j| !j.spec.spot)
    }

    /// Marks, zone by zone, the machines that fixed work and the reserve could do without, emptiest
    /// first, as far as the other machines have room for what runs on them and for what waits.
    pub fn mark_surplus(&mut self) {
        self.machines.values_mut().for_each(|m| m.lifecycle.consolidation_target = false);
        // Without critical services nothing is held back for them, and ordinary machines are needed only for work
        // that may not use spot machines: a deployment of arrays alone kept its ordinary machines for ever.
        let fixed = self.critical_place().or_else(|| self.largest_request(|j| !j.spec.spot));
        let elastic = self.largest_request(|j| j.spec.spot);
        let Some(elastic) = elastic.or(fixed) else { return };
        let shape = fixed.unwrap_or(elastic);
        let mut candidates: Vec<(usize, String)> = Vec::new();
        for zone in &self.config.zones {
            candidates.extend(self.beyond_need(zone, &shape));
        }
        candidates.sort();
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        let slots = |m: &Machine| elastic.count_in(&m.available());
        let reserve = self.headroom_per_zone() * count(self.config.zones.len());
        let waiting: usize = self
            .jobs
            .values()
            .filter(|j| j.spec.spot && !j.terminated)
            .map(|j| j.progress.pending.len())
            .sum();
        let mut free: i64 = self.machines.values().filter(|m| self.is_schedulable(m)).map(slots).sum();
        free -= reserve + count(waiting);
        let mut surplus = BTreeSet::new();
        for (_, name) in candidates {
            let Some(machine) = self.machines.get(&name) else { continue };
            let held = count(machine.tasks.keys().filter(|id| !self.is_fixed(id)).count());
            let cost = slots(machine) + held;
            if free >= cost {
                free -= cost;
                surplus.insert(name);
            }
        }
        for name in surplus {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.lifecycle.consolidation_target = true;
            }
        }
    }

    /// Ordinary machines of a zone that fixed work and the reserve do not need, with how many tasks
    /// each holds.
    fn beyond_need(&self, zone: &str, shape: &Resources) -> Vec<(usize, String)> {
        let mut here: Vec<(usize, usize, &Machine)> = self
            .machines
            .values()
            .filter(|m| !m.spot && m.zone == *zone && self.is_schedulable(m))
            .map(|m| (m.tasks.keys().filter(|id| self.is_fixed(id)).count(), m.tasks.len(), m))
            .collect();
        here.sort_by(|a, b| (b.0, b.1, &a.2.name).cmp(&(a.0, a.1, &b.2.name)));
        let fixed: usize = here.iter().map(|(n, _, _)| n).sum();
        let waiting: usize = self
            .jobs
            .values()
            .filter(|j| !j.spec.spot && !j.terminated)
            .map(|j| j.progress.pending.len())
            .sum();
        let mut need = (fixed + waiting) as i64 + self.headroom_per_zone();
        let mut beyond = Vec::new();
        for (_, tasks, machine) in here {
            if need <= 0 {
                beyond.push((tasks, machine.name.clone()));
            }
            need -= shape.count_in(&machine.capacity);
        }
        beyond
    }

    /// Stops replicas on surplus machines, if places with their images are free elsewhere. Few at a time,
    /// and only while all is calm: a move costs its users a few seconds.
    pub fn move_replicas(&mut self) {
        let calm = self.reconciled
            && self.now >= self.started_at + limits::REPLICA_MOVE_INITIAL_DELAY
            && self.now >= self.fleet.moved + limits::REPLICA_MOVE_INTERVAL
            && self.jobs.values().all(|j| j.terminated || j.spec.spot || j.progress.pending.is_empty());
        if !calm {
            return;
        }
        let fixed = |m: &Machine| m.tasks.keys().filter(|id| self.is_fixed(id)).count();
        let replicas: usize = self.machines.values().map(fixed).sum();
        let most = (replicas / limits::REPLICAS_PER_MOVE).max(1);
        let mut sources: Vec<&Machine> =
            self.machines.values().filter(|m| m.lifecycle.consolidation_target && fixed(m) > 0).collect();
        sources.sort_by_key(|m| (m.tasks.len(), m.name.clone()));
        let mut warm = self.warm_room();
        let mut moves: Vec<(String, TaskId)> = Vec::new();
        for machine in sources {
            for (id, task) in &machine.tasks {
                if moves.len() >= most {
                    break;
                }
                let still = task.stopping.is_none() && task.status == TaskStatus::Running;
                let Some(job) = self.jobs.get(&id.job_id).filter(|_| still && self.is_fixed(id)) else {
                    continue;
                };
                // One replica of a job at a time: the others carry on.
                if moves.iter().all(|(_, other)| other.job_id != id.job_id)
                    && self.take_warm_place(job, machine, &mut warm)
                {
                    moves.push((machine.name.clone(), *id));
                }
            }
        }
        for (machine, id) in moves {
            info!(task = %id, machine, "moving a replica off a surplus machine");
            self.decided(format!("move {id} off {machine}"));
            self.fleet.moved = self.now;
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&id.job_id) {
                job.elasticity.last_resized_at = now;
            }
            self.stop(&machine, id, 0.0);
        }
    }

    /// Machines that stay and have room.
    fn warm_room(&self) -> BTreeMap<String, Resources> {
        let staying = self
            .machines
            .values()
            .filter(|m| !m.lifecycle.consolidation_target && !m.spot && self.is_schedulable(m));
        let room = staying.map(|m| (m.name.clone(), m.available()));
        room.filter(|(_, free)| free.cpus > 0).collect()
    }

    /// Whether a task of the job could go from this machine to another at once, without a fetch; the
    /// place is then taken.
    fn take_warm_place(&self, job: &Job, from: &Machine, warm: &mut BTreeMap<String, Resources>) -> bool {
        if job.spec.kind != Kind::Service
            || job.elasticity.last_resized_at + limits::JOB_REPLICA_MOVE_INTERVAL > self.now
        {
            return false;
        }
        let mut zones = ZoneCount::of(job, &self.machines);
        zones.remove(&from.zone);
        let place = warm.iter_mut().find(|(name, free)| {
            job.spec.resource_request.fits(free)
                && self.machines.get(*name).is_some_and(|m| {
                    scoring::is_eligible(job, m)
                        && zones.allows(job, &m.zone)
                        && m.image_cache.images.contains(&job.spec.image)
                })
        });
        let Some((_, free)) = place else { return false };
        *free = free.minus(&job.spec.resource_request);
        true
    }
}
