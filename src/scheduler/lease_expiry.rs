//! Removes all placements from machines whose worker lease has expired, and tracks which machines of earlier
//! leaders are accounted for: those that have stated this leader's fencing token, or whose lease has expired.
//! Called by `Scheduler::step`; placement asks which machines are schedulable.
//!
//! A task may be started elsewhere only when its worker's lease has provably expired. The lease of a machine
//! counts from the latest of four records:
//! - `Machine::last_renewal`: the last response that may have renewed it, by this leader or by a leaseholder;
//! - `HeartbeatTracker::last_at`: when its last heartbeat arrived, as a safeguard (see `heartbeats`);
//! - `Scheduler::loaded_at`: responses before this leader had loaded its state are recorded nowhere else;
//! - `PeerNodes::others_may_have_renewed_until`: another node may have responded until then.
//!
//! A leaseholder may have responded to any machine since its last shard heartbeat, so a lease counts as
//! expired only if it ended at or before the time until which the responses of all leaseholders are known
//! (`PeerNodes::responses_known_until`).

use super::autoscaler::MachineKind;
use super::model::{Job, Machine, MachineState, TerminationProof};
use super::Scheduler;
use crate::limits;
use crate::time::{to_millis, Timestamp};
use std::collections::BTreeSet;
use tracing::info;

impl Machine {
    /// The last time at which its lease may have been renewed, as far as the fields of this `Machine`
    /// show; other nodes may have renewed it later.
    fn lease_renewed_at(&self) -> Timestamp {
        self.last_renewal.renewed_at().max(self.heartbeats.last_at)
    }

    /// Whether an earlier leader may have started tasks on it that this leader does not know.
    pub(super) fn may_hold_unknown_tasks(&self) -> bool {
        self.inherited && !self.accounted_for
    }
}

impl Scheduler {
    /// Whether all machines of earlier leaders are accounted for.
    pub fn all_machines_accounted_for(&self) -> bool {
        self.all_accounted_for
    }

    /// Whether tasks may be placed on the machine, which is not faulty.
    pub(super) fn is_schedulable(&self, machine: &Machine) -> bool {
        !machine.lifecycle.to_be_replaced && self.is_schedulable_as_last_choice(machine)
    }

    /// Whether tasks may be placed on the machine if no other one has room. This includes machines that are
    /// to be replaced because they are faulty, once their backoff has ended: they may be sound again, and they
    /// cannot be replaced while they hold tasks.
    pub(super) fn is_schedulable_as_last_choice(&self, machine: &Machine) -> bool {
        machine.state == MachineState::Ready
            && machine.accounted_for
            && machine.recorded
            && !machine.lifecycle.is_leaving()
            && !self.drains.is_cordoned(&machine.name)
            && !machine.unplaced_tasks.has_tasks_of_unknown_jobs()
            && machine.health.placement_backoff_until <= self.now
            && !self.failure_detector.zone_unreachable(&machine.zone)
            && machine.commands.responses_without_effect < limits::MAX_RESPONSES_WITHOUT_EFFECT
            && self.now < machine.heartbeats.last_at + limits::silence_timeout(self.config.workers.report_s)
    }

    /// Whether every machine on which an earlier leader may have started the job is accounted for: at the
    /// start of the round, all machines of the kinds that the job may use were accounted for.
    pub(super) fn job_machines_accounted_for(&self, job: &Job) -> bool {
        let may_use = |kind: &MachineKind| {
            job.spec.allows_type(&kind.machine_type)
                && job.spec.allows_zone(&kind.zone)
                && (!kind.spot || job.spec.allows_spot)
        };
        self.all_accounted_for || !self.unaccounted_kinds.iter().any(may_use)
    }

    /// Updates the kinds of machine (type, zone, spot) of which some are not accounted for.
    pub(super) fn update_unaccounted_kinds(&mut self) {
        if self.all_accounted_for {
            self.unaccounted_kinds = BTreeSet::new();
            return;
        }
        let unaccounted_kinds = self.machines.values().filter(|machine| machine.may_hold_unknown_tasks());
        self.unaccounted_kinds = unaccounted_kinds.map(MachineKind::of).collect();
    }

    /// Removes all placements from the machines whose leases have expired. Has an effect once per
    /// `EXPIRY_CHECK_INTERVAL`.
    pub(super) fn expire_leases(&mut self) {
        if self.now < self.next_expiry_check_at {
            return;
        }
        self.next_expiry_check_at = self.now + limits::EXPIRY_CHECK_INTERVAL;
        self.observe_zones_and_routes();
        for name in self.expired_machines() {
            self.expire_lease(&name);
        }
        if self.loaded && !self.all_accounted_for {
            self.update_accounted_for();
        }
    }

