//! The scheduler at the size of the grown deployments: work bounded by counted decision steps, not by a clock, and
//! troubles told apart that look alike on a handful of machines.

mod common;

use dockpier::limits::{self, SECOND};
use dockpier::scheduler::model::*;
use dockpier::scheduler::overview::PageStart;
use dockpier::scheduler::{
    Command, Config, Effect, Scheduler, StoredJob, StoredMachine, TaskCommand, WriteOutcome,
};
use dockpier::settings::{Operator, Workers};
use std::collections::{BTreeMap, BTreeSet};

const MACHINES: usize = 1_900;
const SLOTS: i64 = 4;

fn spec(job_id: u64, kind: Kind, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        image: format!("i{}", job_id % 7),
        image_gb: 1.0,
        spread: kind == Kind::Service,
        ..common::spec(job_id, kind, priority, tasks)
    }
}

/// A fleet whose workers carry out what they are told, unless they are deaf.
struct Fleet {
    scheduler: Scheduler,
    now: u64,
    sequence: u64,
    /// The token that workers have seen.
    token: u64,
    machines: usize,
    running: BTreeMap<String, BTreeMap<TaskId, u64>>,
    deaf: BTreeSet<String>,
    done: BTreeSet<JobId>,
    deleted: BTreeSet<String>,
    rented: u32,
    /// The cloud has machines, which are up never.
    rents: bool,
    /// Puts and deletes in the state service: for machines, and for finished tasks and jobs.
    machine_writes: usize,
    job_writes: usize,
    /// Tasks never get past their fetch.
    fetching: bool,
    /// The leaseholder that all reports come through.
    via: Option<usize>,
}

fn name(i: usize) -> String {
    format!("m-{i:06}")
}

fn machine_type(config: &Config) -> MachineType {
    MachineType {
        name: "m".into(),
        capacity: Resources::offered(SLOTS as f64, SLOTS as f64, SLOTS as f64),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: config.zones.clone(),
    }
}

/// A machine as an earlier leader recorded it.
fn recorded(i: usize) -> StoredMachine {
    StoredMachine {
        name: name(i),
        machine_type: "m".into(),
        zone: ["a", "b"][i % 2].into(),
        spot: false,
        address: String::new(),
        images: BTreeSet::new(),
    }
}

impl Fleet {
    fn new(machines: usize) -> Fleet {
        Fleet::with_writes(machines, common::config().write_rps)
    }

    /// With so many changes a second that the state service takes.
    fn with_writes(machines: usize, write_rps: f64) -> Fleet {
        let config = Config {
            write_rps,
            // Machines without work are kept: here they are there to be looked at.
            operator: Operator { idle_s: 3_600.0, ..Operator::default() },
            workers: Workers {
                report_s: 4.0,
                lease_s: 20.0,
                cancel_s: 45.0,
                gang_wait_s: 30.0,
                gang_peer_s: 6.0,
            },
            cpu_share: 0.2,
            record_machines: 12,
            ..common::config()
        };
        let machine_type = machine_type(&config);
        let mut fleet = Fleet {
            scheduler: Scheduler::new(config, SECOND),
            now: SECOND,
            sequence: 0,
            token: 1,
            machines,
            running: BTreeMap::new(),
            deaf: BTreeSet::new(),
            done: BTreeSet::new(),
            deleted: BTreeSet::new(),
            rented: 0,
            rents: false,
            machine_writes: 0,
            job_writes: 0,
            fetching: false,
            via: None,
        };
        fleet.step(vec![Command::Types(vec![machine_type]), Command::Load { jobs: vec![], records: vec![] }]);
        (0..3).for_each(|_| fleet.heartbeat());
        fleet
    }

    fn step(&mut self, batch: Vec<Command>) {
        let effects = self.scheduler.step(self.now, batch);
        let mut more = Vec::new();
        for effect in effects {
            match effect {
                Effect::Record { key, .. } => {
                    self.machine_writes += 1;
                    more.push(Command::Recorded { key, outcome: WriteOutcome::Done });
                }
                Effect::Delete(machines) => {
                    self.deleted.extend(machines.iter().cloned());
                    more.push(Command::Deleted { machines, outcome: WriteOutcome::Done });
                }
                Effect::Rent { request, count, .. } => {
                    let names = (0..count).map(|i| format!("r-{:06}", self.rented + i)).collect();
                    self.rented += count;
                    let (machines, outcome) = match self.rents {
                        true => (Some(names), WriteOutcome::Done),
                        false => (None, WriteOutcome::Refused),
                    };
                    more.push(Command::Rented { request, machines, outcome });
                }
                Effect::CommitDone { job_id, tasks, .. } => {
                    self.job_writes += 1;
                    more.push(Command::Committed { job_id, tasks, outcome: WriteOutcome::Done });
                }
                Effect::Finish { job_id, chunks, .. } => {
                    self.job_writes += 2 + chunks.len();
                    more.push(Command::Finished { job_id, outcome: WriteOutcome::Done });
                }
                Effect::HeartbeatResponse { reply, task_commands, .. } => {
                    self.carry_out(&name(reply as usize), task_commands)
                }
                _ => {}
            }
        }
        if !more.is_empty() {
            self.step(more);
        }
    }

