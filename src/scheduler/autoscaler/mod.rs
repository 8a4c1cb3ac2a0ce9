//! What to rent, keep, drain and return. Renting follows the queue.

use super::model::*;
use super::scaling_plan::Plan;
use super::{Effect, ListedMachine, Scheduler, WriteOutcome};
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::{debug, info};

/// One kind of machine that the cloud may have: type, zone, spot or not.
pub type Offer = (String, String, bool);

/// State of the autoscaler: rentals under way, refused offers, deleted machines.
#[derive(Debug, Default)]
pub struct Fleet {
    due: u64,
    /// Number of the last rental request.
    pub requests: u64,
    /// Requests without an answer yet, and how many machines each asks for.
    pub renting: BTreeMap<u64, (Offer, u32)>,
    /// Offers refused: when to ask again, and the pause after that.
    refused: BTreeMap<Offer, (u64, u64)>,
    /// Machines with stops to send directly.
    pub direct: BTreeSet<String>,
    /// Listed machines that a later list no longer shows: since when.
    missing: BTreeMap<String, u64>,
    /// When a replica was last moved.
    pub moved: u64,
    /// Machines that are provably gone, and since when; names are never used again.
    pub deleted: BTreeMap<String, u64>,
    /// A plan that its budget did not suffice for; the next round goes on with it.
    pub plan: Option<Plan>,
}

impl Fleet {
    /// State of a leader that begins now.
    pub fn new(now: u64) -> Self {
        Fleet { due: now, ..Fleet::default() }
    }
}

impl Scheduler {
    /// Scales out and in, once in a while; a plan that its budget did not suffice for goes on.
    pub fn fleet_round(&mut self) {
        if self.now < self.fleet.due {
            return;
        }
        if self.fleet.plan.is_none() {
            self.account();
            self.delete_lost();
            // Before the machines of the last leader are known, every one of them would look missing.
            if self.reconciled && !self.types.is_empty() {
                self.mark_consolidation_targets();
                self.move_replicas();
                self.begin_plan();
            }
        }
        let complete = self.go_on_planning();
        self.fleet.due =
            self.now + if complete { limits::AUTOSCALER_INTERVAL } else { limits::AUTOSCALER_RESUME_DELAY };
    }

    /// Whether the cloud refused this offer lately.
    pub fn refused(&self, offer: &Offer) -> bool {
        self.fleet.refused.get(offer).is_some_and(|(until, _)| self.now < *until)
    }

    /// Scales in: deletes machines that have been idle for long enough, except those in `kept`.
    pub fn return_idle(&mut self, kept: &BTreeSet<String>) {
        let now = self.now;
        let operator = self.config.operator.clone();
        let mut back = Vec::new();
        for machine in
            self.machines.values_mut().filter(|m| m.state == MachineState::Ready && !m.lifecycle.deleting)
        {
            if !machine.tasks.is_empty() || machine.reported.has_unknown() {
                machine.lifecycle.idle_since = now;
                continue;
            }
            // A result that is not committed yet is only here.
            if !machine.reported.exited.is_empty() {
                continue;
            }
            let wait = if machine.spot { operator.idle_spot_s } else { operator.idle_s };
            let needed = kept.contains(&machine.name) || self.drains.is_replacement(&machine.name);
            let idle = now >= machine.lifecycle.idle_since + limits::micros(wait) && !needed;
            if idle || machine.lifecycle.draining {
                back.push(machine.name.clone());
            }
        }
        self.delete(back, "idle");
    }

    /// Machines that are lost, failed to boot, or are silent or deaf while the others are not.
    fn delete_lost(&mut self) {
        let now = self.now;
        let mut back = self.machines_to_declare_dead();
        // One in an unreachable zone may be up and unheard, and holds an image for when the zone is back.
        let may_go = |m: &&Machine| !m.lifecycle.deleting && !self.failure_detector.zone_unreachable(&m.zone);
        for machine in self.machines.values().filter(may_go) {
            let never_up = machine.state == MachineState::Pending && now >= machine.lifecycle.boot_deadline;
            if never_up || machine.state == MachineState::Lost {
                back.push(machine.name.clone());
            }
        }
        self.delete(back, "lost, silent, deaf or never up");
    }

    pub(super) fn delete(&mut self, names: Vec<String>, why: &str) {
        for chunk in names.chunks(limits::MAX_MACHINES_PER_DELETION) {
            for name in chunk {
                if let Some(machine) = self.machines.get_mut(name) {
                    info!(machine = name, why, "return");
                    machine.lifecycle.deleting = true;
                }
                self.decided(format!("return {name}: {why}"));
            }
            self.effects.push(Effect::Delete(chunk.to_vec()));
        }
    }

    /// The cloud answered a deletion.
    pub fn deleted(&mut self, names: Vec<String>, outcome: WriteOutcome) {
        for name in names {
            if outcome != WriteOutcome::Done {
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.lifecycle.deleting = false;
                }
                continue;
            }
            // The cloud's 200 is proof: the machine and everything on it are gone.
            self.release_machine(&name, TerminationProof::Deleted);
            self.fleet.deleted.insert(name.clone(), self.now);
            self.fleet.missing.remove(&name);
            self.note_machine_gone(&name);
            if let Some(machine) = self.machines.remove(&name) {
                self.forget_images(&machine);
            }
            self.unrecord(&name);
        }
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

