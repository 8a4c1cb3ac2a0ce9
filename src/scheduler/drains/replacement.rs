//! Replacements: a machine like the one to be drained is rented and up before that one is cordoned.
//!
//! The rental's name follows from the drain, the machine and the attempt. So whoever leads asks under the same name,
//! and the cloud rents one machine however often it is asked.

use super::ReplacementFor;
use crate::limits;
use crate::scheduler::autoscaler::MachineKind;
use crate::scheduler::model::MachineState;
use crate::scheduler::{Effect, RequestOutcome, Scheduler};
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use tracing::info;

/// A machine whose replacement is under way.
struct Replacing {
    drain: DrainId,
    machine: String,
    attempt: u32,
    /// Name of the replacement, once the cloud has rented it.
    replacement: Option<String>,
    /// Whether this state is stored.
    is_stored: bool,
}

impl Replacing {
    fn is_asked_for(&self, purpose: &ReplacementFor) -> bool {
        purpose.drain == self.drain && purpose.machine == self.machine
    }

    fn starting(&self) -> Wait {
        Wait::ReplacementStarting { machine: self.machine.clone() }
    }
}

impl Scheduler {
    /// Goes on with every machine that is being replaced.
    pub(super) fn advance_replacements(&mut self) {
        for replacing in self.replacements_under_way() {
            if !self.machines.contains_key(&replacing.machine) {
                self.drains.advance(&replacing.drain, &replacing.machine, MachineDrainState::Gone);
                continue;
            }
            match &replacing.replacement {
                None if replacing.is_stored => self.rent_replacement(&replacing),
                None => self.drains.add_wait(&replacing.drain, Wait::Unwritten),
                Some(name) => self.await_replacement(&replacing, name),
            }
        }
    }

    fn replacements_under_way(&self) -> Vec<Replacing> {
        let mut found = Vec::new();
        for id in self.drains.active() {
            let drain = &self.drains.drains[&id];
            for (chunk, write) in drain.progress.chunks().iter().zip(&drain.chunk_writes) {
                for entry in &chunk.machines {
                    if let MachineDrainState::Replacing { attempt, machine } = &entry.state {
                        found.push(Replacing {
                            drain: id.clone(),
                            machine: entry.machine.clone(),
                            attempt: *attempt,
                            replacement: machine.clone(),
                            is_stored: write.is_stored(),
                        });
                    }
                }
            }
        }
        found
    }

    fn rent_replacement(&mut self, replacing: &Replacing) {
        if self.drains.renting.values().any(|purpose| replacing.is_asked_for(purpose)) {
            return self.drains.add_wait(&replacing.drain, replacing.starting());
        }
        let Some(drain) = self.drains.drains.get(&replacing.drain) else { return };
        if self.now < drain.replacement_backoff_until {
            let wait = Wait::NoReplacement { machine: replacing.machine.clone() };
            return self.drains.add_wait(&replacing.drain, wait);
        }
        let accepted = drain.stored.accepted;
        let name =
            format!("drain-{}-{accepted}-{}-{}", replacing.drain, replacing.machine, replacing.attempt);
        let Some(offer) = self.machines.get(&replacing.machine).map(MachineKind::of) else { return };
        let MachineKind { machine_type, zone, spot } = offer;
        self.autoscaler.requests += 1;
        let request = self.autoscaler.requests;
        info!(drain = %replacing.drain, machine = replacing.machine, request, "rent a replacement");
        let purpose = ReplacementFor { drain: replacing.drain.clone(), machine: replacing.machine.clone() };
        self.drains.renting.insert(request, purpose);
        self.effects.push(Effect::Rent { request, name: Some(name), machine_type, zone, spot, count: 1 });
        self.drains.add_wait(&replacing.drain, replacing.starting());
    }

    /// The cloud has responded to a rental request. Returns whether it was for a replacement.
    pub(in crate::scheduler) fn replacement_rented(
        &mut self,
        request: u64,
        names: &Option<Vec<String>>,
        outcome: RequestOutcome,
    ) -> bool {
        let Some(ReplacementFor { drain: id, machine }) = self.drains.renting.remove(&request) else {
            return false;
        };
        let Some(drain) = self.drains.drains.get_mut(&id) else { return true };
        let rented = names.iter().flatten().next().filter(|_| outcome == RequestOutcome::Done);
        let Some(name) = rented.cloned() else {
            drain.replacement_backoff_until = self.now + limits::RENTAL_BACKOFF;
            return true;
        };
        let Some(MachineDrainState::Replacing { attempt, machine: None }) = drain.progress.state(&machine)
        else {
            return true;
        };
        let attempt = *attempt;
        drain.advance(&machine, MachineDrainState::Replacing { attempt, machine: Some(name.clone()) });
        if let Some(offer) = self.machines.get(&machine).map(MachineKind::of) {
            self.get_or_add_machine(&offer.machine_named(name.clone()));
        }
        self.drains.replacements.insert(name, machine);
        true
    }

    /// The replacement is named: once it is up its machine is cordoned; if it never comes another one is rented.
    fn await_replacement(&mut self, replacing: &Replacing, name: &str) {
        let machine = self.machines.get(name);
        let is_up = machine
            .is_some_and(|machine| machine.state == MachineState::Ready && self.is_schedulable(machine));
        if is_up {
            let next = MachineDrainState::Cordoned { replacement: Some(name.to_string()) };
            self.drains.advance(&replacing.drain, &replacing.machine, next);
        } else if machine.is_none() {
            info!(drain = %replacing.drain, machine = replacing.machine, name, "its replacement did not come");
            let next = MachineDrainState::Replacing { attempt: replacing.attempt + 1, machine: None };
            self.drains.advance(&replacing.drain, &replacing.machine, next);
        } else {
            self.drains.add_wait(&replacing.drain, replacing.starting());
        }
    }
}
