//! Every order in which the messages around one lease can arrive, up to a depth: a worker that reports to the leader or
//! through a leaseholder, stops that go straight to it, their answers, heartbeats of the leaseholder and confirmations. After
//! each order the worker is silent, everything under way is lost, and its task must not be started elsewhere before the
//! lease that it really has has ended.

use super::common::{self, spec};
use super::stand_ins::{heartbeat, machine_types, outcome};
use dockpier::lease::shard::{Shard, ShardHeartbeat, ShardResponse};
use dockpier::limits::SECOND;
use dockpier::scheduler::model::*;
use dockpier::scheduler::{Command, Config, Effect, Scheduler, StoredJob, TaskCommand};
use dockpier::settings::{Operator, Workers};
use std::collections::BTreeMap;

/// Long against the margin of a lease, so that one heartbeat that is not noted shows.
const REPORT: u64 = 6 * SECOND;
const LEASE: u64 = 20 * SECOND;
const SHARD_LEASE: u64 = 8 * SECOND;
/// How long a worker waits for the answer to a heartbeat.
const ANSWER_PATIENCE: u64 = 4 * SECOND;
/// Events of an order, each a message delivered or a step of time, and steps of time among them at most.
const DEPTH: usize = 6;
const TICKS: usize = 1;
/// The leaseholder's number among the nodes.
const LESSEE: usize = 1;

/// The worker whose lease is looked at, and the empty one beside it.
const WATCHED: &str = "m-000001";
const EMPTY: &str = "m-000002";
/// The replica that must never run twice, and the job beside it that is cancelled.
const REPLICA: TaskId = TaskId { job_id: JobId(1), task: 0 };
const CANCELLED: JobId = JobId(2);

/// A message on its way.
enum Message {
    /// The worker's heartbeat, at its node.
    WorkerHeartbeat(Heartbeat),
    /// A heartbeat that the leaseholder passed on, at the leader.
    PassedOn(Heartbeat),
    /// The leader's answer to it, at the leaseholder.
    Reply { heartbeat: Heartbeat, renews: bool, keep: bool, task_commands: Vec<TaskCommand> },
    /// The answer to the heartbeat of this sequence, at the worker; None: it is sent elsewhere.
    Answer { sequence: u64, task_commands: Option<Vec<TaskCommand>> },
    /// Direct commands, at the worker.
    Direct(Vec<TaskCommand>),
    /// The worker's answer to them, at the leader.
    DirectAnswer(Heartbeat),
    /// At the leader.
    Heartbeat { heartbeat: ShardHeartbeat, stamp: u64 },
    /// At the leaseholder.
    Confirmed(u64),
    /// At the leaseholder: the leader has something to tell the watched worker.
    Wake,
}

/// The watched worker, which knows when its lease really ends.
#[derive(Default)]
struct Worker {
    sequence: u64,
    token: u64,
    tasks: BTreeMap<TaskId, (u64, TaskStatus)>,
    /// Sequence and time of the heartbeat that it waits for.
    waits: Option<(u64, u64)>,
    report_due: u64,
    lease_until: u64,
}

struct World {
    scheduler: Scheduler,
    shard: Shard,
    now: u64,
    /// The watched worker reports through the leaseholder.
    by_leaseholder: bool,
    worker: Worker,
    empty: Worker,
    under_way: Vec<Message>,
    started_elsewhere: Option<u64>,
}

impl Worker {
    fn heartbeat(&mut self, name: &str) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, (attempt, status))| (*id, *attempt, *status));
        heartbeat(name, self.sequence, self.token, tasks)
    }

    /// Carries commands out; whether its tasks changed.
    fn take(&mut self, task_commands: &[TaskCommand]) -> bool {
        let before = self.tasks.clone();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    self.tasks.entry(*id).or_insert((*attempt, TaskStatus::Running));
                }
                TaskCommand::Stop { id, .. } => {
                    if let Some((_, status)) = self.tasks.get_mut(id) {
                        *status = TaskStatus::Exited(ExitReason::Stopped);
                    }
                }
                TaskCommand::Forget { id, .. } => {
                    self.tasks.remove(id);
                }
            }
        }
        self.tasks != before
    }

    /// The answer to a heartbeat has come.
    fn answered(&mut self, now: u64, sequence: u64, task_commands: Option<&[TaskCommand]>) {
        let Some((_, sent)) = self.waits.filter(|(waits_for, _)| *waits_for == sequence) else { return };
        self.waits = None;
        let Some(task_commands) = task_commands else {
            self.report_due = now + SECOND;
            return;
        };
        self.token = 1;
        self.lease_until = self.lease_until.max(sent + LEASE);
        let changed = self.take(task_commands);
        self.report_due = if changed { now + SECOND / 2 } else { sent + REPORT };
    }
}

