//! What workers report, and what they are told.

use super::model::*;
use super::termination_proof::TerminationProof;
use super::{HeartbeatOutcome, Scheduler, StoredMachine};
use crate::lease::renewal::LastRenewal;
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info, warn};

impl Scheduler {
    /// The machine of this name, made known if it is new.
    pub fn machine(&mut self, stored: &StoredMachine) -> &mut Machine {
        let type_known = self.types.get(&stored.machine_type);
        let has = type_known.map(|t| t.capacity).unwrap_or_default();
        let boot = type_known.map_or(60.0, |t| t.boot_s) * limits::BOOT_TIMEOUT_FACTOR;
        let now = self.now;
        self.machines.entry(stored.name.clone()).or_insert_with(|| Machine {
            name: stored.name.clone(),
            machine_type: stored.machine_type.clone(),
            zone: stored.zone.clone(),
            spot: stored.spot,
            address: stored.address.clone(),
            capacity: has,
            state: MachineState::Pending,
            reconciled: false,
            recorded: false,
            inherited: false,
            last_renewal: LastRenewal::default(),
            tasks: BTreeMap::new(),
            heartbeats: HeartbeatTracker::default(),
            route: Route::default(),
            commands: CommandTracker::default(),
            reported: ReportedTasks::default(),
            image_cache: ImageCache::default(),
            health: MachineHealth::default(),
            lifecycle: Lifecycle {
                idle_since: now,
                known_since: now,
                boot_deadline: now + limits::micros(boot),
                ..Lifecycle::default()
            },
        })
    }

