//! Every answer that may renew a worker's lease is noted by the leader, whichever way the heartbeat came and whatever
//! overtook it: a task is started elsewhere only once the lease that the last answer gave has surely ended.

use super::common::{self, spec};
use super::stand_ins::{heartbeat, machine_types, outcome};
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{ExitReason, Heartbeat, JobId, Kind, Priority, TaskId, TaskStatus};
use dockpier::scheduler::{Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, TaskCommand};
use dockpier::time::{as_seconds, from_seconds, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const REPORT_S: f64 = 3.0;
const LEASE_S: f64 = 20.0;
const STEP: Duration = Duration::from_millis(100);
/// The replica that must never run twice, and the job beside it that is cancelled.
const REPLICA: TaskId = TaskId { job_id: JobId(1), task: 0 };
const CANCELLED: JobId = JobId(2);

/// A leader with two machines, on the first of which everything runs. The cloud deletes nothing.
struct Cluster {
    scheduler: Scheduler,
    now: Timestamp,
    sequences: BTreeMap<String, u64>,
    running: BTreeMap<String, BTreeMap<TaskId, u64>>,
    /// Heartbeats that were answered, by their numbers.
    answered: BTreeSet<u64>,
    stops_sent: bool,
}

fn service(job_id: JobId) -> Command {
    let spec = spec(job_id.0, Kind::Service, Priority::Critical, 1);
    Command::JobAdded(StoredJob { spec, version: 1, age: Duration::ZERO, succeeded: BTreeSet::new() })
}

impl Cluster {
    /// Both replicas run on `m-000001`; `m-000002` comes up after that and is empty.
    fn new() -> Self {
        let workers =
            dockpier::settings::Workers { report_s: REPORT_S, lease_s: LEASE_S, ..common::config().workers };
        let operator = dockpier::settings::Operator {
            reserve_services: 0,
            idle_s: 36_000.0,
            ..common::config().operator
        };
        let config = Config { workers, operator, zones: vec!["a".into()], ..common::config() };
        let mut cluster = Cluster {
            scheduler: Scheduler::new(config, Timestamp::from_secs(1)),
            now: Timestamp::from_secs(1),
            sequences: BTreeMap::new(),
            running: BTreeMap::new(),
            answered: BTreeSet::new(),
            stops_sent: false,
        };
        cluster.step(vec![machine_types(), Command::StateLoaded { jobs: vec![], records: vec![] }]);
        for _ in 0..3 {
            cluster.send_heartbeat("m-000001");
        }
        cluster.step(vec![service(REPLICA.job_id), service(CANCELLED)]);
        for _ in 0..3 {
            cluster.send_heartbeat("m-000001");
        }
        assert_eq!(cluster.running["m-000001"].len(), 2, "both replicas run on the first machine");
        for _ in 0..3 {
            cluster.send_heartbeat("m-000002");
        }
        cluster
    }

    fn step(&mut self, batch: Vec<Command>) {
        self.now += STEP;
        let mut outcomes = Vec::new();
        for effect in self.scheduler.step(self.now, batch) {
            outcomes.extend(outcome(&effect));
            match effect {
                Effect::HeartbeatResponse { response_id, renewal, task_commands, .. } => {
                    if renewal.is_some() {
                        self.answered.insert(response_id);
                    }
                    let machine = if response_id < 1_000 { "m-000001" } else { "m-000002" };
                    self.carry_out(machine, &task_commands);
                }
                Effect::DirectCommands { machine, .. } => self.stops_sent |= machine == "m-000001",
                _ => {}
            }
        }
        if !outcomes.is_empty() {
            self.step(outcomes);
        }
    }

    /// What the workers hold.
    fn held(&self) -> BTreeSet<(String, TaskId)> {
        let machines = self.running.iter();
        machines.flat_map(|(name, tasks)| tasks.keys().map(move |id| (name.clone(), *id))).collect()
    }

    /// heartbeats of which nothing was taken in.
    fn ignored(&self) -> u64 {
        self.scheduler.overview(&Default::default()).ignored_heartbeats.stale
    }

    fn carry_out(&mut self, machine: &str, task_commands: &[TaskCommand]) {
        let running = self.running.entry(machine.into()).or_default();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    running.insert(*id, *attempt);
                }
                TaskCommand::Stop { id, .. } | TaskCommand::Forget { id, .. } => {
                    running.remove(id);
                }
            }
        }
    }

    /// The worker's next heartbeat: the number under which it is answered, and what it says.
    fn heartbeat(&mut self, machine: &str) -> (u64, Heartbeat) {
        let sequence = self.sequences.entry(machine.into()).or_default();
        *sequence += 1;
        let response_id = *sequence + if machine == "m-000001" { 0 } else { 1_000 };
        let tasks = self.running.get(machine).into_iter().flatten();
        let tasks = tasks.map(|(id, attempt)| (*id, *attempt, TaskStatus::Running));
        let heartbeat = heartbeat(machine, *sequence, FencingToken(u64::from(*sequence > 1)), tasks);
        (response_id, heartbeat)
    }

    fn send_heartbeat(&mut self, machine: &str) {
        let (response_id, heartbeat) = self.heartbeat(machine);
        self.step(vec![Command::Heartbeat { response_id, heartbeat, relayed_by: None }]);
    }

    /// The first machine is silent from now on; returns when its replica is placed on the second.
    fn placed_elsewhere(&mut self) -> Timestamp {
        let until = self.now + 3 * from_seconds(LEASE_S);
        let mut report_due = Timestamp::ZERO;
        while self.now < until {
            if self.now >= report_due {
                report_due = self.now + from_seconds(REPORT_S);
                self.send_heartbeat("m-000002");
            } else {
                self.step(vec![]);
            }
            if self.running.get("m-000002").is_some_and(|running| running.contains_key(&REPLICA)) {
                return self.now;
            }
        }
        panic!("the replica was never placed elsewhere");
    }
}

