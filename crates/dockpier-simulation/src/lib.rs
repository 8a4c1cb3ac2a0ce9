//! A fleet in virtual time: the real scheduler as the leader, and stand-ins for workers, cloud and state service that keep
//! their own records of what happened. Tests and measurements judge by those records, not by the scheduler's.

#![deny(missing_docs)]

mod cloud;
mod history;
mod layout;
mod store;
mod worker;

pub use history::{Disruption, History};
pub use layout::{job, Layout, MACHINE_TYPE};
pub use store::Store;
pub use worker::{Worker, WorkerTask};

use dockpier::scheduler::model::{JobId, JobSpec, MachineType, Resources};
use dockpier::scheduler::{Command, Config, Effect, RequestOutcome, Scheduler, StoredJob, TaskCommand};
use dockpier::time::{as_seconds, from_seconds, Timestamp};
use dockpier_drain::request::{DesiredState, DrainRequest, StoredRequest};
use layout::config;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Resolution of the fleet's time.
const TICK: Duration = Duration::from_millis(100);
/// The time of day at which a fleet begins, in milliseconds since 1970.
pub const DAY_BEGINS: u64 = 1_700_000_000_000;
/// Time from the end of a leader to the first step of the next.
const ELECTION: Duration = Duration::from_secs(3);
/// Response time of the state service and the cloud.
const RESPONSE_TIME: Duration = Duration::from_millis(100);
/// A fleet of this many machines is observed once a second instead of at each tick.
const LARGE_FLEET: usize = 1_000;
/// Interval between readings of the cloud's machine list.
const LIST_INTERVAL: Duration = Duration::from_secs(4);

/// A leader with everything around it.
pub struct Fleet {
    /// The leader.
    pub scheduler: Scheduler,
    /// The state service.
    pub store: Store,
    /// What happened on the workers.
    pub history: History,
    /// Effects of the scheduler that tests may look at: the last step's.
    pub last_effects: Vec<Effect>,
    /// Every effect of the scheduler with its time, in a fleet that keeps them.
    recorded: Option<Vec<(Timestamp, Effect)>>,
    layout: Layout,
    config: Config,
    now: Timestamp,
    workers: BTreeMap<String, Worker>,
    /// Rentals by name: the same name again rents nothing more.
    rentals: BTreeMap<String, Vec<String>>,
    made: usize,
    /// Commands that reach the scheduler later.
    later: Vec<(Timestamp, Command)>,
    list_due: Timestamp,
    /// Machines that never come up.
    pub never_boot: usize,
}

impl Fleet {
    /// A fleet whose machines are up.
    pub fn new(layout: Layout) -> Self {
        Self::begin(layout, None)
    }

    /// The same, and every effect of its scheduler is kept until it is taken (`take_recorded`).
    pub fn recording(layout: Layout) -> Self {
        Self::begin(layout, Some(Vec::new()))
    }