    /// Takes in a task list. `periodic`: it came as a heartbeat, which proves that the answer to the
    /// one before was carried out or dropped; an answer to direct commands proves no such thing.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat, periodic: bool) -> HeartbeatOutcome {
        // A heartbeat that a cut held back may arrive after its machine was returned; its tasks are long
        // elsewhere, and taking it in would make them seem to be in two places.
        if !self.loaded {
            return HeartbeatOutcome::Unchanged;
        }
        if self.fleet.deleted.contains_key(&heartbeat.machine) {
            self.ignored_heartbeats.stale += 1;
            return HeartbeatOutcome::Stale;
        }
        let (now, token) = (self.now, self.config.token);
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            let unchanged = periodic
                && heartbeat.agent_epoch == machine.heartbeats.agent_epoch
                && heartbeat.sequence > machine.heartbeats.sequence
                && heartbeat.token == token
                && heartbeat.notice_s.is_none()
                && machine.is_settled()
                && heartbeat.tasks == machine.heartbeats.reported_tasks;
            if unchanged {
                machine.heartbeats.sequence = heartbeat.sequence;
                machine.heartbeats.last_sequence = heartbeat.sequence;
                machine.heartbeats.last_at = now;
                machine.commands.unacknowledged_heartbeats = 0;
                return HeartbeatOutcome::Unchanged;
            }
        }
        let stored = StoredMachine {
            name: heartbeat.machine.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            address: heartbeat.address.clone(),
            images: BTreeSet::new(),
        };
        let expected = self.machines.contains_key(&heartbeat.machine);
        let machine = self.machine(&stored);
        // Held messages arrive late and out of order: only the newest list counts.
        if (heartbeat.agent_epoch, heartbeat.sequence)
            <= (machine.heartbeats.agent_epoch, machine.heartbeats.sequence)
        {
            return self.ignore_late_heartbeat(&heartbeat, periodic);
        }
        if periodic {
            machine.assess_reachability(&heartbeat, token);
        }
        if heartbeat.agent_epoch > machine.heartbeats.agent_epoch {
            if machine.heartbeats.agent_epoch > 0 {
                info!(
                    machine = heartbeat.machine,
                    agent_epoch = heartbeat.agent_epoch,
                    "new agent epoch: its tasks ended with their lease"
                );
            }
            // Whatever an earlier agent epoch held died with its lease.
            self.release_machine(
                &heartbeat.machine,
                TerminationProof::NewAgentEpoch { agent_epoch: heartbeat.agent_epoch },
            );
        }
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatOutcome::Stale };
        if heartbeat.agent_epoch != machine.heartbeats.agent_epoch {
            machine.heartbeats.last_sequence = 0;
        }
        if periodic {
            machine.heartbeats.last_sequence = heartbeat.sequence;
        }
        machine.heartbeats.agent_epoch = heartbeat.agent_epoch;
        machine.heartbeats.sequence = heartbeat.sequence;
        machine.address = heartbeat.address;
        machine.lifecycle.recall_at = heartbeat.notice_s.map(|s| now + limits::micros(s));
        machine.reconciled |= heartbeat.token == token;
        if !machine.reconciled {
            // Its first heartbeat to this leader, or a copy of one made for an earlier leader, which may be of
            // any age: its list proves nothing, and taken in, it would make tasks seem to be in two places;
            // nor does it prove that the machine is there. The next heartbeat states our token. A machine that
            // nobody expects may be long gone, so that it is not recorded yet.
            if expected && !machine.recorded {
                self.record(&heartbeat.machine);
            }
            return HeartbeatOutcome::Changed;
        }
        if periodic {
            machine.heartbeats.last_at = now;
            if machine.state != MachineState::Ready {
                info!(machine = heartbeat.machine, zone = machine.zone, spot = machine.spot, "machine up");
                machine.lifecycle.idle_since = now;
                machine.state = MachineState::Ready;
            }
        }
        let listed = self.take_listed(&heartbeat.machine, &heartbeat.tasks);
        self.drop_unlisted(
            &heartbeat.machine,
            &listed,
            (heartbeat.agent_epoch, heartbeat.sequence),
            periodic,
        );
        if heartbeat.notice_s.is_some() {
            self.drain_for_notice(&heartbeat.machine);
        }
        let machine = &self.machines[&heartbeat.machine];
        if !machine.recorded || machine.image_cache.changed {
            self.record(&heartbeat.machine);
        }
        if let Some(machine) = self.machines.get_mut(&heartbeat.machine) {
            machine.heartbeats.reported_tasks = heartbeat.tasks;
        }
        HeartbeatOutcome::Changed
    }

    /// Updates what the heartbeat lists and returns its living (task, attempt) pairs.
    pub(super) fn take_listed(&mut self, name: &str, tasks: &[ReportedTask]) -> BTreeSet<(TaskId, u64)> {
        let mut living = BTreeSet::new();
        let mut exited = BTreeSet::new();
        let mut foreign = BTreeSet::new();
        let mut unknown = BTreeMap::new();
        for task in tasks {
            if let TaskStatus::Exited(reason) = task.status {
                exited.insert((task.id, task.attempt));
                self.take_exit(name, task.id, task.attempt, reason);
                continue;
            }
            living.insert((task.id, task.attempt));
            let known = self
                .jobs
                .get(&task.id.job_id)
                .map(|j| (j.spec.resource_request, j.terminated, j.spec.image.clone()));
            let Some((needs, over, image)) = known else {
                self.take_unknown(name, (task.id, task.attempt), &mut foreign, &mut unknown);
                continue;
            };
            let now = self.now;
            let Some(machine) = self.machines.get_mut(name) else { break };
            if task.status == TaskStatus::Running {
                if machine.tasks.get(&task.id).is_some_and(|t| t.status != TaskStatus::Running) {
                    debug!(task = %task.id, machine = name, "runs");
                }
                if machine.image_cache.images.insert(image.clone()) {
                    machine.image_cache.changed = true;
                    self.machines_by_image.entry(image.clone()).or_default().insert(name.to_string());
                }
            }
            match machine.tasks.get_mut(&task.id) {
                Some(placed) if placed.attempt == task.attempt || !placed.confirmed => {
                    placed.attempt = task.attempt;
                    placed.confirmed = true;
                    if placed.status != TaskStatus::Running && task.status == TaskStatus::Running {
                        placed.running_since = Some(now);
                    }
                    placed.status = task.status;
                }
                // Two attempts of one task on one machine are ruled out by the worker.
                Some(_) => {}
                None => {
                    let placed = Placement {
                        attempt: task.attempt,
                        resource_request: needs,
                        start_sent_in: None,
                        confirmed: true,
                        status: task.status,
                        running_since: None,
                        image,
                        placed_at: now,
                        stopping: None,
                    };
                    machine.tasks.insert(task.id, placed);
                    self.adopt(name, task.id, over);
                }
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.reported.exited.retain(|key, _| exited.contains(key));
            machine.reported.orphaned = foreign;
            machine.reported.unverified = unknown;
        }
        living
    }

    /// A task of a job that is not known here: to be stopped, or kept until the store has been asked about it.
    fn take_unknown(
        &self,
        name: &str,
        key: (TaskId, u64),
        foreign: &mut BTreeSet<(TaskId, u64)>,
        unknown: &mut BTreeMap<(TaskId, u64), u64>,
    ) {
        let machine = self.machines.get(name);
        let known_to_be_over = machine.is_some_and(|machine| machine.reported.orphaned.contains(&key));
        if known_to_be_over || !self.keeps_unknown_tasks() {
            foreign.insert(key);
            return;
        }
        let seen = machine.and_then(|machine| machine.reported.unverified.get(&key)).copied();
        unknown.insert(key, seen.unwrap_or(self.now));
    }

    /// A task that an earlier leader started here.
    fn adopt(&mut self, name: &str, id: TaskId, over: bool) {
        let Some(job) = self.jobs.get_mut(&id.job_id) else { return };
        let elsewhere = job.placements.get(&id.task).is_some_and(|n| !n.is_empty());
        let finished = job.progress.succeeded.contains(&id.task) || id.task >= job.spec.tasks;
        job.progress.pending.remove(&id.task);
        let names = job.placements.entry(id.task).or_default();
        if !names.iter().any(|n| n == name) {
            names.push(name.into());
        }
        let held = job.placements.len() as u32;
        job.elasticity.width = job.elasticity.width.max(held);
        if elsewhere {
            warn!(task = %id, machine = name, "a task is on two machines; stopping this one");
        }
        if over || elsewhere || finished {
            self.stop(name, id, 0.0);
        }
    }

    /// Places that the heartbeat disproves.
    fn drop_unlisted(
        &mut self,
        name: &str,
        listed: &BTreeSet<(TaskId, u64)>,
        newest: (u64, u64),
        periodic: bool,
    ) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let gone: Vec<TaskId> = machine
            .tasks
            .iter()
            .filter(|(id, t)| !listed.contains(&(**id, t.attempt)))
            // A start whose answer is still under way is only disproved by the next heartbeat.
            .filter(|(_, t)| t.confirmed || periodic && t.start_sent_in.is_some_and(|sent| newest > sent))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            debug!(task = %id, machine = name, "not on the machine any more");
            if let Some(machine) = self.machines.get_mut(name) {
                machine.tasks.remove(&id);
            }
            self.remove_placement(name, id, TerminationProof::NotListed { heartbeat: newest });
        }
    }

    /// The cloud will take the machine: tasks that can save are stopped in time to do so, the others
    /// may still finish.
    fn drain_for_notice(&mut self, name: &str) {
        let Some(machine) = self.machines.get(name) else { return };
        let Some(recall_at) = machine.lifecycle.recall_at else { return };
        let left_s = recall_at.saturating_sub(self.now) as f64 / limits::SECOND as f64;
        let stops: Vec<_> = machine
            .tasks
            .keys()
            .filter_map(|id| self.jobs.get(&id.job_id).map(|j| (*id, j)))
            .filter(|(_, job)| {
                let saves = job.spec.checkpoint_s > 0.0;
                let gang = job.spec.kind == Kind::Gang;
                let together = if gang { self.config.workers.gang_peer_s } else { 0.0 };
                let slack = job.spec.save_s + together + limits::RECALL_MARGIN_S;
                job.spec.kind == Kind::Service || saves && left_s <= slack
            })
            .map(|(id, job)| (id, job.spec.kind, job.spec.save_s))
            .collect();
        for (id, kind, grace) in stops {
            match kind {
                Kind::Gang => self.stop_gang(id.job_id),
                _ => self.stop(name, id, grace),
            }
        }
    }
}
