//! Users, leaseholders and workers around the three controllers: jobs are submitted and cancelled, shards answer
//! heartbeats and send the leader heartbeats of their own.

use super::{Wire, World, NODES};
use crate::output::Line;
use crate::SECOND;
use crate::{effects, words};
use dockpier::fencing_token::FencingToken;
use dockpier::leadership::FollowedLeader;
use dockpier::lease::cancellation_log::CancellationCommit;
use dockpier::lease::shard::ShardResponse;
use dockpier::limits;
use dockpier::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use dockpier::scheduler::TaskCommand;
use dockpier::time::{to_micros, Timestamp};
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

/// The lease of a worker.
const LEASE: u64 = 10 * SECOND;
/// Jobs that are live at the same time.
const MAX_LIVE_JOBS: usize = 5;

/// A worker with a task of each of its jobs.
pub(super) struct Worker {
    name: String,
    node: usize,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    lease_until: u64,
    heartbeat_due: u64,
    jobs: BTreeSet<JobId>,
}

impl Worker {
    pub(super) fn new(number: usize) -> Self {
        Worker {
            name: format!("w-{number}"),
            node: number % NODES,
            agent_epoch: 1,
            sequence: 0,
            token: FencingToken::NONE,
            lease_until: LEASE,
            heartbeat_due: 0,
            jobs: BTreeSet::new(),
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let task = |job_id: &JobId| ReportedTask {
            id: TaskId { job_id: *job_id, task: 0 },
            attempt: 1,
            status: TaskStatus::Running,
        };
        Heartbeat {
            machine: self.name.clone(),
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: self.jobs.iter().map(task).collect(),
        }
    }
}

/// A node's response to a heartbeat.
struct NodeResponse {
    token: FencingToken,
    /// Jobs whose tasks the worker is told to stop.
    stopped: BTreeSet<JobId>,
}

impl World<'_> {
    // ---- jobs ----

    /// Jobs come and are cancelled, and every node reads which are live.
    pub(super) fn run_jobs(&mut self) {
        for node in (0..NODES).filter(|node| self.is_served(*node)).collect::<Vec<_>>() {
            let (now, incarnation) = (self.local(node), self.nodes[node].incarnation);
            if now >= self.nodes[node].live_due {
                self.nodes[node].live_due = now + Duration::from_micros(SECOND);
                let (delay, live) = (2 * self.delay(), self.store.live.iter().copied().collect());
                self.send(delay, Wire::Live { node, incarnation, sent: now, live });
            }
            if self.rng.random_ratio(1, 300) {
                self.submit_or_cancel(node);
            }
        }
    }

    fn submit_or_cancel(&mut self, node: usize) {
        let job_id = self.store.add_job();
        for worker in &mut self.workers {
            worker.jobs.insert(job_id);
        }
        if self.store.live.len() <= MAX_LIVE_JOBS {
            return;
        }
        if let Some(job_id) = self.store.live.pop_first() {
            let (incarnation, delay) = (self.nodes[node].incarnation, self.delay());
            self.send(delay, Wire::Cancelled { node, incarnation, job_id });
        }
    }

    pub(super) fn take_live(&mut self, node: usize, sent: Timestamp, live: &[JobId]) {
        let now = self.local(node);
        let over = self.nodes[node].leadership.cancellations.apply_live_jobs(now, sent, true, live, &[]);
        self.nodes[node].state_answered = now;
        self.note_over("read-over", node, over);
    }

    /// A user is to be told that the job is cancelled, and asks again where it may not be told yet.
    pub(super) fn confirm(&mut self, node: usize, job_id: JobId) {
        let (now, incarnation) = (self.local(node), self.nodes[node].incarnation);
        let outcome =
            self.nodes[node].leadership.request_confirmation(now, job_id, CancellationCommit::Unknown);
        let (news, may, actions) = (outcome.is_new, outcome.is_permitted, outcome.actions);
        let line = Line::new("confirm").with("node", node).with("job", job_id.0);
        self.note(line.with("news", news).with("may", may));
        self.act(node, actions);
        if !may {
            self.send(SECOND, Wire::Cancelled { node, incarnation, job_id });
        }
    }

    // ---- leaseholders ----

    /// Leaseholders tell the leader whom they answered; heartbeats and confirmations may be lost.
    pub(super) fn run_leaseholders(&mut self) {
        for node in (0..NODES).filter(|node| self.is_up(*node)).collect::<Vec<_>>() {
            let now = self.local(node);
            let Some(FollowedLeader { node: leader, token, .. }) =
                self.nodes[node].leadership.followed_leader(now)
            else {
                continue;
            };
            self.nodes[node].shard.follow(token);
            let Some(heartbeat) = self.nodes[node].shard.next_heartbeat(now) else { continue };
            let line = Line::new("network-block-heartbeat").with("node", node).with("id", heartbeat.id);
            let line = line.with("whole", heartbeat.complete).with("fresh", heartbeat.without_lease);
            self.note(line.list("machines", &heartbeat.machines));
            let lost = self.rng.random_bool(0.1);
            if lost || !self.leads(leader, token) || self.cut_between(node, leader).is_some() {
                continue;
            }
            let lease = self.nodes[leader].leadership.shard_lease(self.local(leader));
            let own = self.nodes[node].shard.acknowledge(heartbeat.id, lease);
            self.note(
                Line::new("block-confirmed")
                    .with("node", node)
                    .with("lease", to_micros(lease))
                    .with("own", own),
            );
        }
    }