    fn carry_out(&mut self, machine: &str, task_commands: Vec<TaskCommand>) {
        if self.deaf.contains(machine) {
            return;
        }
        let running = self.running.entry(machine.into()).or_default();
        for command in task_commands {
            match command {
                TaskCommand::Start { id, attempt } => {
                    running.insert(id, attempt);
                }
                TaskCommand::Stop { id, .. } | TaskCommand::Forget { id, .. } => {
                    running.remove(&id);
                }
            }
        }
    }

    /// All machines report within four seconds, in batches as they come.
    fn heartbeat(&mut self) {
        self.sequence += 1;
        let batches = 40;
        for batch in 0..batches {
            self.now += 4 * SECOND / batches as u64;
            let heartbeats = (batch..self.machines).step_by(batches);
            let commands =
                heartbeats.filter(|i| !self.deleted.contains(&name(*i))).map(|i| self.heartbeat_request(i));
            let commands = commands.collect();
            self.step(commands);
        }
    }

    fn heartbeat_request(&self, i: usize) -> Command {
        let machine = name(i);
        let tasks = self.running.get(&machine).into_iter().flatten();
        let status = if self.fetching { TaskStatus::Fetching } else { TaskStatus::Running };
        let status = |id: &TaskId| match self.done.contains(&id.job_id) {
            true => TaskStatus::Exited(ExitReason::Done),
            false => status,
        };
        let heartbeat =
            |(id, attempt): (&TaskId, &u64)| ReportedTask { id: *id, attempt: *attempt, status: status(id) };
        let tasks = tasks.map(heartbeat).collect();
        let heartbeat = Heartbeat {
            machine,
            address: String::new(),
            machine_type: "m".into(),
            zone: ["a", "b"][i % 2].into(),
            spot: false,
            agent_epoch: 1,
            sequence: self.sequence,
            // The first heartbeat of all states no token yet.
            token: if self.sequence > 1 { self.token } else { 0 },
            notice_s: None,
            tasks,
        };
        Command::Heartbeat { reply: i as u64, heartbeat, via: self.via }
    }

    fn submit(&mut self, spec: JobSpec) {
        let version = spec.job_id.0;
        self.step(vec![Command::JobAdded(StoredJob { spec, version, age: 0, succeeded: BTreeSet::new() })]);
    }

    /// All that runs of the job ends by itself, and is reported so.
    fn complete(&mut self, job_id: u64) {
        self.done.insert(JobId(job_id));
    }

    fn finish(&mut self, job_id: u64) {
        for running in self.running.values_mut() {
            running.retain(|id, _| id.job_id != JobId(job_id));
        }
        self.step(vec![Command::JobRemoved(JobId(job_id))]);
    }

    fn width(&self, job_id: u64) -> usize {
        self.running.values().flat_map(|t| t.keys()).filter(|id| id.job_id == JobId(job_id)).count()
    }
}

/// A round used to look at every machine for every task, for every batch of heartbeats: the leader of 850
/// machines did nothing else. What nobody changed must cost nothing but the idle rounds, and an arrival a
/// few looks at the fleet.
#[test]
fn a_step_costs_by_what_changed_at_any_size() {
    [MACHINES, 4_000, 6_000].into_iter().for_each(a_step_costs_by_what_changed);
}

fn a_step_costs_by_what_changed(machines: usize) {
    let mut fleet = Fleet::new(machines);
    for job_id in 0..250 {
        fleet.submit(spec(job_id, Kind::Service, Priority::Critical, 4));
    }
    for job_id in 250..320 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 30));
    }
    // Each job looked at every machine: at 6,000 a fifth of a core took more than half a minute for these.
    (0..5).for_each(|_| fleet.heartbeat());
    let placed: usize = fleet.running.values().map(BTreeMap::len).sum();
    assert_eq!(placed, 250 * 4 + 70 * 30);

    let calm = fleet.scheduler.steps;
    fleet.heartbeat();
    let idle_rounds = 4 * SECOND / limits::IDLE_ROUND_INTERVAL + 1;
    let each = 2 * machines as u64 + 320;
    assert!(fleet.scheduler.steps - calm <= idle_rounds * each, "{} steps", fleet.scheduler.steps - calm);

    let before = fleet.scheduler.steps;
    fleet.now += SECOND;
    fleet.submit(spec(600, Kind::Array, Priority::Normal, 150));
    let used = fleet.scheduler.steps - before;
    assert!(used <= 10 * machines as u64, "{used} steps for one arrival");
    (0..2).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.width(600), 150);
}

