//! Simulated workers, leaseholders and jobs around the three controllers.

use super::cluster::Cluster;
use super::lease_ledger::TimeOnBothClocks;
use super::network::Delivery;
use super::random_duration;
use super::{CANCELLATION_DEADLINE, MS, NODE_COUNT, WORKER_LEASE};
use crate::fencing_token::FencingToken;
use crate::leadership::FollowedLeader;
use crate::limits::{self, SECOND};
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use crate::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;

/// A worker, reduced to its lease and tasks: all tasks end with the lease.
pub(super) struct Worker {
    /// Number of the node that it reports to.
    node: usize,
    /// Number of the node on whose side of a partition it is.
    home: usize,
    /// Number of the worker's starts, from one; its lease and tasks belong to one of them.
    pub(super) agent_epoch: u64,
    /// When this agent epoch began, in true time.
    pub(super) agent_epoch_began_at: Timestamp,
    sequence: u64,
    token: FencingToken,
    pub(super) lease_until: Timestamp,
    next_report_at: Timestamp,
    /// Jobs that it runs a task of.
    tasks: BTreeSet<JobId>,
}

impl Worker {
    /// A worker that has just started on the side of `node`, with a lease.
    pub(super) fn new(node: usize) -> Self {
        Worker {
            node,
            home: node,
            agent_epoch: 1,
            agent_epoch_began_at: Timestamp::ZERO,
            sequence: 0,
            token: FencingToken(0),
            lease_until: Timestamp::ZERO + WORKER_LEASE,
            next_report_at: Timestamp::ZERO,
            tasks: BTreeSet::new(),
        }
    }

    /// Starts the next agent epoch: the lease has expired, and all tasks have ended with it.
    fn restart(&mut self, now: Timestamp) {
        self.agent_epoch += 1;
        self.agent_epoch_began_at = now;
        self.lease_until = now + WORKER_LEASE;
        self.tasks.clear();
    }

    fn heartbeat(&self, machine: String) -> Heartbeat {
        let task = |job_id: &JobId| ReportedTask {
            id: TaskId { job_id: *job_id, task: 0 },
            attempt: 1,
            status: TaskStatus::Running,
        };
        Heartbeat {
            machine,
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }
}

/// A response to a worker: the fencing token, and the jobs whose tasks it stops.
struct WorkerResponse {
    token: FencingToken,
    stopped: BTreeSet<JobId>,
}

impl WorkerResponse {
    fn new(token: FencingToken, task_commands: Vec<TaskCommand>) -> Self {
        let stopped = task_commands.into_iter().filter_map(|command| match command {
            TaskCommand::Stop { id, .. } => Some(id.job_id),
            TaskCommand::Start { .. } | TaskCommand::Forget { .. } => None,
        });
        WorkerResponse { token, stopped: stopped.collect() }
    }
}

impl Cluster {
    /// A cluster with six workers, two on the side of each node, and jobs that are submitted and cancelled.
    pub(super) fn with_workers(seed: u64, mean_steps_between_jobs: u32) -> Self {
        let mut cluster = Cluster::new(seed);
        cluster.mean_steps_between_jobs = mean_steps_between_jobs;
        cluster.workers = (0..6).map(|number| Worker::new(number % NODE_COUNT)).collect();
        cluster
    }

    pub(super) fn agent_epochs(&self) -> Vec<u64> {
        self.workers.iter().map(|worker| worker.agent_epoch).collect()
    }

    /// Lets every node that reaches the key-value store read the live jobs when due, and submits and cancels
    /// jobs at random.
    pub(super) fn run_jobs(&mut self) {
        if self.mean_steps_between_jobs == 0 {
            return;
        }
        for node in 0..NODE_COUNT {
            if !self.reaches_store(node) {
                continue;
            }
            self.read_live_jobs_when_due(node);
            if self.rng.random_ratio(1, self.mean_steps_between_jobs) {
                self.submit_job();
                self.cancel_oldest_job(node);
            }
        }
    }

    fn read_live_jobs_when_due(&mut self, node: usize) {
        let now = self.local_time(node);
        if now < self.nodes[node].next_job_read_at {
            return;
        }
        self.nodes[node].next_job_read_at = now + SECOND;
        let delay = 2 * self.random_delay();
        let (process, live) = (self.nodes[node].process, self.store.live_jobs.clone());
        self.send(delay, Delivery::LiveJobs { node, process, sent: now, live });
    }