    fn leads(&self, node: usize, token: FencingToken) -> bool {
        self.is_up(node) && self.nodes[node].leadership.authority(self.local(node)) == Some(token)
    }

    // ---- workers ----

    pub(super) fn run_workers(&mut self) {
        let mut workers = std::mem::take(&mut self.workers);
        workers.iter_mut().for_each(|worker| self.run_worker(worker));
        self.workers = workers;
    }

    fn run_worker(&mut self, worker: &mut Worker) {
        if self.now >= worker.lease_until {
            worker.agent_epoch += 1;
            worker.jobs.clear();
            worker.lease_until = self.now + LEASE;
        }
        if self.now < worker.heartbeat_due {
            return;
        }
        worker.heartbeat_due = self.now + self.rng.random_range(SECOND * 3 / 4..SECOND * 5 / 4);
        let heartbeat = worker.heartbeat();
        let answer = if self.is_up(worker.node) { self.answer(worker.node, heartbeat) } else { None };
        match answer {
            Some(NodeResponse { token, stopped }) if token >= worker.token => {
                worker.token = token;
                worker.lease_until = self.now + LEASE;
                worker.jobs.retain(|job_id| !stopped.contains(job_id));
            }
            Some(_) => {}
            None => worker.node = (worker.node + 1) % NODES,
        }
    }

    /// The node responds as leader, in keep-alive mode or from its shard; else it relays the heartbeat.
    fn answer(&mut self, node: usize, heartbeat: Heartbeat) -> Option<NodeResponse> {
        let now = self.local(node);
        let autonomous_stops = self.autonomous_stops(node, &heartbeat);
        let known = autonomous_stops.as_ref().map_or("none".to_string(), |stops| stops.len().to_string());
        let line = Line::new("report").with("node", node).with("machine", &heartbeat.machine);
        let line = line.with("token", heartbeat.token).with("stops", known);
        let leadership = &self.nodes[node].leadership;
        if let Some(token) = leadership.authority(now) {
            let commands = leadership.cancellations.with_cancellations_applied(Vec::new(), &heartbeat);
            return self.answered(line.with("by", "leader"), token, commands);
        }
        if let Some((token, stops)) = leadership.keep_alive_token(now).zip(autonomous_stops.clone()) {
            return self.answered(line.with("by", "lease-keeper"), token, stops);
        }
        let followed = leadership.followed_leader(now);
        let answer = self.nodes[node].shard.respond(now, &heartbeat, followed.is_some());
        match (answer, autonomous_stops) {
            (ShardResponse::Renewed(token, renewal), Some(stops)) => {
                let line = line.with("by", "block").with("renewal", words::renewal(Some(&renewal)));
                return self.answered(line, token, stops);
            }
            (ShardResponse::Duplicate, _) => self.note(Line::new("report-copy").with("node", node)),
            _ => {}
        }
        self.relay(node, heartbeat, line)
    }

    fn answered(
        &mut self,
        line: Line,
        token: FencingToken,
        commands: Vec<TaskCommand>,
    ) -> Option<NodeResponse> {
        self.note(line.with("answer", token));
        effects::write_commands(self.out, self.now, &commands);
        let stopped = commands.iter().filter_map(|command| match command {
            TaskCommand::Stop { id, .. } => Some(id.job_id),
            TaskCommand::Start { .. } | TaskCommand::Forget { .. } => None,
        });
        Some(NodeResponse { token, stopped: stopped.collect() })
    }

    /// The node relays the heartbeat to the leader that it follows; without one there is no response.
    fn relay(&mut self, node: usize, heartbeat: Heartbeat, line: Line) -> Option<NodeResponse> {
        let now = self.local(node);
        let followed = self.nodes[node].leadership.followed_leader(now);
        let reached = followed.filter(|leader| {
            self.leads(leader.node, leader.token) && self.cut_between(node, leader.node).is_none()
        });
        let Some(FollowedLeader { node: leader, token, .. }) = reached else {
            let actions = self.nodes[node].leadership.observe_token(heartbeat.token, now);
            self.act(node, actions);
            self.note(line.with("by", "nobody"));
            return None;
        };
        let commands =
            self.nodes[leader].leadership.cancellations.with_cancellations_applied(Vec::new(), &heartbeat);
        let wakes = self.rng.random_bool(0.1);
        let machine = heartbeat.machine.clone();
        let shard = &mut self.nodes[node].shard;
        shard.record_relayed_response(now, heartbeat, token, commands.is_empty());
        if wakes {
            shard.require_relay(&[machine]);
        }
        self.answered(line.with("by", "relay"), token, commands)
    }

    /// The stops that a node in keep-alive mode sends; `None` where it may not respond by itself.
    fn autonomous_stops(&self, node: usize, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let (now, log) = (self.local(node), &self.nodes[node].leadership.cancellations);
        (now + limits::AUTHORITY_MARGIN < log.may_keep_alive_until())
            .then(|| log.stop_commands(heartbeat))
            .flatten()
    }
}