    /// Until when leases may have been renewed without a record here.
    fn unrecorded_renewals_until(&self) -> Timestamp {
        self.loaded_at.max(self.peers.others_may_have_renewed_until())
    }

    /// When the last lease has ended that was renewed without a record here. Leaseholders of this leader may
    /// still renew leases after that, and name the machines in later shard heartbeats.
    fn unrecorded_leases_end(&self) -> Timestamp {
        self.unrecorded_renewals_until() + limits::worker_lease(self.config.workers.lease_s)
    }

    /// When the last lease of a machine that is not accounted for has ended, if no leaseholder that is silent
    /// now is heard again.
    pub(super) fn inherited_leases_end(&self) -> Timestamp {
        let worker_lease = limits::worker_lease(self.config.workers.lease_s);
        let renewals_end = self.peers.silent_leaseholders_may_renew_until(self.now, self.config.shard_lease);
        self.unrecorded_leases_end().max(renewals_end + worker_lease)
    }

    /// Names of the machines that may have held tasks and whose leases have expired.
    fn expired_machines(&self) -> Vec<String> {
        let worker_lease = limits::worker_lease(self.config.workers.lease_s);
        let responses_known_until =
            self.peers.responses_known_until(self.now, self.config.shard_lease, worker_lease);
        let leases_judged_as_of = self.now.min(responses_known_until);
        let unrecorded_until = self.unrecorded_renewals_until();
        let lease_may_run = |machine: &Machine| {
            // `lease_renewed_at` includes the last heartbeat as a safeguard: without it, if a bug left a
            // renewal unrecorded, a machine newer than this leader would expire as soon as it came up, since
            // its lease would count from `unrecorded_until`.
            leases_judged_as_of < machine.lease_renewed_at().max(unrecorded_until) + worker_lease
        };
        let may_hold_tasks = |machine: &Machine| match machine.state {
            MachineState::Ready => true,
            MachineState::Pending => !machine.tasks.is_empty() || machine.may_hold_unknown_tasks(),
            MachineState::Lost => false,
        };
        self.machines
            .values()
            .filter(|machine| may_hold_tasks(machine) && !lease_may_run(machine))
            .map(|machine| machine.name.clone())
            .collect()
    }

    fn expire_lease(&mut self, name: &str) {
        let Some(machine) = self.machines.get(name) else { return };
        let proof = TerminationProof::LeaseExpired {
            lease_renewed_at: machine.lease_renewed_at(),
            relayed_by: machine.route.relayed_by,
            at: self.now,
        };
        info!(machine = name, proof = %proof, "worker lease expired; tasks on the machine have ended");
        self.remove_all_placements(name, proof);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.state = MachineState::Lost;
            machine.accounted_for = true;
        }
        self.rounds.request();
    }

    /// Updates whether all machines of earlier leaders are accounted for: each has stated this leader's token,
    /// its lease has expired, or it is deleted. Time alone is no proof: a leaseholder may renew, under this
    /// leader's token, the lease of a machine whose tasks this leader does not know.
    fn update_accounted_for(&mut self) {
        self.all_accounted_for = !self.machines.values().any(Machine::may_hold_unknown_tasks);
        if !self.all_accounted_for {
            return self.log_prolonged_wait();
        }
        let after_ms = to_millis(self.now.since(self.loaded_at));
        info!(
            after_ms,
            "all machines of earlier leaders accounted for, by a heartbeat or by an expired lease"
        );
        self.rounds.request();
        // Counts the cold start's verdicts on tasks (such as missing) as of now.
        self.record_cold_start_verdicts();
    }

    /// Logs once that machines are not accounted for although every lease that an earlier leader may have
    /// granted has ended: a leaseholder that is silent now may have renewed theirs.
    fn log_prolonged_wait(&mut self) {
        let ends_at = self.inherited_leases_end();
        if self.prolonged_wait_logged || self.now < self.unrecorded_leases_end() || self.now >= ends_at {
            return;
        }
        self.prolonged_wait_logged = true;
        let awaited = self.machines.values().filter(|machine| machine.may_hold_unknown_tasks());
        let machines = awaited.clone().count();
        let zones: BTreeSet<&str> = awaited.map(|machine| machine.zone.as_str()).collect();
        let at_most_ms = to_millis(ends_at.since(self.now));
        info!(
            machines,
            ?zones,
            at_most_ms,
            "machines of earlier leaders not accounted for: a leaseholder may have renewed their leases"
        );
    }
}
