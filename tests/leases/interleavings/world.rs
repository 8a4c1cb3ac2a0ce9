//! The leader, a leaseholder, two workers and the messages under way; delivery of one message, or one step of time.

use super::message::Message;
use super::worker::Worker;
use super::{ANSWER_PATIENCE, CANCELLED, EMPTY, LEASE, LEASEHOLDER, REPLICA, REPORT, SHARD_LEASE, WATCHED};
use crate::common::{self, spec};
use crate::stand_ins::{machine_types, outcome};
use dockpier::fencing_token::FencingToken;
use dockpier::lease::shard::{Shard, ShardHeartbeat, ShardResponse};
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{Heartbeat, Kind, Priority};
use dockpier::scheduler::{Command, Config, Effect, Scheduler, StoredJob, TaskCommand};
use dockpier::settings::{Operator, Workers};
use dockpier::time::{as_seconds, Timestamp};
use std::time::Duration;

pub(super) struct World {
    scheduler: Scheduler,
    shard: Shard,
    now: Timestamp,
    /// The watched worker reports through the leaseholder.
    by_leaseholder: bool,
    worker: Worker,
    empty: Worker,
    pub(super) under_way: Vec<Message>,
    started_elsewhere: Option<Timestamp>,
}

impl World {
    /// Both replicas run on the watched worker; its next heartbeat is under way, and one of them has just been cancelled.
    pub(super) fn new(by_leaseholder: bool) -> Self {
        let workers =
            Workers { report_s: as_seconds(REPORT), lease_s: as_seconds(LEASE), ..common::config().workers };
        let operator = Operator { reserve_services: 0, idle_s: 36_000.0, ..Operator::default() };
        let config = Config {
            workers,
            operator,
            zones: vec!["a".into()],
            shard_lease: SHARD_LEASE,
            ..common::config()
        };
        let mut world = World {
            scheduler: Scheduler::new(config, Timestamp::from_secs(1)),
            shard: Shard::new(8, 1),
            now: Timestamp::from_secs(1),
            by_leaseholder,
            worker: Worker::default(),
            empty: Worker::default(),
            under_way: Vec::new(),
            started_elsewhere: None,
        };
        world.shard.follow(FencingToken(1));
        world.leader(vec![machine_types(), Command::StateLoaded { jobs: vec![], records: vec![] }]);
        (0..3).for_each(|_| world.exchange());
        for job_id in [REPLICA.job_id, CANCELLED] {
            let spec = spec(job_id.0, Kind::Service, Priority::Critical, 1);
            let stored = StoredJob { spec, version: 1, age: Duration::ZERO, succeeded: Default::default() };
            world.leader(vec![Command::JobAdded(stored)]);
        }
        // Until nothing that an earlier leader's leaseholders may have answered counts any more.
        (0..2 + SHARD_LEASE.as_secs()).for_each(|_| world.exchange());
        assert_eq!(world.worker.tasks.len(), 2, "both replicas run on the watched worker");
        world.report_of_empty();
        world.tick(REPORT);
        world.leader(vec![Command::JobRemoved(CANCELLED)]);
        world
    }

    /// The worker reports, and everything arrives at once.
    fn exchange(&mut self) {
        self.worker.report_due = Timestamp::ZERO;
        self.tick(SECOND);
        while !self.under_way.is_empty() {
            self.deliver(0);
        }
    }

    fn send(&mut self, message: Message) {
        self.under_way.push(message);
    }

    /// Time passes, and everybody does what is due.
    pub(super) fn tick(&mut self, duration: Duration) {
        self.now += duration;
        if self.worker.waits.is_some_and(|(_, sent)| self.now >= sent + ANSWER_PATIENCE) {
            self.worker.waits = None;
            self.worker.report_due = self.now + SECOND;
        }
        self.report_if_due();
        if let Some(heartbeat) = self.shard.next_heartbeat(self.now) {
            let stamp = self.now;
            self.send(Message::Heartbeat { heartbeat, stamp });
        }
        self.leader(vec![]);
    }

    fn report_if_due(&mut self) {
        if self.worker.waits.is_none() && self.now >= self.worker.report_due {
            let heartbeat = self.worker.heartbeat(WATCHED);
            self.worker.waits = Some((heartbeat.sequence, self.now));
            self.send(Message::WorkerHeartbeat(heartbeat));
        }
    }

    fn report_of_empty(&mut self) {
        for _ in 0..3 {
            let heartbeat = self.empty.heartbeat(EMPTY);
            self.leader(vec![Command::Heartbeat { response_id: 0, heartbeat, relayed_by: None }]);
        }
    }