    /// Effects since they were last taken, with the time of their step, in a fleet that keeps them.
    pub fn take_recorded(&mut self) -> Vec<(Timestamp, Effect)> {
        self.recorded.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn begin(layout: Layout, recorded: Option<Vec<(Timestamp, Effect)>>) -> Self {
        let config = config(&layout);
        let now = Timestamp::from_secs(1);
        let mut fleet = Fleet {
            scheduler: Scheduler::new(config.clone(), now),
            store: Store::default(),
            history: History::default(),
            last_effects: Vec::new(),
            recorded,
            config,
            now,
            workers: BTreeMap::new(),
            rentals: BTreeMap::new(),
            made: 0,
            later: Vec::new(),
            list_due: Timestamp::ZERO,
            never_boot: 0,
            layout,
        };
        for zone in fleet.layout.zones.clone() {
            for _ in 0..fleet.layout.machines {
                fleet.make_machine(&zone, Duration::ZERO);
            }
        }
        fleet.load();
        fleet.run(4.0);
        fleet
    }

    /// The steady clock.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Seconds of the steady clock that have passed since `instant`.
    pub fn seconds_since(&self, instant: Timestamp) -> f64 {
        as_seconds(self.now.since(instant))
    }

    /// The time of day in milliseconds.
    pub fn day_ms(&self) -> u64 {
        DAY_BEGINS + self.now.as_millis()
    }

    /// Names of machines that are there, with their workers.
    pub fn workers(&self) -> impl Iterator<Item = (&str, &Worker)> {
        self.workers.iter().map(|(name, worker)| (name.as_str(), worker))
    }

    /// Names of machines that are there.
    pub fn machine_names(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// The cloud's rentals by name.
    pub fn rentals(&self) -> &BTreeMap<String, Vec<String>> {
        &self.rentals
    }

    /// A user submits a job.
    pub fn submit(&mut self, spec: JobSpec) {
        let stored =
            StoredJob { version: spec.job_id.0, spec, age: Duration::ZERO, succeeded: BTreeSet::new() };
        self.store.jobs.insert(stored.spec.job_id, stored.clone());
        self.step(vec![Command::JobAdded(stored)]);
    }

    /// A user cancels a job.
    pub fn cancel(&mut self, job_id: u64) {
        self.store.jobs.remove(&JobId(job_id));
        self.history.forget_job(JobId(job_id));
        self.step(vec![Command::JobRemoved(JobId(job_id))]);
    }

    /// An operator asks for a drain.
    pub fn drain(&mut self, request: DrainRequest) {
        let stored = StoredRequest { request, accepted: self.day_ms(), desired_state: DesiredState::Run };
        self.store.requests.insert(stored.request.id.clone(), stored);
        self.tell_requests();
    }

    /// An operator wants something else of a drain.
    pub fn set_desired_state(&mut self, id: &str, wish: DesiredState) {
        for stored in self.store.requests.values_mut().filter(|stored| stored.request.id.as_str() == id) {
            stored.desired_state = wish;
        }
        self.tell_requests();
    }

    fn tell_requests(&mut self) {
        let requests = self.store.requests.values().cloned().collect();
        self.step(vec![Command::DrainRequests(requests)]);
    }

    /// Time passes.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + from_seconds(seconds);
        while self.now < until {
            self.tick();
        }
    }

    /// Time passes until something holds; returns whether it came to that.
    pub fn run_until(&mut self, most_s: f64, mut holds: impl FnMut(&Fleet) -> bool) -> bool {
        let until = self.now + from_seconds(most_s);
        while self.now < until {
            if holds(self) {
                return true;
            }
            self.tick();
        }
        holds(self)
    }

    /// The leader ends and another one takes over.
    pub fn change_leader(&mut self) {
        self.lose_all_controllers(as_seconds(ELECTION));
    }

    /// Every controller ends; the next leader starts after `seconds`.
    pub fn lose_all_controllers(&mut self, seconds: f64) {
        self.later.clear();
        let until = self.now + from_seconds(seconds);
        while self.now < until {
            self.now += TICK;
            self.work();
        }
        self.config.token = self.config.token.next();
        self.scheduler = Scheduler::new(self.config.clone(), self.now);
        self.load();
    }

    /// A machine ends with everything on it.
    pub fn kill_machine(&mut self, name: &str) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.dead = true;
            worker.lose_tasks(now, &mut self.history);
        }
    }

    /// A machine hangs: its tasks stand still, it neither sends heartbeats nor takes commands.
    pub fn hang_machine(&mut self, name: &str, seconds: f64) {
        let until = self.now + from_seconds(seconds);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.hangs_until = until;
        }
    }

    /// The cloud announces that it takes a machine.
    pub fn announce_loss(&mut self, name: &str, seconds: f64) {
        let at = self.now + from_seconds(seconds);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.taken_at = Some(at);
        }
    }

    /// One step of time.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.work();
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        let mut batch: Vec<Command> = due.into_iter().map(|(_, command)| command).collect();
        batch.extend(self.heartbeats());
        if now >= self.list_due {
            self.list_due = now + LIST_INTERVAL;
            batch.push(Command::MachinesListed(self.list()));
        }
        self.step(batch);
        // A look at every task: in a large fleet once a second.
        if self.workers.len() < LARGE_FLEET || now.as_micros() % 1_000_000 == 0 {
            let running_tasks = self.workers.values().flat_map(|worker| worker.running_tasks(now));
            self.history.observe(&self.scheduler, running_tasks);
        }
    }

    fn work(&mut self) {
        let now = self.now;
        let lease = from_seconds(self.config.workers.lease_s);
        let taken: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.taken_at.is_some_and(|at| now >= at))
            .map(|(name, _)| name.clone())
            .collect();
        for name in taken {
            self.kill_machine(&name);
            self.workers.remove(&name);
        }
        for worker in self.workers.values_mut() {
            worker.work(now, lease, &mut self.history);
        }
    }

    fn heartbeats(&mut self) -> Vec<Command> {
        let now = self.now;
        let interval = from_seconds(self.layout.report_s);
        let due = self.workers.values_mut().filter(|worker| worker.is_heartbeat_due(now));
        due.map(|worker| {
            worker.next_report = now + interval;
            Command::Heartbeat {
                response_id: worker.number,
                heartbeat: worker.heartbeat(now),
                relayed_by: None,
            }
        })
        .collect()
    }

    fn step(&mut self, batch: Vec<Command>) {
        self.scheduler.time_of_day(self.now, self.day_ms());
        let effects = self.scheduler.step(self.now, batch);
        if let Some(recorded) = &mut self.recorded {
            recorded.extend(effects.iter().map(|effect| (self.now, effect.clone())));
        }
        for effect in &effects {
            self.carry_out(effect.clone());
        }
        if !effects.is_empty() {
            self.last_effects = effects;
        }
    }

    fn answer(&mut self, command: Command) {
        self.later.push((self.now + RESPONSE_TIME, command));
    }

    /// Applies an effect of the scheduler to workers, cloud and state service.
    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::HeartbeatResponse { response_id, task_commands, .. } => {
                self.deliver_response(response_id, &task_commands);
            }
            Effect::DirectCommands { machine, agent_epoch, task_commands, .. } => {
                self.deliver_direct(&machine, agent_epoch, &task_commands);
            }
            Effect::Rent { request, name, zone, spot, count, .. } => {
                let token = self.config.token;
                let name = name.unwrap_or_else(|| format!("r-{token}-{request}"));
                let (machines, outcome) = self.rent(&name, &zone, spot, count);
                self.answer(Command::Rented { request, machines, outcome });
            }
            Effect::Delete(machines) => self.delete(machines),
            Effect::ReadJob { job_id } => {
                let (sent_at, reading) = (self.now, self.store.read_job(job_id));
                self.answer(Command::JobRead { job_id, sent_at, reading });
            }
            Effect::WriteJobEnd { job_id, .. } => {
                self.store.jobs.remove(&job_id);
                self.answer(Command::JobEndWritten { job_id, outcome: RequestOutcome::Done });
            }
            effect @ (Effect::WriteFinishedTasks { .. }
            | Effect::WriteMachineRecord { .. }
            | Effect::WriteDrain { .. }
            | Effect::WriteColdStart(_)
            | Effect::RequestRelay { .. }
            | Effect::Deposed(_)) => {
                if let Some(command) = self.store.carry_out(effect) {
                    self.answer(command);
                }
            }
        }
    }

    /// Hands the response to the worker whose number is the response's id.
    fn deliver_response(&mut self, response_id: u64, task_commands: &[TaskCommand]) {
        let (now, token) = (self.now, self.config.token);
        if let Some(worker) = self.workers.get_mut(&machine_name(response_id)) {
            worker.answered(now, token, task_commands, &mut self.history);
        }
    }

    /// Hands commands to a worker outside a heartbeat, if its agent epoch is still the addressed one.
    fn deliver_direct(&mut self, machine: &str, agent_epoch: u64, task_commands: &[TaskCommand]) {
        let now = self.now;
        let addressed = self.workers.get_mut(machine).filter(|worker| worker.agent_epoch == agent_epoch);
        if let Some(worker) = addressed {
            worker.take_direct(now, task_commands, &mut self.history);
        }
    }

    /// The cloud deletes machines with everything on them.
    fn delete(&mut self, machines: Vec<String>) {
        for name in &machines {
            self.kill_machine(name);
            self.workers.remove(name);
        }
        self.history.returned.extend(machines.iter().cloned());
        self.answer(Command::Deleted { machines, outcome: RequestOutcome::Done });
    }

    /// A leader begins with what the state service holds.
    fn load(&mut self) {
        let slots = self.layout.slots;
        let machine_type = MachineType {
            name: MACHINE_TYPE.into(),
            capacity: Resources::rounded_down(slots, slots, slots),
            price: 1.0,
            spot_price: None,
            boot_s: self.layout.boot_s,
            fetch_gb_per_s: worker::FETCH_GB_PER_S,
            zones: self.layout.zones.clone(),
        };
        let mut batch = vec![Command::MachineTypes(vec![machine_type])];
        if self.layout.operator.draining.enabled {
            batch.push(Command::LoadDrains(self.store.loaded_drains()));
        }
        let readable =
            self.store.jobs.values().filter(|job| !self.store.unreadable.contains(&job.spec.job_id));
        let (jobs, records) = (readable.cloned().collect(), self.store.records());
        batch.push(Command::StateLoaded { jobs, records });
        self.step(batch);
    }
}

fn machine_name(number: u64) -> String {
    format!("m-{number:06}")
}
