//! The cloud's list of machines, which the leader reads every ten seconds. It lags, and a machine that died stays listed
//! as running for a while before it is listed as failed.

use super::world::World;
use dockpier::limits::SECOND;
use dockpier::scheduler::{Command, ListedMachine, StoredMachine};
use dockpier::time::as_seconds;
use std::collections::BTreeSet;
use std::time::Duration;

const LIST_INTERVAL_MS: u64 = 10_000;
/// How long a new machine is missing from the list.
const LIST_LAG: Duration = Duration::from_secs(3);
/// How long after the end of its lease a dead machine is listed as failed.
const FAILURE_LAG: Duration = Duration::from_secs(30);

impl World {
    /// The list, if the leader reads it now and the cloud answers.
    pub(super) fn machine_list_if_due(&self) -> Option<Command> {
        let is_due = self.now.as_millis() % LIST_INTERVAL_MS == 0;
        if !is_due || self.now < self.cloud_down_until {
            return None;
        }
        let listed = self.workers.iter().filter(|(_, worker)| worker.up_at + LIST_LAG <= self.now);
        let list = listed.map(|(name, worker)| ListedMachine {
            machine: StoredMachine {
                name: name.clone(),
                machine_type: "m".into(),
                zone: worker.zone.clone(),
                spot: worker.spot,
                address: String::new(),
                images: BTreeSet::new(),
            },
            failed: worker.dead && worker.lease_until + FAILURE_LAG <= self.now,
            age_s: as_seconds(self.now.since(worker.up_at.min(self.now)) + SECOND),
        });
        Some(Command::MachinesListed(list.collect()))
    }
}
