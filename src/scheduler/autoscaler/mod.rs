//! Autoscaler: scale out by the queue, scale in what is idle, lost or emptied. Owns rentals and deletions under way,
//! and which machines are gone.
//!
//! `scaling_plan` decides what is rented, `consolidation` which machines are emptied, `machine_list` reads the
//! cloud's list of machines.

mod deletion_reason;
mod machine_list;
mod offer;

use crate::time::{from_seconds, Timestamp};
pub(super) use deletion_reason::DeletionReason;
pub use offer::MachineKind;
use std::time::Duration;

use super::model::{JobSpec, Machine, MachineState, MachineType, TerminationProof};
use super::scaling_plan::ScalingPlan;
use super::{Effect, RequestOutcome, Scheduler};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// A rental request without a response.
#[derive(Debug)]
pub struct Rental {
    /// What is rented.
    pub offer: MachineKind,
    /// How many machines.
    pub count: u32,
}

/// An offer that the cloud has refused is left alone for a while.
#[derive(Debug, Clone, Copy)]
struct OfferBackoff {
    /// When it may be asked for again.
    until: Timestamp,
    /// The pause that ends then. It doubles with the next refusal.
    pause: Duration,
}

/// State of the autoscaler: rentals under way, refused offers, deleted machines.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// When the next round is due.
    due: Timestamp,
    /// Number of the last rental request.
    pub requests: u64,
    /// Requests without a response, by number.
    pub renting: BTreeMap<u64, Rental>,
    /// Offers that the cloud has refused.
    refused: BTreeMap<MachineKind, OfferBackoff>,
    /// Machines with stops to send directly.
    pub machines_with_direct_stops: BTreeSet<String>,
    /// Silent machines that the cloud's list does not show: since when.
    missing: BTreeMap<String, Timestamp>,
    /// When a replica was last moved.
    pub last_move_at: Timestamp,
    /// Machines that are provably gone, and since when; names are never used again.
    pub deleted: BTreeMap<String, Timestamp>,
    /// A plan that its budget did not suffice for; the next round goes on with it.
    pub plan: Option<ScalingPlan>,
}

impl Autoscaler {
    /// State of a leader that begins now.
    pub fn new(now: Timestamp) -> Self {
        Autoscaler { due: now, ..Autoscaler::default() }
    }
}

impl Scheduler {
    /// Scales out and in once per `AUTOSCALER_INTERVAL`; a plan that its budget did not suffice for goes on before.
    pub(super) fn autoscaler_round(&mut self) {
        if self.now < self.autoscaler.due {
            return;
        }
        if self.autoscaler.plan.is_none() {
            self.account();
            self.delete_lost();
            // Before the machines of the last leader are known, every one of them would look missing.
            if self.all_accounted_for && !self.machine_types.is_empty() {
                self.mark_consolidation_targets();
                self.move_replicas();
                self.begin_plan();
            }
        }
        let is_complete = self.continue_plan();
        let pause = if is_complete { limits::AUTOSCALER_INTERVAL } else { limits::AUTOSCALER_RESUME_DELAY };
        self.autoscaler.due = self.now + pause;
    }

    /// Whether the cloud has refused this offer lately.
    pub(super) fn is_backing_off(&self, offer: &MachineKind) -> bool {
        self.autoscaler.refused.get(offer).is_some_and(|backoff| self.now < backoff.until)
    }

    /// Scale in: deletes machines that have been idle for long enough, except those in `kept`, and those that are to
    /// be replaced as soon as they are idle.
    pub(super) fn delete_idle(&mut self, kept: &BTreeSet<String>) {
        let now = self.now;
        let idle_after = from_seconds(self.config.operator.idle_s);
        let spot_idle_after = from_seconds(self.config.operator.idle_spot_s);
        let mut idle = Vec::new();
        let ready =
            |machine: &&mut Machine| machine.state == MachineState::Ready && !machine.lifecycle.deleting;
        for machine in self.machines.values_mut().filter(ready) {
            if !machine.tasks.is_empty() || machine.unplaced_tasks.has_tasks_of_unknown_jobs() {
                machine.lifecycle.idle_since = now;
                continue;
            }
            // A result that is not stored yet is only here.
            if !machine.unplaced_tasks.exited.is_empty() {
                continue;
            }
            let wait = if machine.spot { spot_idle_after } else { idle_after };
            let is_needed = kept.contains(&machine.name) || self.drains.is_replacement(&machine.name);
            let has_waited = now >= machine.lifecycle.idle_since + wait;
            if has_waited && !is_needed || machine.lifecycle.to_be_replaced {
                idle.push(machine.name.clone());
            }
        }
        self.delete(idle, DeletionReason::Idle);
    }

