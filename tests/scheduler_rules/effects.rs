//! Effects of the scheduler, carried out on the workers, the state service and the cloud. Outcomes arrive later.

use super::messages::{Awaited, ANSWER_PATIENCE};
use super::settings::{LEASE_S, STEP};
use super::worker::Worker;
use super::world::{random_duration, World};
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::cold_start::JobReading;
use dockpier::scheduler::{Command, Effect, RequestOutcome, StoredJob, TaskCommand};
use dockpier::time::{from_seconds, Timestamp};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl World {
    pub(super) fn carry_out(&mut self, effect: Effect) {
        let soon = self.now + self.rng.random_range(1..3u64) as u32 * STEP;
        match effect {
            Effect::HeartbeatResponse {
                response_id,
                renewal,
                task_commands,
                leaseholder_may_respond: keep,
            } => {
                if let Some((node, heartbeat)) = self.passed_on.remove(&response_id) {
                    let leaseholder = &mut self.leaseholders[node];
                    if self.now < leaseholder.cut_until {
                        return;
                    }
                    if renewal.is_some() {
                        leaseholder.shard.record_relayed_response(self.now, heartbeat, self.token, keep);
                    }
                }
                // Nobody waits for the answer to a copy.
                let Some(Awaited { machine: name, agent_epoch, sent }) = self.replies.remove(&response_id)
                else {
                    return;
                };
                // Some answers are lost on their way.
                if self.rng.random_bool(0.05) {
                    return;
                }
                let (now, token) = (self.now, self.token);
                let Some(worker) = self.workers.get_mut(&name) else { return };
                if renewal.is_none() {
                    // Sent elsewhere, a second later.
                    worker.waits_until = now + SECOND;
                    return;
                }
                let late = worker.agent_epoch != agent_epoch || now >= sent + ANSWER_PATIENCE;
                if worker.token > token || worker.dead || now < worker.deaf_until || late {
                    return;
                }
                worker.waits_until = Timestamp::ZERO;
                worker.token = token;
                worker.lease_until = worker.lease_until.max(sent + from_seconds(LEASE_S));
                self.task_commands(&name, &task_commands);
            }
            Effect::DirectCommands { machine, agent_epoch, task_commands, .. } => {
                // A start could be carried out minutes late, and once more after the task was forgotten.
                let is_start = |command: &TaskCommand| matches!(command, TaskCommand::Start { .. });
                assert!(!task_commands.iter().any(is_start), "a start was sent directly to {machine}");
                let Some(worker) = self.workers.get(&machine) else { return };
                if worker.dead || self.now < worker.deaf_until {
                    return;
                }
                // Some are held up on their way; a cut and a hang hold them until they end.
                let held = self.rng.random_bool(0.3);
                let delay =
                    if held { self.rng.random_range(2..16u64) as u32 * SECOND } else { Duration::ZERO };
                let reached_at = worker.cut_until.max(worker.up_at).max(self.out_of_reach_until(worker));
                let at = reached_at.max(self.now + delay);
                if self.deployment.late_copies {
                    let late = random_duration(&mut self.rng, SECOND..30 * SECOND);
                    let copy = (at + late, machine.clone(), self.token, agent_epoch, task_commands.clone());
                    self.held_orders.push(copy);
                }
                self.held_orders.push((at, machine, self.token, agent_epoch, task_commands));
                self.deliver_held_orders();
            }
            Effect::WriteFinishedTasks { job_id, version, tasks, .. } => {
                let outcome = match self.live.get_mut(&job_id) {
                    Some((at, done)) if *at == version => {
                        done.extend(tasks.iter().copied());
                        RequestOutcome::Done
                    }
                    _ => RequestOutcome::Refused,
                };
                self.later.push((soon, Command::FinishedTasksWritten { job_id, tasks, outcome }));
            }
            Effect::WriteJobEnd { job_id, .. } => {
                let mut outcome = RequestOutcome::Refused;
                if self.live.remove(&job_id).is_some() {
                    let done = self.completed.get(&job_id).map_or(0, BTreeSet::len);
                    assert_eq!(done as u32, self.specs[&job_id].tasks, "not_done: {job_id} is called done");
                    self.over.insert(job_id);
                    self.finished += 1;
                    outcome = RequestOutcome::Done;
                }
                self.later.push((soon, Command::JobEndWritten { job_id, outcome }));
            }
            Effect::WriteMachineRecord { key, machines } => {
                let steps = self.rng.random_range(self.deployment.write_steps.clone());
                self.writes.push((self.now + steps as u32 * STEP, key, machines));
            }
            Effect::ReadJob { job_id } => {
                let stored = self.live.get(&job_id).map(|(version, done)| StoredJob {
                    spec: self.specs[&job_id].clone(),
                    version: *version,
                    age: Duration::ZERO,
                    succeeded: done.clone(),
                });
                let reading = stored.map_or(JobReading::Absent, |job| JobReading::Live(Box::new(job)));
                self.later.push((soon, Command::JobRead { job_id, sent_at: self.now, reading }));
            }
            effect @ (Effect::WriteDrain { .. } | Effect::WriteColdStart(_)) => {
                let answer = self.drains.carry_out(effect);
                self.later.extend(answer.map(|command| (soon, command)));
            }
            Effect::Rent { request, name: Some(name), .. } if self.rentals.contains_key(&name) => {
                let machines = self.rentals.get(&name).cloned();
                self.later.push((soon, Command::Rented { request, machines, outcome: RequestOutcome::Done }));
            }
            Effect::Rent { request, name: rental, zone, spot, count, .. } => {
                let left = self
                    .deployment
                    .machines
                    .saturating_sub(self.workers.values().filter(|w| !w.dead).count());
                let count = count.min(left as u32);
                let mut names = Vec::new();
                for _ in 0..count {
                    self.machines_made += 1;
                    let name = format!("m-{:06}", self.machines_made);
                    let boot_s = self.rng.random_range(self.deployment.boot_s.clone());
                    let up_at = self.now + Duration::from_secs(boot_s);
                    let worker = Worker {
                        spot,
                        zone: zone.clone(),
                        up_at,
                        dead: false,
                        cut_until: Timestamp::ZERO,
                        deaf_until: Timestamp::ZERO,
                        mute_until: Timestamp::ZERO,
                        sick_until: Timestamp::ZERO,
                        leader_cut_until: Timestamp::ZERO,
                        relayed_by: [None, Some(0), Some(1)][self.machines_made as usize % 3],
                        agent_epoch: 1,
                        sequence: 0,
                        token: FencingToken(0),
                        lease_until: up_at + from_seconds(LEASE_S),
                        next_report: up_at,
                        waits_until: Timestamp::ZERO,
                        tasks: BTreeMap::new(),
                        gone: BTreeSet::new(),
                    };
                    self.workers.insert(name.clone(), worker);
                    names.push(name);
                }
                let outcome = if names.is_empty() { RequestOutcome::Refused } else { RequestOutcome::Done };
                if let Some(rental) = rental.filter(|_| outcome == RequestOutcome::Done) {
                    self.rentals.insert(rental, names.clone());
                }
                self.later.push((soon, Command::Rented { request, machines: Some(names), outcome }));
            }
            Effect::Delete(machines) if self.now < self.cloud_down_until => {
                self.later.push((soon, Command::Deleted { machines, outcome: RequestOutcome::Unknown }));
            }
            Effect::Delete(machines) => {
                machines.iter().for_each(|name| {
                    self.workers.remove(name);
                });
                self.later.push((soon, Command::Deleted { machines, outcome: RequestOutcome::Done }));
            }
            Effect::RequestRelay { node, machine } => {
                if self.now >= self.leaseholders[node].cut_until {
                    self.leaseholders[node].shard.require_relay(&[machine]);
                }
            }
            Effect::Deposed(_) => panic!("nobody else leads"),
        }
    }
}
