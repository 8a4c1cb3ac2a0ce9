//! The scheduler: the only owner of jobs, tasks, machines and drains. It takes batches of [`Command`]s and
//! returns [`Effect`]s.
//!
//! It is deterministic: it does no I/O and has no clock and no globals. The controller calls
//! [`Scheduler::step`] with the time by its own clock and with the commands that have arrived, and carries
//! out the effects. `heartbeats` describes the path of a heartbeat through these modules.

mod autoscaler;
pub mod cold_start;
mod consolidation;
pub mod drains;
mod elastic;
mod failure_detection;
mod fault_attribution;
mod gang;
mod headroom;
mod heartbeat_responses;
mod heartbeats;
mod job_registry;
mod lease_expiry;
mod messages;
pub mod model;
pub mod overview;
mod peer_nodes;
mod placements;
mod quota;
mod recall;
mod records;
mod response_delivery;
mod rounds;
mod scaling_plan;
mod scoring;
mod stale_heartbeats;
mod task_exit;
mod task_lists;
mod usage;

use crate::time::Timestamp;
pub use messages::{
    Command, Config, Effect, HeartbeatOutcome, ListedMachine, RequestOutcome, StartPermission, StoredJob,
};
pub use model::{StoredMachine, TaskCommand};
pub use stale_heartbeats::IgnoredHeartbeats;

use crate::lease::renewal::LeaseRenewal;
use crate::limits;
use autoscaler::{Autoscaler, MachineKind};
use drains::Drains;
use model::{Heartbeat, HeartbeatSource, Job, JobId, Machine, MachineState, MachineType};
use peer_nodes::PeerNodes;
use rounds::RoundSchedule;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracing::info;

/// A heartbeat whose response waits for the next round of decisions. The lease renewal in that response is
/// already recorded, so that the scheduler does not treat the lease as expired meanwhile.
#[derive(Debug)]
struct PendingHeartbeat {
    /// The controller's number of the request that waits for the response.
    response_id: u64,
    /// Name of the machine.
    machine: String,
    /// Proof that the lease renewal is recorded. None: the machine is gone, so the response renews no lease.
    renewal: Option<LeaseRenewal>,
}

/// The state of a leader's scheduler.
pub struct Scheduler {
    /// Settings, and the fencing token of this leader.
    pub config: Config,
    /// Time of the last step.
    pub now: Timestamp,
    /// When this leader loaded its state; before that, when the scheduler was created.
    pub loaded_at: Timestamp,
    /// Whether it has loaded its state. Until then it makes no decisions.
    pub loaded: bool,

    // The cluster.
    /// All jobs that are not finished, and terminated jobs of which tasks may still run.
    pub jobs: BTreeMap<JobId, Job>,
    /// All machines that are not deleted, by name.
    pub machines: BTreeMap<String, Machine>,
    /// Machine types that the cloud offers, by name.
    pub machine_types: BTreeMap<String, MachineType>,
    /// By image: names of the machines that are known to have it.
    machines_by_image: BTreeMap<String, BTreeSet<String>>,
    /// Rentals and deletions of machines.
    pub autoscaler: Autoscaler,
    drains: Drains,

    // Decisions.
    rounds: RoundSchedule,
    start_permission: StartPermission,
    /// Decision steps of all rounds and scaling plans so far. Tests bound them instead of run time.
    pub decision_steps: u64,
    /// Number of attempts that this leader has started.
    attempts_started: u64,
    /// Mean estimated work of a job in seconds, over the arrays and gangs that were not terminated at the
    /// last round. The work of a job is the sum of the estimated run times of all its tasks.
    mean_job_work: f64,
    /// Recent decisions for operators, the oldest first.
    recent_decisions: VecDeque<String>,
    /// Use of machines by teams and jobs that has not been logged.
    usage_ledger: usage::UsageLedger,

    // Heartbeats and leases.
    /// Heartbeats that have changed something. They get their responses after the next round, which may start
    /// tasks on their machines.
    pending_heartbeats: Vec<PendingHeartbeat>,
    ignored_heartbeats: IgnoredHeartbeats,
    peers: PeerNodes,
    failure_detector: failure_detection::FailureDetector,
    /// Time of the next check for expired leases.
    next_expiry_check_at: Timestamp,

