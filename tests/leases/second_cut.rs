//! A zone is cut off from the leader twice. Between the two cuts its machines learn the leader's token, and during the
//! second one the leaseholder inside the zone renews their leases under it.

use super::common::{self, spec};
use super::stand_ins::{heartbeat, machine_types, outcome};
use dockpier::fencing_token::FencingToken;
use dockpier::lease::shard::{Shard, ShardHeartbeat, ShardResponse};
use dockpier::limits::{self, SECOND};
use dockpier::scheduler::model::{Heartbeat, JobId, Kind, Priority, TaskId, TaskStatus};
use dockpier::scheduler::{Command, Config, Effect, Scheduler, StoredJob, StoredMachine, TaskCommand};
use dockpier::settings::{Operator, Team, Workers};
use dockpier::time::{as_seconds, from_seconds, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const REPORT: Duration = Duration::from_secs(3);
const LEASE_S: f64 = 17.5;
const CANCEL_S: f64 = 47.5;
const STEP: Duration = Duration::from_millis(100);
/// A worker that gets no response reports again after this time.
const RETRY: Duration = Duration::from_secs(1);
/// A worker whose tasks or token changed reports again after this time.
const CHANGE_REPORT: Duration = Duration::from_millis(500);
/// How much later than proved a start may be: the leaseholder outside the zone sends its shard heartbeats once a second, the
/// leader checks leases every quarter of a second, and the spare machine reports every half second.
const START_DELAY: Duration = Duration::from_secs(2);

const EARLIER_TOKEN: FencingToken = FencingToken(1);
const TOKEN: FencingToken = FencingToken(2);
/// The controllers beside the leader, by number.
const INSIDE: usize = 1;
const OUTSIDE: usize = 2;
/// The machine in the zone that is cut off, and an empty one outside it.
const CUT_OFF: &str = "m-000001";
const SPARE: &str = "m-000002";
const TASK: TaskId = TaskId { job_id: JobId(1), task: 0 };
const ATTEMPT: u64 = 7;

fn shard_lease() -> Duration {
    limits::longest_autonomy(CANCEL_S, LEASE_S)
}

fn stored_job(job_id: JobId) -> StoredJob {
    let spec = spec(job_id.0, Kind::Array, Priority::Normal, 1);
    StoredJob { spec, version: 1, age: Duration::ZERO, succeeded: BTreeSet::new() }
}

/// A worker with its tasks, and the end of its lease as the worker itself counts it.
struct Worker {
    name: &'static str,
    token: FencingToken,
    sequence: u64,
    tasks: BTreeMap<TaskId, u64>,
    report_interval: Duration,
    report_due: Timestamp,
    lease_until: Timestamp,
}

impl Worker {
    fn new(name: &'static str, report_interval: Duration, now: Timestamp) -> Self {
        Worker {
            name,
            token: EARLIER_TOKEN,
            sequence: 0,
            tasks: BTreeMap::new(),
            report_interval,
            report_due: now,
            lease_until: now + from_seconds(LEASE_S),
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, attempt)| (*id, *attempt, TaskStatus::Running));
        heartbeat(self.name, self.sequence, self.token, tasks)
    }

    /// Applies a response that arrives in the same step as the heartbeat was sent.
    fn handle_response(&mut self, now: Timestamp, token: FencingToken, task_commands: &[TaskCommand]) {
        if token < self.token {
            return;
        }
        let changed = token > self.token || !task_commands.is_empty();
        self.token = token;
        self.lease_until = now + from_seconds(LEASE_S);
        self.report_due = now + if changed { CHANGE_REPORT } else { self.report_interval };
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    self.tasks.insert(*id, *attempt);
                }
                TaskCommand::Stop { id, .. } | TaskCommand::Forget { id, .. } => {
                    self.tasks.remove(id);
                }
            }
        }
    }
}

/// A new leader outside the zone, the controller inside that led before it, and the controller beside the leader. The
/// cloud deletes nothing.
struct Cluster {
    scheduler: Scheduler,
    now: Timestamp,
    inside: Shard,
    outside: Shard,
    connected: bool,
    cut_off: Worker,
    spare: Worker,
    /// The heartbeat that the controller inside has relayed, until the leader responds.
    relayed: Option<Heartbeat>,
    /// When the shard heartbeat of the controller inside last reached the leader.
    inside_heartbeat_at: Timestamp,
}

