//! What is known of earlier leaders' machines, and when a machine may be counted on or its lease is over.

use super::model::*;
use super::termination_proof::TerminationProof;
use super::{autoscaler, Scheduler};
use crate::limits;
use std::collections::BTreeSet;
use tracing::info;

impl Scheduler {
    /// Whether all machines of earlier leaders are accounted for.
    pub fn is_reconciled(&self) -> bool {
        self.reconciled
    }

    pub fn is_schedulable(&self, machine: &Machine) -> bool {
        machine.state == MachineState::Ready
            && machine.reconciled
            && machine.recorded
            && !machine.lifecycle.draining
            && !machine.lifecycle.deleting
            && !self.drains.is_cordoned(&machine.name)
            && machine.lifecycle.recall_at.is_none()
            && machine.reported.orphaned.is_empty()
            && machine.reported.unverified.is_empty()
            && machine.health.no_room_backoff_until <= self.now
            && !self.failure_detector.zone_unreachable(&machine.zone)
            && machine.commands.unacknowledged_heartbeats < limits::MAX_UNACKNOWLEDGED_HEARTBEATS
            && self.now < machine.heartbeats.last_at + limits::silence_timeout(self.config.workers.report_s)
    }

    /// Whether every machine that an earlier leader may have started the job on is accounted for, as of
    /// the beginning of the round.
    pub fn reconciled_for(&self, job: &Job) -> bool {
        let may_use = |(machine_type, zone, spot): &autoscaler::Offer| {
            job.spec.allows_type(machine_type) && job.spec.allows_zone(zone) && (!spot || job.spec.spot)
        };
        self.reconciled || !self.unreconciled.iter().any(may_use)
    }

    pub(super) fn note_unreconciled(&mut self) {
        let open = self.machines.values().filter(|m| m.inherited && !m.reconciled);
        self.unreconciled = if self.reconciled {
            BTreeSet::new()
        } else {
            open.map(|m| (m.machine_type.clone(), m.zone.clone(), m.spot)).collect()
        };
    }

    pub(super) fn expire_leases(&mut self) {
        if self.now < self.next_expiry_check_at {
            return;
        }
        self.next_expiry_check_at = self.now + limits::LEASE_EXPIRY_INTERVAL;
        self.update_reachability();
        let lease = limits::worker_lease(self.config.workers.lease_s);
        let now = self.now;
        let alive = self.started_at.max(self.kept_alive_until);
        // A leaseholder may have answered anybody since its last word, until its own lease ends.
        let shard_lease = limits::lengthened(self.config.shard_lease);
        let open = self.leaseholders.values().filter(|h| now < h.last_heartbeat_at + shard_lease + lease);
        let covered = open.map(|h| h.covered_until).min().unwrap_or(u64::MAX);
        let ended: Vec<String> = self
            .machines
            .values()
            .filter(|m| m.state != MachineState::Lost)
            // A worker first heard of may have begun its lease as late as then: without its heartbeat in the
            // sum, every machine younger than this leader was given up the moment it came up.
            .filter(|m| now.min(covered) >= m.last_renewal.at().max(m.heartbeats.last_at).max(alive) + lease)
            .filter(|m| {
                m.state == MachineState::Ready || !m.tasks.is_empty() || (m.inherited && !m.reconciled)
            })
            .map(|m| m.name.clone())
            .collect();
        for name in ended {
            let Some(proof) = self.machines.get(&name).map(|m| TerminationProof::lease_expired(m, now))
            else {
                continue;
            };
            info!(machine = name, proof = %proof, "lease expired: its tasks have ended");
            self.release_machine(&name, proof);
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.state = MachineState::Lost;
                machine.reconciled = true;
            }
            self.round_requested = true;
        }
        if !self.reconciled && self.loaded {
            let open = |m: &&Machine| m.inherited && !m.reconciled;
            self.reconciled = now >= alive + lease || self.machines.values().filter(open).count() == 0;
            if self.reconciled {
                info!(
                    after_ms = (now - self.started_at) / 1000,
                    "all machines of earlier leaders reconciled"
                );
                self.round_requested = true;
                self.note_all_accounted_for();
            }
        }
    }
}