/// The plan walked every machine that was coming for every job that waited: five seconds a plan, while four
/// hundred jobs waited for a thousand machines, and fifty machines of an offer asked for in each.
#[test]
fn a_plan_costs_by_the_queue_and_asks_for_all_that_is_missing() {
    let mut fleet = Fleet::new(0);
    fleet.rents = true;
    for job_id in 0..400 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 10));
    }
    for _ in 0..30 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    // Ten tasks fill two machines and half of a third, and the halves are filled by the next.
    assert_eq!(fleet.rented, 1_000);
    let before = fleet.scheduler.steps;
    for _ in 0..10 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    let plans = fleet.scheduler.steps - before;
    assert!(plans <= 10 * 400 * 12, "{plans} steps in ten plans and rounds");
}

/// The state service takes 30 changes a second where three arrays arrive in one: the floor is the submission,
/// and the final state with the removal of the live record.
#[test]
fn a_job_costs_few_changes_of_the_state_service() {
    let mut fleet = Fleet::new(400);
    let machines = fleet.machine_writes;
    // Machines share records: as many as fit a value, once more when a new one joins.
    assert!(machines <= 2 * 400 / 12 + 2, "{machines} changes for 400 machines");
    for job_id in 0..40 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 30));
    }
    (0..3).for_each(|_| fleet.heartbeat());
    (0..40).for_each(|job_id| fleet.complete(job_id));
    (0..6).for_each(|_| fleet.heartbeat());
    assert!(fleet.scheduler.jobs.is_empty());
    // All its tasks end within one interval of reports here; results are kept on the workers meanwhile.
    assert!(fleet.job_writes <= 40 * 4, "{} changes for 40 jobs", fleet.job_writes);
    let images = fleet.machine_writes - machines;
    assert!(images <= 2 * 400 / 12, "{images} changes for the machines' images");
}

/// A machine came up, was recorded at its first heartbeat, and was deleted at once: it had been taken for
/// one of the last leader's that does not come.
#[test]
fn a_new_machine_is_not_taken_for_one_that_does_not_come() {
    let mut fleet = Fleet::new(0);
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 1));
    // Long after the leader's start, as a boot is.
    (0..5).for_each(|_| fleet.heartbeat());
    fleet.machines = 1;
    fleet.step(vec![Command::Listed(vec![dockpier::scheduler::ListedMachine {
        machine: recorded(0),
        failed: false,
        age_s: 1.0,
    }])]);
    fleet.sequence = 0;
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
    assert_eq!(fleet.width(1), 1);
}

/// Reports arrive, answers do not: the starts sent there were taken for lost again and again, and the
/// machine, ever empty, stayed the best place for them.
#[test]
fn a_deaf_machine_gets_no_more_starts_and_is_deleted_and_the_work_goes_elsewhere() {
    let mut fleet = Fleet::new(12);
    fleet.deaf.insert(name(3));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 44));
    (0..6).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted, BTreeSet::from([name(3)]));
    assert_eq!(fleet.width(1), 44);
}

/// When many seem deaf at once, the answers are lost on our side: deleting them would lose their work.
#[test]
fn machines_that_seem_deaf_together_are_kept() {
    let mut fleet = Fleet::new(12);
    fleet.deaf.extend((0..6).map(name));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 40));
    (0..6).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
    fleet.deaf.clear();
    (0..6).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.width(1), 40);
}

/// A leaseholder heard the leader no more while the leader still heard it: what the leader told machines through
/// it was lost, they seemed deaf, and 141 live machines were deleted.
#[test]
fn machines_that_do_not_hear_us_through_a_leaseholder_are_not_deaf() {
    let mut fleet = Fleet::new(12);
    fleet.scheduler.config.shard_lease = 14 * SECOND;
    fleet.via = Some(1);
    (0..2).for_each(|_| fleet.heartbeat());
    fleet.deaf.extend((0..2).map(name));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 48));
    (0..5).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty());
}