/// The answer to direct stops reaches the leader before a heartbeat that left the worker earlier. The heartbeat's answer
/// renewed the lease and was not noted: the replica was started elsewhere while it ran.
#[test]
fn a_report_overtaken_by_the_answer_to_direct_stops_renews_the_lease_at_the_leader() {
    let mut cluster = Cluster::new();
    // Its next heartbeat is due after a whole interval, and takes a while to arrive.
    (0..25).for_each(|_| cluster.step(vec![]));
    let (response_id, heartbeat) = cluster.heartbeat("m-000001");
    let sent = cluster.now;
    cluster.step(vec![Command::JobRemoved(CANCELLED)]);
    assert!(cluster.stops_sent, "the cancelled replica is stopped directly");
    let (_, mut direct) = cluster.heartbeat("m-000001");
    let stopped = direct.tasks.iter_mut().find(|task| task.id.job_id == CANCELLED).unwrap();
    stopped.status = TaskStatus::Exited(ExitReason::Stopped);
    // One batch of the owner: outcomes of its own requests come before heartbeats.
    let overtaken = Command::Heartbeat { response_id, heartbeat, relayed_by: None };
    cluster.step(vec![Command::DirectResponse(direct), overtaken]);
    let answered = cluster.answered.contains(&response_id);
    let placed = cluster.placed_elsewhere();
    let lease_ends = sent + from_seconds(LEASE_S);
    assert!(
        !answered || placed >= lease_ends,
        "answered, and placed elsewhere {} s before the lease ended",
        as_seconds(lease_ends.since(placed))
    );
    assert!(placed < lease_ends + 8 * SECOND, "a lost machine keeps its replica away for long");
}

/// What the leader does with a heartbeat of the first machine, besides answering.
fn refused(cluster: &mut Cluster, heartbeat: Heartbeat) -> bool {
    const REPLY: u64 = 999;
    let (held, ignored) = (cluster.held(), cluster.ignored());
    cluster.step(vec![Command::Heartbeat { response_id: REPLY, heartbeat, relayed_by: None }]);
    assert_eq!(cluster.held(), held, "nothing starts or ends because of it");
    assert_eq!(cluster.ignored(), ignored + 1, "it is counted");
    !cluster.answered.contains(&REPLY)
}

/// Nobody waits for the answer to a copy, and an answer that somebody could take for one would renew a lease.
#[test]
fn a_repeated_heartbeat_is_refused_and_counted() {
    let mut cluster = Cluster::new();
    let (response_id, heartbeat) = cluster.heartbeat("m-000001");
    cluster.step(vec![Command::Heartbeat { response_id, heartbeat: heartbeat.clone(), relayed_by: None }]);
    assert!(cluster.answered.contains(&response_id));
    assert!(refused(&mut cluster, heartbeat));
}

/// The worker has started a new agent epoch since, and drops the response.
#[test]
fn a_heartbeat_of_an_earlier_agent_epoch_is_refused_and_counted() {
    let mut cluster = Cluster::new();
    let (_, earlier) = cluster.heartbeat("m-000001");
    cluster.running.clear();
    let (response_id, heartbeat) = cluster.heartbeat("m-000001");
    let heartbeat = Heartbeat { agent_epoch: 2, tasks: vec![], ..heartbeat };
    cluster.step(vec![Command::Heartbeat { response_id, heartbeat, relayed_by: None }]);
    assert!(refused(&mut cluster, earlier));
}

/// The cloud's word is final: a heartbeat that a cut held back brings nothing back.
#[test]
fn a_heartbeat_of_a_deleted_machine_is_refused_and_counted() {
    let mut cluster = Cluster::new();
    let (_, heartbeat) = cluster.heartbeat("m-000001");
    cluster.step(vec![Command::Deleted { machines: vec!["m-000001".into()], outcome: RequestOutcome::Done }]);
    assert!(refused(&mut cluster, heartbeat));
}

/// Once its lease counts as expired, an overtaken heartbeat is too late to renew it.
#[test]
fn an_overtaken_heartbeat_is_refused_once_its_lease_counts_as_expired() {
    let mut cluster = Cluster::new();
    let (_, heartbeat) = cluster.heartbeat("m-000001");
    let (_, direct) = cluster.heartbeat("m-000001");
    cluster.step(vec![Command::DirectResponse(direct)]);
    cluster.placed_elsewhere();
    assert!(refused(&mut cluster, heartbeat));
}
