//! Messages between workers and controllers: heartbeats, copies of them, direct commands, and their delays.

use super::leaseholders::LEASEHOLDERS;
use super::settings::{LEASE_S, STEP};
use super::worker::Running;
use super::world::{random_duration, World};
use dockpier::fencing_token::FencingToken;
use dockpier::lease::shard::ShardResponse;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{ExitReason, Heartbeat, Kind, ReportedTask, TaskId, TaskStatus};
use dockpier::scheduler::{Command, TaskCommand};
use dockpier::time::{from_seconds, Timestamp};
use rand::Rng;
use std::time::Duration;

/// A heartbeat whose worker waits for the answer.
pub(super) struct Awaited {
    pub(super) machine: String,
    pub(super) agent_epoch: u64,
    pub(super) sent: Timestamp,
}

/// How long a worker waits for the answer to a heartbeat.
pub(super) const ANSWER_PATIENCE: Duration = Duration::from_secs(4);

impl World {
    /// A worker carries commands out if their token is the highest that it has seen and its agent epoch is meant.
    pub(super) fn deliver_held_orders(&mut self) {
        let (due, held) =
            std::mem::take(&mut self.held_orders).into_iter().partition(|(at, ..)| *at <= self.now);
        self.held_orders = held;
        for (_, name, token, agent_epoch, task_commands) in
            Vec::<(Timestamp, String, FencingToken, u64, Vec<TaskCommand>)>::into_iter(due)
        {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let reached = !worker.dead && self.now >= worker.up_at && self.now < worker.lease_until;
            if reached && worker.agent_epoch == agent_epoch && token >= worker.token {
                worker.token = token;
                self.orders_of_former_leaders += u64::from(token < self.token);
                self.task_commands(&name, &task_commands);
                if self.deployment.slow_reports && token == self.token {
                    self.answer_orders(&name);
                }
            }
        }
    }

    /// The answer to direct commands is a heartbeat too, and reaches the leader before or after those under way.
    fn answer_orders(&mut self, name: &str) {
        let Some(heartbeat) = self.heartbeat(name) else { return };
        let at = self.now + self.rng.random_range(0..3u64) as u32 * STEP;
        self.later.push((at, Command::DirectResponse(heartbeat)));
    }

    /// What the worker reports next.
    pub(super) fn heartbeat(&mut self, name: &str) -> Option<Heartbeat> {
        let worker = self.workers.get_mut(name)?;
        worker.sequence += 1;
        let status = |id: &TaskId, task: &Running| {
            let gang = self.specs[&id.job_id].kind == Kind::Gang;
            let waits = gang && !self.gangs.contains_key(&(id.job_id, task.attempt));
            let status = if waits { TaskStatus::Fetching } else { TaskStatus::Running };
            task.exited.map_or(status, TaskStatus::Exited)
        };
        let tasks = worker.tasks.iter();
        let tasks = tasks
            .map(|(id, t)| ReportedTask { id: *id, attempt: t.attempt, status: status(id, t) })
            .collect();
        Some(Heartbeat {
            machine: name.to_string(),
            address: String::new(),
            machine_type: "m".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            agent_epoch: worker.agent_epoch,
            sequence: worker.sequence,
            token: worker.token,
            notice_s: None,
            tasks,
        })
    }