    // Machines and tasks of earlier leaders.
    /// Whether each machine of earlier leaders is accounted for (see [`Machine::accounted_for`]) or deleted.
    all_accounted_for: bool,
    /// Whether the log says that some of them wait for longer than earlier leaders' leases (see `lease_expiry`).
    prolonged_wait_logged: bool,
    /// Kinds of machine (type, zone, spot) of which at least one machine of an earlier leader is not
    /// accounted for, as of the last round.
    unaccounted_kinds: BTreeSet<MachineKind>,
    cold_start: cold_start::ColdStart,

    // Persistence.
    /// Records of machines in the state service, and their due writes.
    machine_records: records::Records,
    /// Limits the writes to the state service.
    write_budget: crate::token_bucket::TokenBucket,

    /// Effects of the current step so far.
    effects: Vec<Effect>,
}

impl Scheduler {
    /// A scheduler that has not loaded its state yet.
    pub fn new(config: Config, now: Timestamp) -> Self {
        let write_budget = records::write_budget(config.write_rps, now);
        // Controllers that hold a shard lease from the last leader (leaseholders, see `messages`) may renew
        // worker leases until that shard lease expires.
        let others_may_have_renewed_until = now + limits::plus_clock_drift(config.shard_lease);
        Scheduler {
            config,
            now,
            loaded_at: now,
            loaded: false,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machine_types: BTreeMap::new(),
            machines_by_image: BTreeMap::new(),
            autoscaler: Autoscaler::new(now),
            drains: Drains::default(),
            rounds: RoundSchedule::new(),
            start_permission: StartPermission { may_start_tasks: true, held_jobs: BTreeSet::new() },
            decision_steps: 0,
            attempts_started: 0,
            mean_job_work: 0.0,
            recent_decisions: VecDeque::new(),
            usage_ledger: usage::UsageLedger::default(),
            pending_heartbeats: Vec::new(),
            ignored_heartbeats: IgnoredHeartbeats::default(),
            peers: PeerNodes::new(others_may_have_renewed_until),
            failure_detector: failure_detection::FailureDetector::default(),
            next_expiry_check_at: Timestamp::ZERO,
            all_accounted_for: false,
            prolonged_wait_logged: false,
            unaccounted_kinds: BTreeSet::new(),
            cold_start: cold_start::ColdStart::default(),
            machine_records: records::Records::default(),
            write_budget,
            effects: Vec::new(),
        }
    }

    /// Records that another node may have renewed leases of workers until `at`: the scheduler treats none of
    /// them as expired until a full worker lease has passed since `at`.
    pub fn record_others_may_have_renewed_until(&mut self, at: Timestamp) {
        self.peers.record_others_may_have_renewed_until(at);
    }

    /// Records that this leader cannot reach these nodes at `now`.
    pub fn record_unreachable_nodes(&mut self, now: Timestamp, nodes: impl Iterator<Item = usize>) {
        self.peers.record_unreachable(now, nodes);
    }

    /// Records which tasks this leader may start. While it may start none, it decides nothing about starts. Its
    /// responses to heartbeats contain only starts that it may send.
    pub fn record_start_permission(&mut self, permission: StartPermission) {
        let StartPermission { may_start_tasks, .. } = permission;
        if self.start_permission.may_start_tasks != may_start_tasks {
            info!(may_start_tasks, "permission to start tasks changed: knowledge of cancellations");
        }
        self.start_permission = permission;
    }

    /// Applies a batch of commands at `now`, makes the decisions that are due, and returns the effects to
    /// carry out.
    #[must_use = "effects that are not carried out are lost, responses to heartbeats among them"]
    pub fn step(&mut self, now: Timestamp, batch: Vec<Command>) -> Vec<Effect> {
        self.now = self.now.max(now);
        for command in batch {
            self.apply(command);
        }
        self.expire_leases();
        if self.loaded {
            if self.start_permission.may_start_tasks && self.rounds.begin_if_due(self.now) {
                self.run_decision_round();
            }
            self.send_due_writes();
            self.autoscaler_round();
            self.drain_round();
            self.cold_start_round();
            self.send_direct_stops();
        }
        self.respond_to_pending_heartbeats();
        std::mem::take(&mut self.effects)
    }

    /// Responds to the heartbeats that have changed something, unless a round is still requested: that round
    /// may start tasks on their machines.
    fn respond_to_pending_heartbeats(&mut self) {
        if self.rounds.is_requested() && self.loaded && self.start_permission.may_start_tasks {
            return;
        }
        for PendingHeartbeat { response_id, machine, renewal } in std::mem::take(&mut self.pending_heartbeats)
        {
            self.respond(response_id, &machine, renewal);
        }
    }

