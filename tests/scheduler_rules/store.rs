//! Machine records in the state service, which are written some steps after the scheduler asked for it.

use super::world::World;
use dockpier::scheduler::{Command, RequestOutcome, StoredMachine};
use dockpier::time::Timestamp;

impl World {
    pub(super) fn write(&mut self, key: String, machines: Vec<StoredMachine>) {
        self.recorded.remove(&key);
        if !machines.is_empty() {
            self.recorded.insert(key, machines);
        }
    }

    pub(super) fn carry_out_writes(&mut self) {
        let (due, writes) =
            std::mem::take(&mut self.writes).into_iter().partition(|(at, ..)| *at <= self.now);
        self.writes = writes;
        for (at, key, machines) in Vec::<(Timestamp, String, Vec<StoredMachine>)>::into_iter(due) {
            self.write(key.clone(), machines);
            self.later.push((at, Command::MachineRecordWritten { key, outcome: RequestOutcome::Done }));
        }
    }
}