/// The first machines to be missed after a leaseholder was lost were less than a quarter of its shard, and were
/// given up one by one as they fell due: 122 live machines.
#[test]
fn a_lost_leaseholder_does_not_take_its_block_with_it() {
    let mut fleet = Fleet::new(MACHINES);
    fleet.scheduler.config.shard_lease = 14 * SECOND;
    fleet.via = Some(1);
    fleet.submit(spec(1, Kind::Array, Priority::Normal, MACHINES as u32 * SLOTS as u32));
    (0..3).for_each(|_| fleet.heartbeat());
    fleet.machines = 0;
    for _ in 0..4 {
        fleet.heartbeat();
        assert!(fleet.deleted.is_empty());
    }
    // They come another way.
    (fleet.machines, fleet.via) = (MACHINES - 10, None);
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.deleted.is_empty() || fleet.deleted.iter().all(|m| *m >= name(MACHINES - 10)));
}

/// Thirty dead machines of 850 are their own fault, not our network's.
#[test]
fn a_mass_death_is_told_from_a_fault_of_our_own() {
    let mut fleet = Fleet::new(MACHINES);
    fleet.machines = MACHINES - 30;
    (0..4).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted.len(), 30);
}

/// A wide array stood behind a stream of narrow ones, of its class or a higher one, for as long as the
/// stream was more than the fleet could serve.
#[test]
fn the_widest_job_begins_within_four_minutes_under_a_stream_of_narrow_ones() {
    for stream in [Priority::Low, Priority::High] {
        let mut fleet = Fleet::new(3);
        let mut next = 10;
        let mut alive: Vec<u64> = Vec::new();
        let mut wide_since = None;
        let mut began = None;
        for round in 0..100 {
            // Two jobs of a task each a second where twelve places turn over every twelve seconds.
            for _ in 0..8 {
                fleet.submit(spec(next, Kind::Array, stream, 1));
                alive.push(next);
                next += 1;
            }
            let done: Vec<u64> =
                alive.iter().copied().filter(|job_id| fleet.width(*job_id) == 1).take(4).collect();
            for job_id in done {
                fleet.finish(job_id);
                alive.retain(|u| *u != job_id);
            }
            if round == 10 {
                fleet.submit(spec(1, Kind::Array, Priority::Low, 90));
                wide_since = Some(fleet.now);
            }
            fleet.heartbeat();
            if fleet.width(1) > 0 && began.is_none() {
                began = Some(fleet.now);
                // A beginning, and what a round turns over, is not all that it asks for.
                assert!(fleet.width(1) <= 4);
            }
        }
        let waited = began.zip(wide_since).map(|(at, since)| (at - since) / SECOND);
        assert!(waited.is_some_and(|s| s < 240), "stream of {stream:?}: began after {waited:?} s");
    }
}

/// First come, first served made all jobs of a burst alike late. The short ones pass, and the long one still
/// gets its turn: it ages too, only slower.
#[test]
fn of_jobs_that_wait_the_one_with_less_work_left_goes_first_but_not_for_ever() {
    let mut fleet = Fleet::new(1);
    let array = |job_id, tasks| spec(job_id, Kind::Array, Priority::Low, tasks);
    fleet.submit(array(1, 4));
    fleet.heartbeat();
    // The fleet is full. The long job comes first, the short one later.
    fleet.submit(array(2, 200));
    fleet.heartbeat();
    fleet.submit(array(3, 2));
    (0..2).for_each(|_| fleet.heartbeat());
    fleet.finish(1);
    fleet.heartbeat();
    assert_eq!((fleet.width(2), fleet.width(3)), (0, 2));
    fleet.heartbeat();
    assert_eq!(fleet.width(2), 2);
    // An endless row of short ones does not keep the long one out.
    fleet.finish(3);
    fleet.finish(2);
    fleet.submit(array(4, 200));
    for job_id in 10..70 {
        fleet.submit(array(job_id, 2));
        fleet.heartbeat();
        fleet.finish(job_id.saturating_sub(2));
    }
    assert!(fleet.width(4) > 0);
}

/// Four images fetched together on one machine were all there after four fetches; one after the other, the
/// first is there after one. A fetch that hangs must keep nobody out for ever.
#[test]
fn a_machine_fetches_one_image_at_a_time_for_a_while() {
    let mut fleet = Fleet::new(1);
    fleet.fetching = true;
    // Different images: `spec` names them by the job's number.
    (1..4).for_each(|job_id| fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 1)));
    (0..3).for_each(|_| fleet.heartbeat());
    let running = |fleet: &Fleet| (1..4).map(|job_id| fleet.width(job_id)).sum::<usize>();
    assert_eq!(running(&fleet), 1);
    (0..12).for_each(|_| fleet.heartbeat());
    assert_eq!(running(&fleet), 3);
}