    /// Deletes machines that are lost or failed to boot, and those that the failure detector gives up.
    fn delete_lost(&mut self) {
        let now = self.now;
        let mut lost = self.machines_to_declare_dead();
        // One in an unreachable zone may be up and unheard, and holds an image for when the zone is back.
        let may_be_deleted = |machine: &&Machine| {
            !machine.lifecycle.deleting && !self.failure_detector.zone_unreachable(&machine.zone)
        };
        for machine in self.machines.values().filter(may_be_deleted) {
            let never_up = machine.state == MachineState::Pending && now >= machine.lifecycle.boot_deadline;
            if never_up || machine.state == MachineState::Lost {
                lost.push(machine.name.clone());
            }
        }
        self.delete(lost, DeletionReason::Lost);
    }

    /// Asks the cloud to delete these machines.
    pub(super) fn delete(&mut self, names: Vec<String>, reason: DeletionReason) {
        for chunk in names.chunks(limits::MAX_MACHINES_PER_DELETION) {
            for name in chunk {
                if let Some(machine) = self.machines.get_mut(name) {
                    info!(machine = name, why = reason.as_str(), "return");
                    machine.lifecycle.deleting = true;
                }
                self.record_decision(format!("return {name}: {reason}"));
            }
            self.effects.push(Effect::Delete(chunk.to_vec()));
        }
    }

    /// The cloud has responded to a deletion. Its 200 is proof: the machine and everything on it are gone.
    pub(super) fn handle_deletion_outcome(&mut self, names: Vec<String>, outcome: RequestOutcome) {
        for name in names {
            match outcome {
                RequestOutcome::Done => self.remove_machine(name),
                RequestOutcome::Refused | RequestOutcome::Unknown => {
                    if let Some(machine) = self.machines.get_mut(&name) {
                        machine.lifecycle.deleting = false;
                    }
                }
            }
        }
    }

    fn remove_machine(&mut self, name: String) {
        self.remove_all_placements(&name, TerminationProof::Deleted);
        self.autoscaler.deleted.insert(name.clone(), self.now);
        self.autoscaler.missing.remove(&name);
        self.note_machine_gone(&name);
        if let Some(machine) = self.machines.remove(&name) {
            self.forget_images(&machine);
        }
        self.unrecord(&name);
    }

    fn forget_images(&mut self, machine: &Machine) {
        for image in &machine.image_cache.images {
            if let Some(warm) = self.machines_by_image.get_mut(image) {
                warm.remove(&machine.name);
                if warm.is_empty() {
                    self.machines_by_image.remove(image);
                }
            }
        }
    }

    /// The cloud has responded to a rental request.
    pub(super) fn handle_rental_outcome(
        &mut self,
        request: u64,
        machines: Option<Vec<String>>,
        outcome: RequestOutcome,
    ) {
        if self.replacement_rented(request, &machines, outcome) {
            return;
        }
        let Some(Rental { offer, count }) = self.autoscaler.renting.remove(&request) else { return };
        let names = machines.unwrap_or_default();
        if outcome == RequestOutcome::Refused || (names.len() as u32) < count {
            self.back_off(&offer);
        } else {
            self.autoscaler.refused.remove(&offer);
        }
        for name in names {
            self.get_or_add_machine(&offer.machine_named(name));
        }
    }

    fn back_off(&mut self, offer: &MachineKind) {
        let first = OfferBackoff { until: Timestamp::ZERO, pause: limits::RENTAL_BACKOFF / 2 };
        let last = self.autoscaler.refused.get(offer).copied().unwrap_or(first);
        // Requests made together that are refused together are one refusal.
        let pause =
            if self.now < last.until { last.pause } else { (last.pause * 2).min(limits::MAX_RENTAL_BACKOFF) };
        debug!(
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.spot,
            pause_s = pause.as_secs(),
            "refused"
        );
        self.autoscaler.refused.insert(offer.clone(), OfferBackoff { until: self.now + pause, pause });
    }

    /// For the operators' log: how many machines there are in each state, and what they hold.
    pub fn usage_line(&self) -> String {
        let count = |counts: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| counts(m)).count();
        let waiting: usize = self.jobs.values().map(|job| job.progress.pending.len()).sum();
        let placed: usize = self.machines.values().map(|machine| machine.tasks.len()).sum();
        format!(
            "ordinary {} spot {} expected {} lost {} tasks placed {} waiting {} jobs {}",
            count(&|machine| machine.state == MachineState::Ready && !machine.spot),
            count(&|machine| machine.state == MachineState::Ready && machine.spot),
            count(&|machine| machine.state == MachineState::Pending),
            count(&|machine| machine.state == MachineState::Lost),
            placed,
            waiting,
            self.jobs.len()
        )
    }

    /// Whether a machine of some type could ever run a task of the job. Without knowledge of the types none could.
    pub fn fits_some_type(job: &JobSpec, types: &BTreeMap<String, MachineType>) -> bool {
        types.values().any(|machine_type| {
            job.allows_type(&machine_type.name)
                && job.resource_request.fits_into(&machine_type.capacity)
                && machine_type.zones.iter().any(|zone| job.allows_zone(zone))
        })
    }
}