impl World {
    /// Both replicas run on the watched worker; its next heartbeat is under way, and one of them has just been cancelled.
    fn new(by_leaseholder: bool) -> Self {
        let workers = Workers {
            report_s: REPORT as f64 / SECOND as f64,
            lease_s: LEASE as f64 / SECOND as f64,
            ..common::config().workers
        };
        let operator = Operator { reserve_services: 0, idle_s: 36_000.0, ..Operator::default() };
        let config = Config {
            workers,
            operator,
            zones: vec!["a".into()],
            shard_lease: SHARD_LEASE,
            ..common::config()
        };
        let mut world = World {
            scheduler: Scheduler::new(config, SECOND),
            shard: Shard::new(8, 1),
            now: SECOND,
            by_leaseholder,
            worker: Worker::default(),
            empty: Worker::default(),
            under_way: Vec::new(),
            started_elsewhere: None,
        };
        world.shard.follow(1);
        world.leader(vec![machine_types(), Command::Load { jobs: vec![], records: vec![] }]);
        (0..3).for_each(|_| world.exchange());
        for job_id in [REPLICA.job_id, CANCELLED] {
            let spec = spec(job_id.0, Kind::Service, Priority::Critical, 1);
            let stored = StoredJob { spec, version: 1, age: 0, succeeded: Default::default() };
            world.leader(vec![Command::JobAdded(stored)]);
        }
        // Until nothing that an earlier leader's leaseholders may have answered counts any more.
        (0..2 + SHARD_LEASE / SECOND).for_each(|_| world.exchange());
        assert_eq!(world.worker.tasks.len(), 2, "both replicas run on the watched worker");
        world.report_of_empty();
        world.tick(REPORT);
        world.leader(vec![Command::JobRemoved(CANCELLED)]);
        world
    }

    /// The worker reports, and everything arrives at once.
    fn exchange(&mut self) {
        self.worker.report_due = 0;
        self.tick(SECOND);
        while !self.under_way.is_empty() {
            self.deliver(0);
        }
    }

    fn send(&mut self, message: Message) {
        self.under_way.push(message);
    }