/// After a takeover the machines that do not come were judged beside the few that heartbeat to the leader
/// itself, and seemed too many to be their own fault: inherited work waited for the end of their leases.
#[test]
fn machines_that_do_not_come_are_judged_against_all_that_do() {
    let mut fleet = Fleet::new(0);
    fleet.scheduler = Scheduler::new(fleet.scheduler.config.clone(), fleet.now);
    let records = vec![("1-1".to_string(), (0..16).map(recorded).collect())];
    fleet.step(vec![Command::Load { jobs: vec![], records }]);
    // Four of sixteen are dead, and all the others report to a leaseholder.
    (fleet.machines, fleet.via, fleet.sequence) = (12, Some(1), 0);
    (0..4).for_each(|_| fleet.heartbeat());
    assert_eq!(fleet.deleted, (12..16).map(name).collect());
}

/// One-task jobs come four a second for minutes, and a quarter of them is cancelled: ended jobs cost two changes
/// each of the leader's half of fifteen a second, so that nothing piles up, and nobody is left behind.
#[test]
fn a_stream_of_one_task_jobs_ends_as_fast_as_it_comes() {
    const A_ROUND: u64 = 16;
    let mut fleet = Fleet::with_writes(100, 15.0);
    let mut most = 0;
    for round in 0..45 {
        let ids = |round: u64| round * A_ROUND..(round + 1) * A_ROUND;
        for id in ids(round) {
            fleet.submit(spec(id, Kind::Array, Priority::Normal, 1));
        }
        if round > 0 {
            for id in ids(round - 1) {
                // Some are cancelled while they run, some before they do.
                match id % 4 {
                    0 => fleet.finish(id + if id % 8 == 0 { A_ROUND } else { 0 }),
                    _ => fleet.complete(id),
                }
            }
        }
        fleet.heartbeat();
        most = most.max(fleet.scheduler.jobs.len());
    }
    assert!(most <= 4 * A_ROUND as usize, "{most} jobs known at once");
    (0..45 * A_ROUND).for_each(|id| fleet.complete(id));
    (0..4).for_each(|_| fleet.heartbeat());
    assert!(fleet.scheduler.jobs.is_empty(), "{} jobs never ended", fleet.scheduler.jobs.len());
    assert!(fleet.job_writes <= 2 * 45 * A_ROUND as usize, "{} changes", fleet.job_writes);
}

/// Six thousand machines, asked for by a queue that needs them all, are rented within the cloud's pace.
#[test]
fn a_queue_for_six_thousand_machines_is_planned_and_rented() {
    let mut fleet = Fleet::new(0);
    fleet.rents = true;
    for job_id in 0..240 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 100));
    }
    for _ in 0..60 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    assert_eq!(fleet.rented, 6_000);
}

/// A takeover at six thousand machines: every inherited machine is heard once, and nothing is written again or
/// deleted for it.
#[test]
fn a_new_leader_takes_over_six_thousand_machines_without_a_write() {
    let mut fleet = Fleet::new(6_000);
    fleet.scheduler = Scheduler::new(Config { token: 2, ..fleet.scheduler.config.clone() }, fleet.now);
    let machines: Vec<_> = (0..6_000).map(recorded).collect();
    let records =
        machines.chunks(12).enumerate().map(|(i, part)| (format!("1-{i}"), part.to_vec())).collect();
    let types = Command::Types(vec![machine_type(&fleet.scheduler.config)]);
    fleet.step(vec![types, Command::Load { jobs: vec![], records }]);
    let (writes, begun) = (fleet.machine_writes, fleet.now);
    fleet.token = 2;
    (0..3).for_each(|_| fleet.heartbeat());
    assert_eq!((fleet.machine_writes, fleet.deleted.len()), (writes, 0));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 1));
    fleet.heartbeat();
    assert_eq!(fleet.width(1), 1);
    assert!(fleet.now - begun <= 5 * 4 * SECOND);
}

/// Operators see every machine of a large fleet, page by page, and are told that there is more.
#[test]
fn the_overview_leads_through_every_machine() {
    let fleet = Fleet::new(6_000);
    let (mut start, mut seen) = (PageStart::default(), BTreeSet::new());
    loop {
        let page = fleet.scheduler.overview(&start);
        let before = seen.len();
        seen.extend(page.machines.iter().map(|line| line.machine.clone()));
        assert_eq!(seen.len() - before, page.machines.len(), "a machine is shown twice");
        assert_eq!(seen.len() + page.more_machines, 6_000);
        if page.more_machines == 0 {
            break;
        }
        start.after_machine = page.machines.last().map(|line| line.machine.clone());
    }
    assert_eq!(seen.len(), 6_000);
}