    pub(super) fn run_workers(&mut self, batch: &mut Vec<Command>) {
        let now = self.now;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let interval = from_seconds(self.deployment.report_s);
            let jitter = random_duration(&mut self.rng, interval / 4 * 3..interval / 4 * 5);
            let hold = self
                .rng
                .random_bool(0.03)
                .then(|| now + random_duration(&mut self.rng, Duration::ZERO..30 * SECOND));
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            if worker.dead || now < worker.up_at {
                continue;
            }
            if now >= worker.lease_until {
                worker.tasks.clear();
                worker.agent_epoch += 1;
                worker.lease_until = now + from_seconds(LEASE_S);
            }
            for (id, task) in worker.tasks.iter_mut().filter(|(_, t)| t.exited.is_none()) {
                if now >= task.ends && self.specs[&id.job_id].kind == Kind::Array {
                    task.exited = Some(ExitReason::Done);
                    self.completed.entry(id.job_id).or_default().insert(id.task);
                    worker.next_report = now;
                }
            }
            if now < worker.next_report || now < worker.mute_until || now < worker.waits_until {
                continue;
            }
            worker.next_report = now + jitter;
            let Some(heartbeat) = self.heartbeat(&name) else { continue };
            let copies = self.reported.entry(name.clone()).or_default();
            copies.push(heartbeat.clone());
            if copies.len() > 3 {
                copies.remove(0);
            }
            if self.rng.random_bool(0.05) {
                // A copy that arrives from a second to well over a lease later, perhaps at another leader,
                // perhaps after its machine was deleted.
                let late = random_duration(&mut self.rng, SECOND..4 * from_seconds(LEASE_S));
                self.held.push((now + late, None, heartbeat.clone()));
            }
            let slow = self.deployment.slow_reports && self.rng.random_bool(0.2);
            let arrives =
                now + if slow { self.rng.random_range(1..15u64) as u32 * STEP } else { Duration::ZERO };
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            if self.rng.random_bool(0.01) {
                let relayed_by = self.rng.random_range(0..=LEASEHOLDERS);
                worker.relayed_by = (relayed_by < LEASEHOLDERS).then_some(relayed_by);
            }
            let relayed_by = worker.relayed_by;
            if relayed_by.is_none() && now < worker.leader_cut_until {
                continue;
            }
            if self.redirect_across_partition(&name, &heartbeat) {
                continue;
            }
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            if now < worker.cut_until {
                // Held by the cut: it arrives late, and nobody waits for its answer.
                self.held.push((worker.cut_until, None, heartbeat));
            } else if let Some(at) = hold {
                self.held.push((at, None, heartbeat));
            } else {
                let response_id =
                    (self.token.0 << 40) | (self.version << 20) | (self.replies.len() as u64 + 1);
                self.version += 1;
                if let Some(node) = relayed_by {
                    let leaseholder = &mut self.leaseholders[node];
                    let cut = now < leaseholder.cut_until;
                    if let ShardResponse::Renewed(token, _) = leaseholder.shard.respond(now, &heartbeat, !cut)
                    {
                        self.answered_by_leaseholders += 1;
                        if worker.token <= token && now >= worker.deaf_until {
                            worker.token = token;
                            worker.lease_until = now + from_seconds(LEASE_S);
                        }
                        continue;
                    }
                    if cut || heartbeat.token > self.token {
                        // Sent elsewhere.
                        worker.relayed_by = None;
                        continue;
                    }
                    self.passed_on.insert(response_id, (node, heartbeat.clone()));
                }
                let awaited = Awaited { machine: name.clone(), agent_epoch: worker.agent_epoch, sent: now };
                self.replies.insert(response_id, awaited);
                if slow {
                    worker.waits_until = now + ANSWER_PATIENCE;
                }
                self.slow.push((arrives, Command::Heartbeat { response_id, heartbeat, relayed_by }));
            }
        }
        let (due, slow) = std::mem::take(&mut self.slow).into_iter().partition(|(at, _)| *at <= now);
        self.slow = slow;
        batch.extend(Vec::into_iter(due).map(|(_, command): (Timestamp, Command)| command));
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(|(at, ..)| *at <= now);
        self.held = held;
        for (_, at, heartbeat) in Vec::<(Timestamp, Option<usize>, Heartbeat)>::into_iter(due) {
            // The node that a copy comes to tells a leader by its token alone.
            if heartbeat.token > self.token {
                continue;
            }
            let mut response_id = 0;
            if let Some(node) = at {
                let leaseholder = &mut self.leaseholders[node];
                let cut = now < leaseholder.cut_until;
                if leaseholder.shard.respond(now, &heartbeat, !cut) != ShardResponse::NotResponsible || cut {
                    continue;
                }
                self.version += 1;
                response_id = self.version << 40;
                self.passed_on.insert(response_id, (node, heartbeat.clone()));
            }
            batch.push(Command::Heartbeat { response_id, heartbeat, relayed_by: at });
        }
    }
}