impl Cluster {
    /// The first cut has begun, and the controller outside has just taken over. The task runs inside the zone.
    fn new() -> Self {
        Cluster::with_team_limit(0.0)
    }

    /// The same with a limit of the team's GPUs; zero: none.
    fn with_team_limit(gpus_max: f64) -> Self {
        let now = Timestamp::from_secs(1);
        let workers = Workers {
            report_s: as_seconds(REPORT),
            lease_s: LEASE_S,
            cancel_s: CANCEL_S,
            ..common::config().workers
        };
        let operator = Operator { reserve_services: 0, idle_s: 36_000.0, ..Operator::default() };
        let config = Config {
            token: TOKEN,
            workers,
            operator,
            teams: vec![Team { gpus_max, ..common::config().teams[0].clone() }],
            zones: vec!["a".into()],
            shard_lease: shard_lease(),
            ..common::config()
        };
        let mut inside = Shard::new(8, 1);
        inside.keep_alive_after_leadership(EARLIER_TOKEN, now + shard_lease());
        let mut cluster = Cluster {
            scheduler: Scheduler::new(config, now),
            now,
            inside,
            outside: Shard::new(8, 2),
            connected: false,
            cut_off: Worker::new(CUT_OFF, REPORT, now),
            spare: Worker::new(SPARE, CHANGE_REPORT, now),
            relayed: None,
            inside_heartbeat_at: Timestamp::ZERO,
        };
        cluster.cut_off.tasks.insert(TASK, ATTEMPT);
        let stored_machine = |name: &str| StoredMachine {
            name: name.into(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            address: String::new(),
            images: BTreeSet::new(),
        };
        let jobs = vec![stored_job(TASK.job_id)];
        let records = vec![("fleet/machines/1".into(), vec![stored_machine(CUT_OFF), stored_machine(SPARE)])];
        cluster.lead(vec![machine_types(), Command::StateLoaded { jobs, records }]);
        cluster
    }

    /// The leader handles a batch; its responses reach the workers at once.
    fn lead(&mut self, batch: Vec<Command>) {
        let mut outcomes = Vec::new();
        for effect in self.scheduler.step(self.now, batch) {
            outcomes.extend(outcome(&effect));
            match effect {
                Effect::HeartbeatResponse { response_id, renewal: Some(_), task_commands, .. }
                    if response_id == self.spare_response_id() =>
                {
                    self.spare.handle_response(self.now, TOKEN, &task_commands);
                }
                Effect::HeartbeatResponse {
                    renewal: Some(_),
                    task_commands,
                    leaseholder_may_respond,
                    ..
                } => {
                    let relayed = self.relayed.take().expect("only relayed heartbeats are left");
                    self.inside.record_relayed_response(self.now, relayed, TOKEN, leaseholder_may_respond);
                    self.cut_off.handle_response(self.now, TOKEN, &task_commands);
                }
                Effect::RequestRelay { machine, .. } => self.inside.require_relay(&[machine]),
                _ => {}
            }
        }
        if !outcomes.is_empty() {
            self.lead(outcomes);
        }
    }

    fn spare_response_id(&self) -> u64 {
        1_000 + self.spare.sequence
    }

    fn step(&mut self) {
        self.now += STEP;
        let mut batch = Vec::new();
        batch.extend(Self::shard_heartbeat(&mut self.outside, OUTSIDE, self.now));
        if self.connected {
            let heartbeat = Self::shard_heartbeat(&mut self.inside, INSIDE, self.now);
            if heartbeat.is_some() {
                self.inside_heartbeat_at = self.now;
            }
            batch.extend(heartbeat);
        }
        if self.now >= self.spare.report_due {
            let heartbeat = self.spare.heartbeat();
            self.spare.report_due = self.now + RETRY;
            let response_id = self.spare_response_id();
            batch.push(Command::Heartbeat { response_id, heartbeat, relayed_by: None });
        }
        batch.extend(self.report_to_controller_inside());
        self.lead(batch);
    }

    /// The shard heartbeat that is due; the leader acknowledges it at once.
    fn shard_heartbeat(shard: &mut Shard, node: usize, now: Timestamp) -> Option<Command> {
        shard.follow(TOKEN);
        let ShardHeartbeat { id, complete, without_lease, machines } = shard.next_heartbeat(now)?;
        assert!(shard.acknowledge(id, shard_lease()));
        let covers_until = complete.then_some(now);
        Some(Command::ShardHeartbeat { node, machines, covers_until, without_lease })
    }

    /// The machine in the zone reports to the controller inside, which responds itself or relays the heartbeat.
    fn report_to_controller_inside(&mut self) -> Option<Command> {
        if self.now >= self.cut_off.lease_until {
            self.cut_off.tasks.clear();
        }
        if self.now < self.cut_off.report_due {
            return None;
        }
        let heartbeat = self.cut_off.heartbeat();
        self.cut_off.report_due = self.now + RETRY;
        match self.inside.respond(self.now, &heartbeat, self.connected) {
            ShardResponse::Renewed(token, _) => self.cut_off.handle_response(self.now, token, &[]),
            ShardResponse::Duplicate => panic!("no heartbeat is repeated"),
            ShardResponse::NotResponsible if self.connected => {
                let response_id = heartbeat.sequence;
                self.relayed = Some(heartbeat.clone());
                return Some(Command::Heartbeat { response_id, heartbeat, relayed_by: Some(INSIDE) });
            }
            ShardResponse::NotResponsible => {}
        }
        None
    }

    /// Steps until the condition holds, for at most `patience`.
    fn step_until(&mut self, patience: Duration, condition: impl Fn(&Cluster) -> bool) {
        let until = self.now + patience;
        while !condition(self) {
            assert!(self.now < until, "not reached within {} s", as_seconds(patience));
            self.step();
        }
    }

    /// The zone is connected until its machine has had a response of the new leader, and is cut off again before the
    /// machine's next heartbeat: the leader does not know the machine's tasks.
    fn connect_until_token_arrives(&mut self) {
        self.connected = true;
        self.step_until(2 * REPORT, |cluster| cluster.cut_off.token == TOKEN);
        self.connected = false;
        assert!(!self.scheduler.all_machines_accounted_for());
    }

    /// Waits until the task is started on the spare machine.
    fn started_on_spare_at(&mut self) -> Timestamp {
        let patience = 3 * (shard_lease() + from_seconds(LEASE_S));
        self.step_until(patience, |cluster| cluster.spare.tasks.contains_key(&TASK));
        self.now
    }
}

/// Until when a lease may run that was last renewed at `renewed_until`.
fn lease_end(renewed_until: Timestamp) -> Timestamp {
    renewed_until + limits::worker_lease(LEASE_S)
}

/// Guards against `ran_twice`: the leader took a machine that it did not know the tasks of as accounted for after a fixed time,
/// while the leaseholder inside the zone renewed its lease under the present token.
#[test]
fn a_machine_cut_off_between_its_first_two_heartbeats_keeps_its_tasks_while_a_leaseholder_renews_its_lease() {
    for connected_after_s in [1, 8, 16, 24] {
        let mut cluster = Cluster::new();
        let connected_at = cluster.now + connected_after_s * SECOND;
        cluster.step_until(30 * SECOND, |cluster| cluster.now >= connected_at);
        cluster.connect_until_token_arrives();
        let started_at = cluster.started_on_spare_at();
        let early_s = as_seconds(cluster.cut_off.lease_until.since(started_at));
        assert_eq!(early_s, 0.0, "connected after {connected_after_s} s: started while the lease ran");
        // The last lease that the controller inside can have renewed counts, and nothing beyond it.
        let last_renewal = cluster.inside_heartbeat_at + limits::plus_clock_drift(shard_lease());
        let latest = lease_end(last_renewal) + START_DELAY;
        assert!(
            started_at <= latest,
            "connected after {connected_after_s} s: started {started_at}, {latest}"
        );
    }
}

/// Guards against a broken team limit: a machine whose tasks the leader did not know no longer counted against the limit while
/// a leaseholder renewed its lease.
#[test]
fn a_machine_cut_off_between_its_first_two_heartbeats_counts_against_its_teams_limit_while_its_lease_is_renewed(
) {
    let mut cluster = Cluster::with_team_limit(1.0);
    cluster.step_until(30 * SECOND, |cluster| cluster.now >= Timestamp::from_secs(16));
    cluster.connect_until_token_arrives();
    let new_job = TaskId { job_id: JobId(2), task: 0 };
    cluster.lead(vec![Command::JobAdded(stored_job(new_job.job_id))]);
    cluster
        .step_until(3 * (shard_lease() + from_seconds(LEASE_S)), |cluster| !cluster.spare.tasks.is_empty());
    let early_s = as_seconds(cluster.cut_off.lease_until.since(cluster.now));
    assert_eq!(early_s, 0.0, "the team's second task started while the first one ran");
}

/// Guards against a task that waits for good, or longer than its proof takes: its machine died in the only cut.
#[test]
fn a_task_of_a_machine_that_died_in_the_first_cut_starts_once_the_leases_of_earlier_leaders_have_ended() {
    let mut cluster = Cluster::new();
    let took_over_at = cluster.now;
    cluster.cut_off.report_due = Timestamp::MAX;
    let started_at = cluster.started_on_spare_at();
    let last_renewal = took_over_at + limits::plus_clock_drift(shard_lease());
    let latest = lease_end(last_renewal) + START_DELAY;
    assert!(started_at >= lease_end(last_renewal), "started {started_at} without a proof");
    assert!(started_at <= latest, "started {started_at}, at the latest {latest}");
}

/// Guards against a wait for longer than the proof takes: the first shard heartbeat of a controller that had no shard lease of this
/// leader counted as a renewal of every lease.
#[test]
fn a_task_of_a_machine_that_died_in_the_first_cut_waits_no_longer_because_its_zone_is_connected_again() {
    let mut cluster = Cluster::new();
    let last_renewal = cluster.now + limits::plus_clock_drift(shard_lease());
    cluster.cut_off.report_due = Timestamp::MAX;
    cluster.step_until(60 * SECOND, |cluster| cluster.now >= last_renewal + 9 * SECOND);
    cluster.connected = true;
    let started_at = cluster.started_on_spare_at();
    let latest = lease_end(last_renewal) + START_DELAY;
    assert!(started_at <= latest, "started {started_at}, at the latest {latest}");
}

/// Guards against a task that waits for good: its machine died in the second cut, and the zone stays cut off.
#[test]
fn a_task_of_a_machine_that_died_in_the_second_cut_starts_once_the_shard_lease_of_its_zone_has_ended() {
    let mut cluster = Cluster::new();
    cluster.step_until(30 * SECOND, |cluster| cluster.now >= Timestamp::from_secs(25));
    cluster.connect_until_token_arrives();
    cluster.cut_off.report_due = Timestamp::MAX;
    let started_at = cluster.started_on_spare_at();
    let last_renewal = cluster.inside_heartbeat_at + limits::plus_clock_drift(shard_lease());
    let latest = lease_end(last_renewal) + START_DELAY;
    assert!(started_at <= latest, "started {started_at}, at the latest {latest}");
}

/// Guards against `ran_twice`: the first shard heartbeat of a controller that has restarted counted as covering the responses
/// of its earlier process, which it cannot name.
#[test]
fn a_lease_that_a_controller_renewed_right_before_its_restart_is_not_counted_as_expired_early() {
    let mut cluster = Cluster::new();
    cluster.connected = true;
    // Long against the margin of a lease, so that one response that is not counted shows.
    cluster.cut_off.report_interval = 2 * REPORT;
    cluster.step_until(60 * SECOND, |cluster| cluster.now >= Timestamp::from_secs(40));
    let lease_until = cluster.cut_off.lease_until;
    cluster.step_until(3 * REPORT, |cluster| cluster.cut_off.lease_until > lease_until);
    cluster.inside = Shard::new(8, 3);
    cluster.cut_off.report_due = Timestamp::MAX;
    let started_at = cluster.started_on_spare_at();
    let early_s = as_seconds(cluster.cut_off.lease_until.since(started_at));
    assert_eq!(early_s, 0.0, "started while the lease ran");
}