    /// Submits a job, and gives a task of it to every worker that the leader reaches.
    fn submit_job(&mut self) {
        self.store.last_job += 1;
        let job_id = JobId(self.store.last_job);
        self.store.live_jobs.insert(job_id);
        let Some(leader) = self.leader() else { return };
        for worker in 0..self.workers.len() {
            if !self.are_partitioned(self.workers[worker].home, leader) {
                self.workers[worker].tasks.insert(job_id);
            }
        }
    }

    /// Asks the node to cancel the oldest live job that no user has asked to cancel, if more than four are live. Four stay live so that workers also run
    /// recently submitted jobs, which some nodes have not read yet.
    fn cancel_oldest_job(&mut self, node: usize) {
        if self.store.live_jobs.len() <= 4 {
            return;
        }
        let last_requested = self.last_job_to_cancel;
        let Some(job_id) = self.store.live_jobs.iter().find(|job_id| **job_id > last_requested) else {
            return;
        };
        self.last_job_to_cancel = *job_id;
        self.request_cancellation(node, *job_id);
    }

    /// Sends the leaseholders' shard heartbeats to the leader. These and their acknowledgements may be lost.
    pub(super) fn run_leaseholders(&mut self) {
        for node in 0..NODE_COUNT {
            if self.is_running(node) {
                self.run_leaseholder(node);
            }
        }
    }

    fn run_leaseholder(&mut self, node: usize) {
        let now = self.local_time(node);
        let Some(followed) = self.nodes[node].leadership.followed_leader(now) else { return };
        let FollowedLeader { node: leader, token, heartbeat_stamp: stamp, .. } = followed;
        self.nodes[node].shard.follow(token);
        let Some(heartbeat) = self.nodes[node].shard.next_heartbeat(now) else { return };
        let leader_time = self.local_time(leader);
        let is_recent = stamp <= leader_time && leader_time < stamp + limits::RELAY_MAX_AGE;
        let accepted = is_recent && self.leads_with(leader, token) && !self.are_partitioned(node, leader);
        if !accepted || self.rng.random_bool(0.1) {
            return;
        }
        let received = TimeOnBothClocks { at_leader: leader_time, in_true_time: self.now };
        self.nodes[leader].ledger.record_shard_heartbeat(node, &heartbeat, stamp, received);
        let lease = self.nodes[leader].leadership.shard_lease(leader_time);
        if self.rng.random_bool(0.9) {
            assert!(self.nodes[node].shard.acknowledge(heartbeat.id, lease));
        }
    }

    /// Whether the node runs and has authority under this token.
    fn leads_with(&self, node: usize, token: FencingToken) -> bool {
        let authority = self.nodes[node].leadership.authority(self.local_time(node));
        self.is_running(node) && authority == Some(token)
    }

    pub(super) fn run_worker(&mut self, number: usize) {
        if self.now >= self.workers[number].lease_until {
            self.workers[number].restart(self.now);
        }
        if self.now < self.workers[number].next_report_at {
            return;
        }
        self.workers[number].next_report_at = self.now + random_duration(&mut self.rng, 750 * MS..1_250 * MS);
        self.workers[number].sequence += 1;
        self.check_cancelled_tasks_ended(number);
        let Worker { node, home, .. } = self.workers[number];
        let is_cut_off = self.are_partitioned(node, home);
        let response = if is_cut_off || !self.is_running(node) { None } else { self.report_to(number, node) };
        let worker = &mut self.workers[number];
        match response {
            Some(response) if response.token >= worker.token => {
                worker.token = response.token;
                worker.lease_until = self.now + WORKER_LEASE;
                worker.tasks.retain(|job_id| !response.stopped.contains(job_id));
            }
            Some(_) => {}
            None => {
                worker.node = (node + 1) % NODE_COUNT;
                worker.next_report_at = self.now + if is_cut_off { 5 * SECOND } else { SECOND };
            }
        }
    }

    /// Checks that the worker runs no task past `CANCELLATION_DEADLINE`. Called right before it reports: the
    /// response to its previous report has taken effect.
    fn check_cancelled_tasks_ended(&self, number: usize) {
        for (job_id, confirmed_at) in &self.confirmed {
            let runs = self.workers[number].tasks.contains(job_id);
            assert!(
                !runs || self.now <= *confirmed_at + CANCELLATION_DEADLINE,
                "worker {number} runs {job_id}, whose cancellation was confirmed at {confirmed_at}"
            );
        }
    }

