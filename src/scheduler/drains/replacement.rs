//! Replacements: a machine like the one to be drained is rented and up before that one is cordoned.
//!
//! The rental's name follows from the drain, the machine and the attempt. So whoever leads asks under the same name,
//! and the cloud rents one machine however often it is asked.

use super::super::autoscaler::InstanceOffer;
use super::super::model::MachineState;
use super::super::{Effect, Scheduler, WriteOutcome};
use crate::limits;
use dockpier_drain::progress::MachineDrainState;
use dockpier_drain::request::DrainId;
use dockpier_drain::status::Wait;
use tracing::info;

/// A machine whose replacement is under way, and whether that is stored.
struct Replacing {
    drain: DrainId,
    machine: String,
    attempt: u32,
    replacement: Option<String>,
    stored: bool,
}

impl Scheduler {
    pub(super) fn advance_replacements(&mut self) {
        for replacing in self.replacements_under_way() {
            if !self.machines.contains_key(&replacing.machine) {
                self.advance(&replacing, MachineDrainState::Gone);
                continue;
            }
            match &replacing.replacement {
                None if replacing.stored => self.rent_replacement(&replacing),
                None => self.drain_waits(&replacing.drain, Wait::Unwritten),
                Some(name) => self.await_replacement(&replacing, name),
            }
        }
    }

    fn replacements_under_way(&self) -> Vec<Replacing> {
        let mut found = Vec::new();
        for id in self.drains_going_on() {
            let drain = &self.drains.drains[&id];
            for (at, chunk) in drain.progress.chunks().iter().enumerate() {
                for entry in &chunk.machines {
                    if let MachineDrainState::Replacing { attempt, machine } = &entry.state {
                        found.push(Replacing {
                            drain: id.clone(),
                            machine: entry.machine.clone(),
                            attempt: *attempt,
                            replacement: machine.clone(),
                            stored: drain.writing[at].is_stored(),
                        });
                    }
                }
            }
        }
        found
    }

    fn advance(&mut self, replacing: &Replacing, next: MachineDrainState) {
        if let Some(drain) = self.drains.drains.get_mut(&replacing.drain) {
            drain.advance(&replacing.machine, next);
        }
    }

    fn rent_replacement(&mut self, replacing: &Replacing) {
        let wait = Wait::ReplacementStarting { machine: replacing.machine.clone() };
        let asked =
            |(drain, machine): &(DrainId, String)| *drain == replacing.drain && *machine == replacing.machine;
        if self.drains.renting.values().any(asked) {
            return self.drain_waits(&replacing.drain, wait);
        }
        let Some(drain) = self.drains.drains.get(&replacing.drain) else { return };
        if self.now < drain.refused_until {
            let wait = Wait::NoReplacement { machine: replacing.machine.clone() };
            return self.drain_waits(&replacing.drain, wait);
        }
        let accepted = drain.stored.accepted;
        let name =
            format!("drain-{}-{accepted}-{}-{}", replacing.drain, replacing.machine, replacing.attempt);
        let Some(offer) = self.machines.get(&replacing.machine).map(InstanceOffer::of) else { return };
        let InstanceOffer { machine_type, zone, spot } = offer;
        self.fleet.requests += 1;
        let request = self.fleet.requests;
        info!(drain = %replacing.drain, machine = replacing.machine, request, "rent a replacement");
        self.drains.renting.insert(request, (replacing.drain.clone(), replacing.machine.clone()));
        self.effects.push(Effect::Rent { request, name: Some(name), machine_type, zone, spot, count: 1 });
        self.drain_waits(&replacing.drain, wait);
    }

    /// The cloud has answered a request; returns whether it was for a replacement.
    pub(in super::super) fn replacement_rented(
        &mut self,
        request: u64,
        names: &Option<Vec<String>>,
        outcome: WriteOutcome,
    ) -> bool {
        let Some((id, machine)) = self.drains.renting.remove(&request) else { return false };
        let offer = self.machines.get(&machine).map(InstanceOffer::of);
        let name = names.iter().flatten().next().cloned().filter(|_| outcome == WriteOutcome::Done);
        let now = self.now;
        let Some(drain) = self.drains.drains.get_mut(&id) else { return true };
        let Some(name) = name else {
            drain.refused_until = now + limits::RENTAL_BACKOFF;
            return true;
        };
        let Some(MachineDrainState::Replacing { attempt, machine: None }) = drain.progress.state(&machine)
        else {
            return true;
        };
        let attempt = *attempt;
        drain.advance(&machine, MachineDrainState::Replacing { attempt, machine: Some(name.clone()) });
        if let Some(offer) = offer {
            self.machine(&offer.machine_named(name.clone()));
        }
        self.drains.replacing.insert(name, machine);
        true
    }

    /// The replacement is named: once it is up its machine is cordoned; if it never comes another one is rented.
    fn await_replacement(&mut self, replacing: &Replacing, name: &str) {
        let up =
            self.machines.get(name).is_some_and(|m| m.state == MachineState::Ready && self.is_schedulable(m));
        if up {
            let replacement = Some(name.to_string());
            return self.advance(replacing, MachineDrainState::Cordoned { replacement });
        }
        if !self.machines.contains_key(name) {
            info!(drain = %replacing.drain, machine = replacing.machine, name, "its replacement did not come");
            let attempt = replacing.attempt + 1;
            return self.advance(replacing, MachineDrainState::Replacing { attempt, machine: None });
        }
        let wait = Wait::ReplacementStarting { machine: replacing.machine.clone() };
        self.drain_waits(&replacing.drain, wait);
    }
}
