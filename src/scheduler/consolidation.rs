//! Consolidation: ordinary machines beyond what fixed work needs are closed to work that may use spot machines, and
//! emptied of the few replicas they still hold, so that they can be deleted (exception 3 of `docs/design.md`). Owns
//! which machines are consolidation targets and which replicas move. PROTOCOL, Preemption, allows a replica to be
//! stopped in order to be moved.

use super::model::{Job, Kind, Machine, Placement, Resources, TaskId, TaskStatus};
use super::scoring::{self, TasksByZone};
use super::Scheduler;
use crate::limits;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use tracing::info;

/// An ordinary machine of a zone, by how willingly it is kept: those with most fixed work come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct OrdinaryMachine<'a> {
    fixed_tasks: Reverse<usize>,
    tasks: Reverse<usize>,
    name: &'a str,
    /// Places for fixed tasks that it has when it is empty.
    places: i64,
}

/// A machine that the fixed work of its zone does not need. Those with fewest tasks come first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnneededMachine<'a> {
    tasks: usize,
    name: &'a str,
}

/// A replica that is to leave its machine.
struct ReplicaMove {
    from: String,
    task: TaskId,
}

fn signed(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

impl Scheduler {
    /// Whether the task must have an ordinary machine.
    fn is_fixed(&self, id: &TaskId) -> bool {
        self.jobs.get(&id.job_id).is_none_or(|job| !job.spec.allows_spot)
    }

    fn fixed_tasks(&self, machine: &Machine) -> usize {
        machine.tasks.keys().filter(|id| self.is_fixed(id)).count()
    }

    /// Number of pending tasks of the jobs that `includes` accepts.
    fn pending_tasks(&self, includes: impl Fn(&Job) -> bool) -> usize {
        let jobs = self.jobs.values().filter(|job| includes(job) && !job.terminated);
        jobs.map(|job| job.progress.pending.len()).sum()
    }

    /// Marks the ordinary machines that fixed work and the headroom could do without.
    pub(super) fn mark_consolidation_targets(&mut self) {
        self.machines.values_mut().for_each(|machine| machine.lifecycle.to_be_emptied = false);
        for name in self.consolidation_targets() {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.lifecycle.to_be_emptied = true;
            }
        }
    }

    /// Machines that fixed work does not need, emptiest first, as far as the other machines have room for what runs
    /// on them and for what waits.
    fn consolidation_targets(&self) -> Vec<String> {
        // Without critical services nothing is held back for them, and ordinary machines are needed only for work
        // that may not use spot machines: a deployment of arrays alone kept its ordinary machines for ever.
        let fixed = self.critical_place().or_else(|| self.largest_request(|job| !job.spec.allows_spot));
        let Some(elastic) = self.largest_request(|job| job.spec.allows_spot).or(fixed) else {
            return Vec::new();
        };
        let place = fixed.unwrap_or(elastic);
        let slots = |machine: &Machine| elastic.count_in(&machine.available());
        let zones = &self.config.zones;
        let mut unneeded: Vec<UnneededMachine> =
            zones.iter().flat_map(|zone| self.beyond_non_spot_work(zone, &place)).collect();
        unneeded.sort();
        let schedulable = self.machines.values().filter(|machine| self.is_schedulable(machine));
        let mut free: i64 = schedulable.map(slots).sum();
        free -= self.headroom_per_zone() * signed(zones.len())
            + signed(self.pending_tasks(|job| job.spec.allows_spot));
        let mut targets = Vec::new();
        for UnneededMachine { name, .. } in unneeded {
            let Some(machine) = self.machines.get(name) else { continue };
            let elastic_tasks = machine.tasks.len() - self.fixed_tasks(machine);
            let lost = slots(machine) + signed(elastic_tasks);
            if free >= lost {
                free -= lost;
                targets.push(name.to_string());
            }
        }
        targets
    }

    /// Ordinary machines of a zone that fixed work and the headroom do not need.
    fn beyond_non_spot_work(&self, zone: &str, place: &Resources) -> Vec<UnneededMachine<'_>> {
        let mut ordinary: Vec<OrdinaryMachine> = self
            .machines
            .values()
            .filter(|machine| !machine.spot && machine.zone == *zone && self.is_schedulable(machine))
            .map(|machine| OrdinaryMachine {
                fixed_tasks: Reverse(self.fixed_tasks(machine)),
                tasks: Reverse(machine.tasks.len()),
                name: &machine.name,
                places: place.count_in(&machine.capacity),
            })
            .collect();
        ordinary.sort();
        let fixed: usize = ordinary.iter().map(|machine| machine.fixed_tasks.0).sum();
        let mut needed =
            (fixed + self.pending_tasks(|job| !job.spec.allows_spot)) as i64 + self.headroom_per_zone();
        let mut unneeded = Vec::new();
        for OrdinaryMachine { tasks, name, places, .. } in ordinary {
            if needed <= 0 {
                unneeded.push(UnneededMachine { tasks: tasks.0, name });
            }
            needed -= places;
        }
        unneeded
    }

    /// Stops replicas on consolidation targets, if places with their images are free elsewhere. Few at a time,
    /// and only while nothing else is under way: a move costs its users a few seconds.
    pub(super) fn move_replicas(&mut self) {
        if !self.may_move_replicas() {
            return;
        }
        for ReplicaMove { from, task } in self.choose_replica_moves() {
            info!(task = %task, machine = from, "moving a replica off a surplus machine");
            self.record_decision(format!("move {task} off {from}"));
            self.autoscaler.last_move_at = self.now;
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&task.job_id) {
                job.width_state.last_resized_at = now;
            }
            self.request_stop(&from, task, 0.0);
        }
    }

    fn may_move_replicas(&self) -> bool {
        let has_all_non_spot_work =
            |job: &Job| job.terminated || job.spec.allows_spot || job.progress.pending.is_empty();
        self.all_accounted_for
            && self.now >= self.loaded_at + limits::REPLICA_MOVE_INITIAL_DELAY
            && self.now >= self.autoscaler.last_move_at + limits::REPLICA_MOVE_INTERVAL
            && self.jobs.values().all(has_all_non_spot_work)
    }

    fn choose_replica_moves(&self) -> Vec<ReplicaMove> {
        let replicas: usize = self.machines.values().map(|machine| self.fixed_tasks(machine)).sum();
        let max_moves = (replicas / limits::REPLICA_MOVE_DIVISOR).max(1);
        let holds_replicas =
            |machine: &&Machine| machine.lifecycle.to_be_emptied && self.fixed_tasks(machine) > 0;
        let mut sources: Vec<&Machine> = self.machines.values().filter(holds_replicas).collect();
        sources.sort_by(|a, b| (a.tasks.len(), &a.name).cmp(&(b.tasks.len(), &b.name)));
        let mut room = self.room_on_staying_machines();
        let mut moves: Vec<ReplicaMove> = Vec::new();
        for machine in sources {
            for (id, placement) in &machine.tasks {
                if moves.len() >= max_moves {
                    break;
                }
                let Some(job) = self.job_of_movable(id, placement) else { continue };
                // One replica of a job at a time: the others carry on.
                let is_first_of_job = moves.iter().all(|other| other.task.job_id != id.job_id);
                if is_first_of_job && self.take_warm_place(job, machine, &mut room) {
                    moves.push(ReplicaMove { from: machine.name.clone(), task: *id });
                }
            }
        }
        moves
    }

    /// The job of a fixed task that runs and was not asked to stop.
    fn job_of_movable(&self, id: &TaskId, placement: &Placement) -> Option<&Job> {
        let runs = placement.stopping.is_none() && placement.status == TaskStatus::Running;
        self.jobs.get(&id.job_id).filter(|_| runs && self.is_fixed(id))
    }

    fn room_on_staying_machines(&self) -> BTreeMap<String, Resources> {
        let staying = self.machines.values().filter(|machine| {
            !machine.lifecycle.to_be_emptied && !machine.spot && self.is_schedulable(machine)
        });
        let room = staying.map(|machine| (machine.name.clone(), machine.available()));
        room.filter(|(_, available)| available.milli_cpus > 0).collect()
    }

    /// Whether a task of the job could go from this machine to another at once, without an image fetch; the
    /// place is then taken.
    fn take_warm_place(&self, job: &Job, from: &Machine, room: &mut BTreeMap<String, Resources>) -> bool {
        let next_move_at = job.width_state.last_resized_at + limits::JOB_REPLICA_MOVE_INTERVAL;
        if job.spec.kind != Kind::Service || next_move_at > self.now {
            return false;
        }
        let mut zones = TasksByZone::of(job, &self.machines);
        zones.remove(&from.zone);
        let may_take = |machine: &Machine| {
            scoring::is_eligible(job, machine)
                && !job.avoids(&machine.name, self.now)
                && zones.allows(job, &machine.zone)
                && machine.image_cache.images.contains(&job.spec.image)
        };
        let place = room.iter_mut().find(|(name, available)| {
            job.spec.resource_request.fits_into(available) && self.machines.get(*name).is_some_and(may_take)
        });
        let Some((_, available)) = place else { return false };
        *available = available.minus(&job.spec.resource_request);
        true
    }
}