    pub(super) fn deliver(&mut self, at: usize) {
        match self.under_way.remove(at) {
            Message::WorkerHeartbeat(heartbeat) if self.by_leaseholder => self.at_leaseholder(heartbeat),
            Message::WorkerHeartbeat(heartbeat) => {
                let response_id = heartbeat.sequence;
                self.leader(vec![Command::Heartbeat { response_id, heartbeat, relayed_by: None }]);
            }
            Message::PassedOn(heartbeat) => self.pass_on(heartbeat),
            Message::Reply { heartbeat, renews, keep, task_commands } => {
                let sequence = heartbeat.sequence;
                if renews {
                    self.shard.record_relayed_response(self.now, heartbeat, FencingToken(1), keep);
                }
                self.send(Message::Answer { sequence, task_commands: renews.then_some(task_commands) });
            }
            Message::Answer { sequence, task_commands } => {
                self.worker.answered(self.now, sequence, task_commands.as_deref());
                self.report_if_due();
            }
            Message::Direct(task_commands) => {
                if self.worker.take(&task_commands) {
                    self.worker.report_due = self.now;
                }
                let answer = self.worker.heartbeat(WATCHED);
                self.send(Message::DirectAnswer(answer));
                self.report_if_due();
            }
            Message::DirectAnswer(heartbeat) => self.leader(vec![Command::DirectResponse(heartbeat)]),
            Message::Heartbeat { heartbeat, stamp } => {
                let ShardHeartbeat { id, complete, without_lease, machines } = heartbeat;
                let covers_until = complete.then_some(stamp);
                self.leader(vec![Command::ShardHeartbeat {
                    node: LEASEHOLDER,
                    machines,
                    covers_until,
                    without_lease,
                }]);
                self.send(Message::Confirmed(id));
            }
            Message::Confirmed(id) => {
                self.shard.acknowledge(id, SHARD_LEASE);
            }
            Message::Wake => self.shard.require_relay(&[WATCHED.to_string()]),
        }
    }

    fn at_leaseholder(&mut self, heartbeat: Heartbeat) {
        let sequence = heartbeat.sequence;
        match self.shard.respond(self.now, &heartbeat, true) {
            ShardResponse::Renewed(..) => {
                self.send(Message::Answer { sequence, task_commands: Some(vec![]) })
            }
            ShardResponse::Duplicate => self.send(Message::Answer { sequence, task_commands: None }),
            ShardResponse::NotResponsible => self.send(Message::PassedOn(heartbeat)),
        }
    }

    fn pass_on(&mut self, heartbeat: Heartbeat) {
        let response_id = heartbeat.sequence;
        let first = self.under_way.len();
        self.leader(vec![Command::Heartbeat {
            response_id,
            heartbeat: heartbeat.clone(),
            relayed_by: Some(LEASEHOLDER),
        }]);
        // What the leader answers goes by way of the leaseholder.
        let answer = |message: &Message| matches!(message, Message::Answer { sequence, .. } if *sequence == response_id);
        let Some(at) = self.under_way.iter().skip(first).position(answer) else { return };
        if let Message::Answer { task_commands, .. } = self.under_way.remove(first + at) {
            let renews = task_commands.is_some();
            let keep = task_commands.as_ref().is_some_and(Vec::is_empty);
            self.send(Message::Reply {
                heartbeat,
                renews,
                keep,
                task_commands: task_commands.unwrap_or_default(),
            });
        }
    }

    fn leader(&mut self, batch: Vec<Command>) {
        let mut outcomes = Vec::new();
        for effect in self.scheduler.step(self.now, batch) {
            outcomes.extend(outcome(&effect));
            match effect {
                Effect::HeartbeatResponse { response_id: 0, task_commands, .. } => {
                    self.answer_empty(&task_commands)
                }
                Effect::HeartbeatResponse { response_id, renewal, task_commands, .. } => {
                    self.send(Message::Answer {
                        sequence: response_id,
                        task_commands: renewal.map(|_| task_commands),
                    });
                }
                Effect::DirectCommands { machine, task_commands, .. } if machine == WATCHED => {
                    self.send(Message::Direct(task_commands));
                }
                Effect::RequestRelay { .. } => self.send(Message::Wake),
                _ => {}
            }
        }
        if !outcomes.is_empty() {
            self.leader(outcomes);
        }
    }

    fn answer_empty(&mut self, task_commands: &[TaskCommand]) {
        self.empty.token = FencingToken(1);
        self.empty.take(task_commands);
        if self.empty.tasks.contains_key(&REPLICA) {
            self.started_elsewhere.get_or_insert(self.now);
        }
    }

    /// The worker is silent and everything under way lost; the leaseholder goes on, or is unreachable too. Checks the
    /// rule.
    pub(super) fn end(mut self, order: &[usize], leaseholder_reachable: bool) {
        self.under_way.clear();
        let until = self.now + SHARD_LEASE + 2 * LEASE;
        while self.now < until && self.started_elsewhere.is_none() {
            self.now += SECOND;
            let heartbeat = self.shard.next_heartbeat(self.now).filter(|_| leaseholder_reachable);
            if let Some(ShardHeartbeat { id, complete, without_lease, machines }) = heartbeat {
                let covers_until = complete.then_some(self.now);
                self.leader(vec![Command::ShardHeartbeat {
                    node: LEASEHOLDER,
                    machines,
                    covers_until,
                    without_lease,
                }]);
                self.shard.acknowledge(id, SHARD_LEASE);
            }
            let heartbeat = self.empty.heartbeat(EMPTY);
            self.leader(vec![Command::Heartbeat { response_id: 0, heartbeat, relayed_by: None }]);
        }
        let started = self.started_elsewhere.unwrap_or_else(|| panic!("{order:?}: never started elsewhere"));
        let early_s = as_seconds(self.worker.lease_until.since(started));
        let by_leaseholder = self.by_leaseholder;
        assert_eq!(
            early_s, 0.0,
            "{by_leaseholder}, {leaseholder_reachable}, order {order:?}: started elsewhere too early"
        );
    }
}