    /// Applies one command. Every command except heartbeats requests a round. The handlers of heartbeats
    /// request one if something has changed.
    fn apply(&mut self, command: Command) {
        match command {
            Command::Heartbeat { response_id, heartbeat, relayed_by } => {
                return self.handle_heartbeat(response_id, heartbeat, relayed_by);
            }
            Command::ShardHeartbeat { node, machines, covers_until, without_lease } => {
                return self.handle_shard_heartbeat(node, machines, covers_until, without_lease);
            }
            Command::DirectResponse(heartbeat) => return self.handle_direct_response(heartbeat),
            Command::StateLoaded { jobs, records } => self.load(jobs, records),
            Command::JobAdded(stored) => self.add_job(stored, /* inherited */ false),
            Command::JobRemoved(job_id) => self.terminate_job(job_id),
            Command::FinishedTasksWritten { job_id, tasks, outcome } => {
                self.handle_finished_tasks_written(job_id, tasks, outcome)
            }
            Command::JobEndWritten { job_id, outcome } => self.handle_job_end_written(job_id, outcome),
            Command::MachineRecordWritten { key, outcome } => {
                self.handle_machine_record_written(&key, outcome)
            }
            Command::MachineTypes(types) => self.set_machine_types(types),
            Command::Rented { request, machines, outcome } => {
                self.handle_rental_outcome(request, machines, outcome)
            }
            Command::Deleted { machines, outcome } => self.handle_deletion_outcome(machines, outcome),
            Command::MachinesListed(list) => self.handle_machine_list(list),
            Command::LoadDrains(stored) => self.load_drains(stored),
            Command::DrainRequests(requests) => self.handle_drain_requests(requests),
            Command::DrainWritten { key, outcome } => self.handle_drain_written(&key, outcome),
            Command::JobRead { job_id, sent_at, reading } => self.handle_job_read(job_id, sent_at, reading),
            Command::ColdStartWritten(outcome) => {
                self.handle_cold_start_written(outcome == RequestOutcome::Done)
            }
        }
        self.rounds.request();
    }

    fn handle_shard_heartbeat(
        &mut self,
        node: usize,
        machines: Vec<String>,
        covers_until: Option<Timestamp>,
        without_lease: bool,
    ) {
        if without_lease && self.peers.may_have_had_shard_lease(node) {
            // A leaseholder that crashed has lost the names of the machines to which it responded. If its
            // first shard heartbeat were taken to cover the time before the crash, leases that still run
            // would be treated as expired (`tests/leases/second_cut.rs`). A node that had no shard lease of
            // this leader has responded to no machine under its token.
            self.record_others_may_have_renewed_until(self.now);
        }
        self.apply_shard_heartbeat(node, machines, covers_until);
    }

    fn handle_direct_response(&mut self, heartbeat: Heartbeat) {
        match self.apply_heartbeat(heartbeat, HeartbeatSource::DirectResponse) {
            HeartbeatOutcome::Changed => self.rounds.request(),
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Overtaken | HeartbeatOutcome::Stale => {}
        }
    }

    fn load(&mut self, jobs: Vec<StoredJob>, records: Vec<(String, Vec<StoredMachine>)>) {
        info!(jobs = jobs.len(), records = records.len(), "loaded jobs and machine records");
        for stored in jobs {
            self.add_job(stored, /* inherited */ true);
        }
        for (key, machines) in records {
            self.load_record(key, machines);
        }
        // Until now this leader knew no machine, and responded to heartbeats without recording the renewals:
        // any lease may have been renewed until now.
        self.loaded_at = self.now;
        self.loaded = true;
        self.begin_cold_start();
    }

    fn set_machine_types(&mut self, types: Vec<MachineType>) {
        self.machine_types =
            types.into_iter().map(|machine_type| (machine_type.name.clone(), machine_type)).collect();
        for machine in self.machines.values_mut() {
            if let Some(machine_type) = self.machine_types.get(&machine.machine_type) {
                machine.capacity = machine_type.capacity;
            }
        }
    }

    /// Number of machines that send heartbeats and are not being deleted.
    pub fn ready_machine_count(&self) -> u32 {
        let is_up = |machine: &&Machine| machine.state == MachineState::Ready && !machine.lifecycle.deleting;
        self.machines.values().filter(is_up).count() as u32
    }
}