    /// The node's response to the worker's heartbeat. None: it may not give one.
    fn report_to(&mut self, number: usize, node: usize) -> Option<WorkerResponse> {
        let now = self.local_time(node);
        let heartbeat = self.workers[number].heartbeat(number.to_string());
        let stop_commands_without_leader = self.stop_commands_without_leader(node, &heartbeat);
        if let Some(token) = self.nodes[node].leadership.authority(now) {
            let stops = if self.has_loaded(node) {
                self.stop_commands_of_leader(node, &heartbeat)
            } else {
                stop_commands_without_leader
            }?;
            let renewal = TimeOnBothClocks { at_leader: now, in_true_time: self.now };
            self.nodes[node].ledger.record_renewal(number, renewal);
            return Some(WorkerResponse::new(token, stops));
        }
        if let Some(token) = self.nodes[node].leadership.keep_alive_token(now) {
            let stops = stop_commands_without_leader?;
            self.autonomous_responses += 1;
            return Some(WorkerResponse::new(token, stops));
        }
        let followed = self.nodes[node].leadership.followed_leader(now);
        if let Some(leader) = followed {
            self.nodes[node].shard.follow(leader.token);
        }
        if let Some(stops) = stop_commands_without_leader {
            if let Some(token) = self.nodes[node].shard.respond(now, &heartbeat, followed.is_some()).token() {
                self.autonomous_responses += 1;
                return Some(WorkerResponse::new(token, stops));
            }
        }
        if let Some(response) = followed.and_then(|leader| self.relay(number, node, leader, heartbeat)) {
            return Some(response);
        }
        let token = self.workers[number].token;
        let actions = self.nodes[node].leadership.observe_token(token, now);
        self.apply_actions(node, actions);
        None
    }

    /// The leader's response to a heartbeat that the node relays. None: the leader gives none.
    fn relay(
        &mut self,
        number: usize,
        node: usize,
        followed: FollowedLeader,
        heartbeat: Heartbeat,
    ) -> Option<WorkerResponse> {
        let FollowedLeader { node: leader, token, .. } = followed;
        let reached = !self.are_partitioned(node, leader) && self.leads_with(leader, token);
        if !reached || !self.has_loaded(leader) {
            return None;
        }
        let stops = self.stop_commands_of_leader(leader, &heartbeat)?;
        let renewal = TimeOnBothClocks { at_leader: self.local_time(leader), in_true_time: self.now };
        self.nodes[leader].ledger.record_renewal(number, renewal);
        let now = self.local_time(node);
        let leaseholder_may_respond = stops.is_empty();
        self.nodes[node].shard.record_relayed_response(now, heartbeat, token, leaseholder_may_respond);
        Some(WorkerResponse::new(token, stops))
    }

    /// Whether the node has read the jobs since its process or its term as leader began.
    pub(super) fn has_loaded(&self, node: usize) -> bool {
        self.mean_steps_between_jobs == 0 || self.nodes[node].jobs_read_at > Timestamp::ZERO
    }

    /// The stop commands of a response that the node gives without the leader's job list, as
    /// `Controller::keep_alive_stops` does; None: it may not respond.
    fn stop_commands_without_leader(&self, node: usize, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        if self.mean_steps_between_jobs == 0 {
            return Some(Vec::new());
        }
        let (now, cancellations) = (self.local_time(node), &self.nodes[node].leadership.cancellations);
        (now + limits::AUTHORITY_MARGIN < cancellations.may_keep_alive_until())
            .then(|| cancellations.stop_commands(heartbeat))
            .flatten()
    }

    /// The stop commands of a leader that has loaded the jobs; None: it may not respond.
    fn stop_commands_of_leader(&self, node: usize, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        if self.mean_steps_between_jobs == 0 {
            return Some(Vec::new());
        }
        let (now, cancellations) = (self.local_time(node), &self.nodes[node].leadership.cancellations);
        // Like the scheduler, the leader also stops tasks whose job it does not know.
        let orphaned = heartbeat.tasks.iter().filter(|task| !cancellations.is_live(task.id.job_id));
        let stop =
            |task: &ReportedTask| TaskCommand::Stop { id: task.id, attempt: task.attempt, grace_s: 0.0 };
        (now < cancellations.may_keep_alive_until())
            .then(|| cancellations.with_cancellations_applied(orphaned.map(stop).collect(), heartbeat))
    }
}