    /// The cloud answered a rental request.
    pub fn rented(&mut self, request: u64, machines: Option<Vec<String>>, outcome: WriteOutcome) {
        if self.replacement_rented(request, &machines, outcome) {
            return;
        }
        let Some((offer, count)) = self.fleet.renting.remove(&request) else { return };
        let names = machines.unwrap_or_default();
        if outcome == WriteOutcome::Refused || (names.len() as u32) < count {
            let known = self.fleet.refused.get(&offer).copied();
            let (until, pause) = known.unwrap_or((0, limits::RENTAL_BACKOFF / 2));
            // Requests made together that are refused together are one refusal.
            let pause = if self.now < until { pause } else { (pause * 2).min(limits::MAX_RENTAL_BACKOFF) };
            debug!(
                machine_type = offer.0,
                zone = offer.1,
                spot = offer.2,
                pause_s = pause / limits::SECOND,
                "refused"
            );
            self.fleet.refused.insert(offer.clone(), (self.now + pause, pause));
        } else {
            self.fleet.refused.remove(&offer);
        }
        for name in names {
            let (machine_type, zone, spot) = offer.clone();
            self.machine(&super::StoredMachine {
                name,
                machine_type,
                zone,
                spot,
                address: String::new(),
                images: BTreeSet::new(),
            });
        }
    }

    /// The cloud's list of machines arrived. It lags: it is only ever a hint.
    pub fn listed(&mut self, list: Vec<ListedMachine>) {
        let now = self.now;
        self.fleet.deleted.retain(|_, since| now < *since + limits::DELETED_MACHINE_RETENTION);
        let mut shown = BTreeSet::new();
        let mut failed = Vec::new();
        for listed in list {
            shown.insert(listed.machine.name.clone());
            let name = &listed.machine.name;
            let known = self.machines.contains_key(name) || self.fleet.deleted.contains_key(name);
            if !known && self.loaded {
                // A late rental, or one of an earlier leader's: used, or returned when idle.
                debug!(machine = listed.machine.name, "listed and not known: adopted");
                let now = self.now;
                let machine = self.machine(&listed.machine);
                let age = limits::micros(listed.age_s);
                machine.lifecycle.boot_deadline =
                    machine.lifecycle.boot_deadline.saturating_sub(age).max(now + 10 * limits::SECOND);
            }
            if listed.failed {
                failed.push(listed.machine.name);
            }
        }
        failed.retain(|n| self.machines.get(n).is_some_and(|m| !m.lifecycle.deleting));
        self.delete(failed, "failed");
        // The last leader had heard from it, and the list shows it no more: most likely it was taken, and
        // the cloud's word on its deletion lets the work that it may have held start at once.
        let vanished: Vec<String> = self
            .machines
            .values()
            .filter(|m| {
                m.inherited && !m.reconciled && m.state == MachineState::Pending && !m.lifecycle.deleting
            })
            .filter(|m| !shown.contains(&m.name))
            .map(|m| m.name.clone())
            .collect();
        self.delete(vanished, "held by the last leader and not listed");
        // Silent and missing from the lists for several lags: taken by the cloud.
        let lag = limits::micros(self.config.list_lag_s * 4.0) + 10 * limits::SECOND;
        let now = self.now;
        let mut gone = Vec::new();
        for machine in self.machines.values() {
            let silent =
                now >= machine.heartbeats.last_at + limits::silence_timeout(self.config.workers.report_s);
            if shown.contains(&machine.name) || !silent || machine.lifecycle.deleting {
                self.fleet.missing.remove(&machine.name);
                continue;
            }
            let since = *self.fleet.missing.entry(machine.name.clone()).or_insert(now);
            if now >= since + lag && now >= machine.lifecycle.known_since + lag {
                gone.push(machine.name.clone());
            }
        }
        self.delete(gone, "not listed any more");
    }
}

impl Scheduler {
    /// For the operators' log: how the fleet stands.
    pub fn fleet_line(&self) -> String {
        let count = |f: &dyn Fn(&Machine) -> bool| self.machines.values().filter(|m| f(m)).count();
        let waiting: usize = self.jobs.values().map(|j| j.progress.pending.len()).sum();
        let placed: usize = self.machines.values().map(|m| m.tasks.len()).sum();
        format!(
            "ordinary {} spot {} expected {} lost {} tasks placed {} waiting {} jobs {}",
            count(&|m| m.state == MachineState::Ready && !m.spot),
            count(&|m| m.state == MachineState::Ready && m.spot),
            count(&|m| m.state == MachineState::Pending),
            count(&|m| m.state == MachineState::Lost),
            placed,
            waiting,
            self.jobs.len()
        )
    }

    /// Whether any machine could ever run the job: None while the types are not known.
    pub fn fits_some_type(job: &JobSpec, types: &BTreeMap<String, MachineType>) -> bool {
        types.values().any(|t| {
            job.allows_type(&t.name)
                && job.resource_request.fits(&t.capacity)
                && t.zones.iter().any(|z| job.allows_zone(z))
        })
    }
}
