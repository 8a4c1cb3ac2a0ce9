//! The stand-in for the cloud: rentals by name, machines that boot, and the machine list.

use crate::layout::MACHINE_TYPE;
use crate::{machine_name, Fleet, Worker};
use dockpier::scheduler::{ListedMachine, RequestOutcome, StoredMachine};
use dockpier::time::{from_seconds, to_micros, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

impl Fleet {
    /// Rents up to `count` machines; the same name again rents nothing more.
    pub(crate) fn rent(
        &mut self,
        name: &str,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> (Option<Vec<String>>, RequestOutcome) {
        if let Some(machines) = self.rentals.get(name) {
            return (Some(machines.clone()), RequestOutcome::Done);
        }
        let here = self.workers.values().filter(|worker| worker.zone == zone).count();
        let free = self.layout.capacity.saturating_sub(here).min(count as usize);
        if free == 0 || spot {
            return (None, RequestOutcome::Refused);
        }
        let boots = from_seconds(self.layout.boot_s);
        let names: Vec<String> = (0..free).map(|_| self.make_machine(zone, boots)).collect();
        self.rentals.insert(name.to_string(), names.clone());
        (Some(names), RequestOutcome::Done)
    }

    /// A machine that is up after `boots`; the first `never_boot` of those that boot never are.
    pub(crate) fn make_machine(&mut self, zone: &str, boots: Duration) -> String {
        self.made += 1;
        let name = machine_name(self.made as u64);
        let interval = from_seconds(self.layout.report_s);
        let spread = Duration::from_micros(to_micros(interval) * (self.made as u64 % 10) / 10);
        let mut up_at = self.now + boots;
        if !boots.is_zero() && self.never_boot > 0 {
            self.never_boot -= 1;
            up_at = Timestamp::MAX;
        }
        let first = up_at + spread;
        let worker = Worker::new(self.made as u64, &name, zone, up_at, first, self.layout.slots);
        self.workers.insert(name.clone(), worker);
        name
    }

    /// The machine list as it is now.
    pub(crate) fn list(&self) -> Vec<ListedMachine> {
        let listed = self.workers.values().map(|worker| ListedMachine {
            machine: StoredMachine {
                name: worker.name.clone(),
                machine_type: MACHINE_TYPE.into(),
                zone: worker.zone.clone(),
                spot: false,
                address: String::new(),
                images: BTreeSet::new(),
            },
            failed: worker.dead,
            age_s: 1_000.0,
        });
        listed.collect()
    }
}