    /// Time passes, and everybody does what is due.
    fn tick(&mut self, time: u64) {
        self.now += time;
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
            self.leader(vec![Command::Heartbeat { reply: 0, heartbeat, via: None }]);
        }
    }

    fn deliver(&mut self, at: usize) {
        match self.under_way.remove(at) {
            Message::WorkerHeartbeat(heartbeat) if self.by_leaseholder => self.at_leaseholder(heartbeat),
            Message::WorkerHeartbeat(heartbeat) => {
                let reply = heartbeat.sequence;
                self.leader(vec![Command::Heartbeat { reply, heartbeat, via: None }]);
            }
            Message::PassedOn(heartbeat) => self.pass_on(heartbeat),
            Message::Reply { heartbeat, renews, keep, task_commands } => {
                let sequence = heartbeat.sequence;
                if renews {
                    self.shard.record_relayed_response(self.now, heartbeat, 1, keep);
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
            Message::DirectAnswer(heartbeat) => self.leader(vec![Command::DirectCommandAnswered(heartbeat)]),
            Message::Heartbeat { heartbeat, stamp } => {
                let ShardHeartbeat { id, complete: whole, first_of_incarnation: fresh, machines } = heartbeat;
                let covers = whole.then_some(stamp);
                self.leader(vec![Command::ShardHeartbeat {
                    node: LESSEE,
                    machines,
                    covers_until: covers,
                    first_of_incarnation: fresh,
                }]);
                self.send(Message::Confirmed(id));
            }
            Message::Confirmed(id) => {
                self.shard.acknowledge(id, SHARD_LEASE);
            }
            Message::Wake => self.shard.request_wake(&[WATCHED.to_string()]),
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
        let reply = heartbeat.sequence;
        let first = self.under_way.len();
        self.leader(vec![Command::Heartbeat { reply, heartbeat: heartbeat.clone(), via: Some(LESSEE) }]);
        // What the leader answers goes by way of the leaseholder.
        let answer =
            |message: &Message| matches!(message, Message::Answer { sequence, .. } if *sequence == reply);
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
                Effect::HeartbeatResponse { reply: 0, task_commands, .. } => {
                    self.answer_empty(&task_commands)
                }
                Effect::HeartbeatResponse { reply, renewal, task_commands, .. } => {
                    self.send(Message::Answer {
                        sequence: reply,
                        task_commands: renewal.map(|_| task_commands),
                    });
                }
                Effect::DirectCommands { machine, task_commands, .. } if machine == WATCHED => {
                    self.send(Message::Direct(task_commands));
                }
                Effect::RequestWake { .. } => self.send(Message::Wake),
                _ => {}
            }
        }
        if !outcomes.is_empty() {
            self.leader(outcomes);
        }
    }

    fn answer_empty(&mut self, task_commands: &[TaskCommand]) {
        self.empty.token = 1;
        self.empty.take(task_commands);
        if self.empty.tasks.contains_key(&REPLICA) {
            self.started_elsewhere.get_or_insert(self.now);
        }
    }

    /// The worker is silent and everything under way lost; the leaseholder goes on, or is not heard either. Checks the rule.
    fn end(mut self, order: &[usize], leaseholder_heard: bool) {
        self.under_way.clear();
        let until = self.now + SHARD_LEASE + 2 * LEASE;
        while self.now < until && self.started_elsewhere.is_none() {
            self.now += SECOND;
            let heartbeat = self.shard.next_heartbeat(self.now).filter(|_| leaseholder_heard);
            if let Some(ShardHeartbeat { id, complete: whole, first_of_incarnation: fresh, machines }) =
                heartbeat
            {
                let covers = whole.then_some(self.now);
                self.leader(vec![Command::ShardHeartbeat {
                    node: LESSEE,
                    machines,
                    covers_until: covers,
                    first_of_incarnation: fresh,
                }]);
                self.shard.acknowledge(id, SHARD_LEASE);
            }
            let heartbeat = self.empty.heartbeat(EMPTY);
            self.leader(vec![Command::Heartbeat { reply: 0, heartbeat, via: None }]);
        }
        let started = self.started_elsewhere.unwrap_or_else(|| panic!("{order:?}: never started elsewhere"));
        let early_s = self.worker.lease_until.saturating_sub(started) as f64 / SECOND as f64;
        let by_leaseholder = self.by_leaseholder;
        assert_eq!(
            early_s, 0.0,
            "{by_leaseholder}, {leaseholder_heard}, order {order:?}: started elsewhere too early"
        );
    }
}

/// The world after an order of events: 0 lets a second pass, any other delivers the message of that number.
fn play(by_leaseholder: bool, order: &[usize]) -> World {
    let mut world = World::new(by_leaseholder);
    for event in order {
        match event {
            0 => world.tick(SECOND),
            number => world.deliver(number - 1),
        }
    }
    world
}

/// Plays every order that begins like this one; returns how many there are.
fn play_all(by_leaseholder: bool, leaseholder_heard: bool, order: &mut Vec<usize>) -> u64 {
    let world = play(by_leaseholder, order);
    let messages = world.under_way.len();
    world.end(order, leaseholder_heard);
    let mut played = 1;
    if order.len() == DEPTH {
        return played;
    }
    let ticks = order.iter().filter(|event| **event == 0).count();
    for event in usize::from(ticks == TICKS)..=messages {
        order.push(event);
        played += play_all(by_leaseholder, leaseholder_heard, order);
        order.pop();
    }
    played
}

fn no_order_ends_a_lease_early(by_leaseholder: bool, leaseholder_heard: bool, at_least: u64) {
    let played = play_all(by_leaseholder, leaseholder_heard, &mut Vec::new());
    println!(
        "by_leaseholder {by_leaseholder}, leaseholder_heard {leaseholder_heard}: {played} task_commands up to {DEPTH} events"
    );
    assert!(played >= at_least, "{played} task_commands: too little was tested");
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_workers_report_to_the_leader() {
    no_order_ends_a_lease_early(false, true, 2_000);
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_workers_report_through_a_leaseholder() {
    no_order_ends_a_lease_early(true, true, 15_000);
}

#[test]
fn no_order_of_messages_ends_a_lease_early_where_the_leaseholder_falls_silent_too() {
    no_order_ends_a_lease_early(true, false, 15_000);
}
