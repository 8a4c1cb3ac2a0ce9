//! Handles workers' heartbeats, from arrival to the reconciled task list. Called by `Scheduler::apply`.
//!
//! The path of a heartbeat through the scheduler:
//! 1. `Scheduler::apply` in `mod.rs` passes a periodic heartbeat to [`Scheduler::handle_heartbeat`]. A
//!    heartbeat that a worker returns in answer to a direct command goes to [`Scheduler::apply_heartbeat`].
//! 2. `apply_heartbeat` classifies it as a [`HeartbeatOutcome`]. An unchanged one is recorded and needs
//!    nothing else. One that is not newer than the newest applied goes to `stale_heartbeats` (overtaken or
//!    stale). For a new one, `response_delivery` checks that the machine receives its responses, `task_lists`
//!    reconciles the task list with the placements, `task_exit` and `placements` apply the results, and
//!    `recall` stops tasks on machines that the cloud is about to recall.
//! 3. `handle_heartbeat` records the lease renewal, before any response is made; a stale heartbeat renews no
//!    lease. The response to a changed heartbeat waits for the next round of decisions, which may start a
//!    task there.
//! 4. `heartbeat_responses` makes the response.
//!
//! A leaseholder is a controller other than the leader that holds the lease of a shard of the machines: it
//! relays their heartbeats to the leader and responds to unchanged ones itself (`lease::shard`). A worker
//! begins a new agent epoch each time it starts over without tasks, for example after its lease has ended.
//!
//! An arrival is recorded in two places:
//! - `Machine::last_renewal`, for lease expiry: set with every response that may have renewed the lease, even
//!   if the task list of the heartbeat was ignored.
//! - `HeartbeatTracker::last_at`, for failure detection: when the machine last showed that it is alive.
//!
//! Wherever `last_at` is set, `last_renewal` is set in the same step. As a safeguard, lease expiry counts
//! from the later of the two.

use super::model::{
    Heartbeat, HeartbeatNumber, HeartbeatSource, Machine, MachineState, ReportedTask, StoredMachine,
    TerminationProof,
};
use super::{Effect, HeartbeatOutcome, PendingHeartbeat, Scheduler};
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::time::{from_seconds, Timestamp};
use std::collections::BTreeSet;
use tracing::info;

/// Boot time assumed for a machine of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

impl Machine {
    /// Whether a periodic heartbeat repeats the last one, and the machine and the leader agree on its tasks
    /// ([`Machine::is_settled`]).
    fn is_unchanged_by(&self, heartbeat: &Heartbeat, token: FencingToken) -> bool {
        heartbeat.agent_epoch == self.heartbeats.newest.agent_epoch
            && heartbeat.sequence > self.heartbeats.newest.sequence
            && heartbeat.token == token
            && heartbeat.notice_s.is_none()
            && self.is_settled()
            && heartbeat.tasks == self.heartbeats.reported_tasks
    }

    /// Records that a periodic heartbeat arrived at `now`, and marks the machine as ready.
    fn record_alive(&mut self, now: Timestamp) {
        self.heartbeats.last_at = now;
        if self.state != MachineState::Ready {
            info!(
                machine = self.name,
                zone = self.zone,
                spot = self.spot,
                "machine ready: new to this leader, or back after its lease expired"
            );
            self.lifecycle.idle_since = now;
            self.state = MachineState::Ready;
        }
    }
}

impl Scheduler {
    /// Returns the machine with the name of `stored`. An unknown one is added, with a deadline for its boot.
    pub(super) fn get_or_add_machine(&mut self, stored: &StoredMachine) -> &mut Machine {
        let machine_type = self.machine_types.get(&stored.machine_type);
        let capacity = machine_type.map(|known| known.capacity).unwrap_or_default();
        let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |known| known.boot_s) * limits::BOOT_TIMEOUT_FACTOR;
        let now = self.now;
        self.machines
            .entry(stored.name.clone())
            .or_insert_with(|| Machine::new(stored, capacity, now, now + from_seconds(boot_s)))
    }

    /// Applies a periodic heartbeat and responds to it, or leaves the response to the next round if it
    /// changed something. `response_id`: number under which the response is sent. `relayed_by`: the
    /// leaseholder that relayed the heartbeat (None: it came directly to the leader's own node).
    pub(super) fn handle_heartbeat(
        &mut self,
        response_id: u64,
        heartbeat: Heartbeat,
        relayed_by: Option<usize>,
    ) {
        if heartbeat.token > self.config.token {
            self.effects.push(Effect::Deposed(heartbeat.token));
            return;
        }
        let name = heartbeat.machine.clone();
        match self.apply_heartbeat(heartbeat, HeartbeatSource::Periodic) {
            HeartbeatOutcome::Changed => {
                self.record_route(&name, relayed_by);
                self.rounds.request();
                let renewal = self.record_renewal(&name);
                self.pending_heartbeats.push(PendingHeartbeat { response_id, machine: name, renewal });
            }
            HeartbeatOutcome::Unchanged => {
                self.record_route(&name, relayed_by);
                let renewal = self.record_renewal(&name);
                self.respond(response_id, &name, renewal);
            }
            HeartbeatOutcome::Overtaken => {
                let renewal = self.record_renewal(&name);
                self.respond_without_commands(response_id, renewal);
            }
            HeartbeatOutcome::Stale => self.respond_without_commands(response_id, None),
        }
    }

    /// Applies what a heartbeat states about its machine, and its task list. Before `Scheduler::load`, has no
    /// effect and returns `Unchanged`, so that the response renews the lease all the same.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
    ) -> HeartbeatOutcome {
        if !self.loaded {
            return HeartbeatOutcome::Unchanged;
        }
        // A heartbeat that was delayed by a network partition may arrive after its machine was deleted. Its
        // tasks may run elsewhere by then, so applying it would show them on two machines.
        if self.autoscaler.deleted.contains_key(&heartbeat.machine) {
            self.ignored_heartbeats.stale += 1;
            return HeartbeatOutcome::Stale;
        }
        if source == HeartbeatSource::Periodic && self.record_if_unchanged(&heartbeat) {
            return HeartbeatOutcome::Unchanged;
        }
        let was_known = self.machines.contains_key(&heartbeat.machine);
        let machine = self.get_or_add_machine(&StoredMachine::of_heartbeat(&heartbeat));
        // Delayed messages arrive out of order, so a task list older than the newest one is ignored.
        if heartbeat.number() <= machine.heartbeats.newest {
            return self.ignore_old_heartbeat(&heartbeat, source);
        }
        self.apply_newest_heartbeat(heartbeat, source, was_known)
    }

    /// Records a periodic heartbeat that repeats the last one. Returns false, without effect, if it does not.
    fn record_if_unchanged(&mut self, heartbeat: &Heartbeat) -> bool {
        let token = self.config.token;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return false };
        if !machine.is_unchanged_by(heartbeat, token) {
            return false;
        }
        machine.heartbeats.record_unchanged(heartbeat.sequence, self.now);
        machine.commands.responses_without_effect = 0;
        true
    }

    /// Applies a heartbeat that is newer than all before it. `was_known`: this leader knew the
    /// machine before the heartbeat arrived.
    fn apply_newest_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        source: HeartbeatSource,
        was_known: bool,
    ) -> HeartbeatOutcome {
        let (now, token, number) = (self.now, self.config.token, heartbeat.number());
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatOutcome::Stale };
        if source == HeartbeatSource::Periodic {
            let agent_epoch = machine.heartbeats.newest.agent_epoch;
            machine.commands.assess_response_delivery(agent_epoch, &heartbeat, token);
        }
        self.end_earlier_agent_epochs(&heartbeat);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatOutcome::Stale };
        machine.heartbeats.record_newest(number, source);
        machine.address = heartbeat.address;
        machine.lifecycle.recall_at = heartbeat.notice_s.map(|seconds| now + from_seconds(seconds));
        // From the first heartbeat with this leader's token on, the leader knows all tasks on the machine.
        machine.accounted_for |= heartbeat.token == token;
        if machine.accounted_for {
            if source == HeartbeatSource::Periodic {
                machine.record_alive(now);
            }
            self.apply_exact_task_list(&heartbeat.machine, heartbeat.tasks, number, source);
        } else if was_known && !machine.recorded {
            // This is the machine's first heartbeat to this leader, or a copy of one sent to an earlier
            // leader, which may be of any age. Its task list is not applied: a task that has moved since
            // would seem to be on two machines. The worker's next heartbeat states this leader's token, and
            // its list is applied. The machine may be long gone, so its record is written only if this
            // leader knew it before the heartbeat arrived, for example from the cloud's list.
            self.request_record_write(&heartbeat.machine);
        }
        HeartbeatOutcome::Changed
    }

    /// Applies the task list of a worker that has stated this leader's token. Such a list is exact: it is no
    /// copy from the time of an earlier leader, so a task that it does not list is not on the machine, unless
    /// its start is still on the way (see `remove_unlisted`).
    fn apply_exact_task_list(
        &mut self,
        name: &str,
        tasks: Vec<ReportedTask>,
        number: HeartbeatNumber,
        source: HeartbeatSource,
    ) {
        let listed = self.apply_task_list(name, &tasks);
        self.remove_unlisted(name, &listed, number, source);
        self.stop_before_recall(name);
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.heartbeats.reported_tasks = tasks;
        if !machine.recorded || machine.image_cache.has_unrecorded_image {
            self.request_record_write(name);
        }
    }

    /// Removes all placements from the machine if the heartbeat begins a new agent epoch of its worker: tasks
    /// of earlier epochs ended with their lease.
    fn end_earlier_agent_epochs(&mut self, heartbeat: &Heartbeat) {
        let agent_epoch = heartbeat.agent_epoch;
        let Some(machine) = self.machines.get(&heartbeat.machine) else { return };
        let previous = machine.heartbeats.newest.agent_epoch;
        if agent_epoch <= previous {
            return;
        }
        if previous > 0 {
            info!(
                machine = heartbeat.machine,
                agent_epoch,
                "worker started over without tasks (new agent epoch); its earlier tasks have ended"
            );
        }
        self.remove_all_placements(&heartbeat.machine, TerminationProof::NewAgentEpoch { agent_epoch });
    }

    fn record_route(&mut self, name: &str, relayed_by: Option<usize>) {
        let now = self.now;
        if let Some(machine) = self.machines.get_mut(name) {
            machine.route.record(relayed_by, now);
        }
    }
}

impl StoredMachine {
    /// The machine as described by its heartbeat, without images.
    fn of_heartbeat(heartbeat: &Heartbeat) -> Self {
        StoredMachine {
            name: heartbeat.machine.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            address: heartbeat.address.clone(),
            images: BTreeSet::new(),
        }
    }
}
