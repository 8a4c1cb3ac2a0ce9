//! The cloud's list of machines: which of them are adopted, failed or taken. The list lags, so it is only ever a
//! hint; a machine is gone only when the cloud has confirmed its deletion.

use super::DeletionReason;
use crate::limits;
use crate::scheduler::model::{Machine, MachineState};
use crate::scheduler::{ListedMachine, Scheduler};
use crate::time::from_seconds;
use std::collections::BTreeSet;
use std::time::Duration;
use tracing::debug;

/// An adopted machine has at least so long to send its first heartbeat.
const MIN_ADOPTION_TIMEOUT: Duration = Duration::from_secs(10);
/// A silent machine counts as taken when the lists have not shown it for so many lags and a margin.
const LAGS_UNTIL_TAKEN: f64 = 4.0;
const TAKEN_MARGIN: Duration = Duration::from_secs(10);

impl Scheduler {
    /// The cloud's list of machines has arrived.
    pub(in crate::scheduler) fn handle_machine_list(&mut self, list: Vec<ListedMachine>) {
        let now = self.now;
        self.autoscaler.deleted.retain(|_, since| now < *since + limits::DELETED_MACHINE_RETENTION);
        let shown: BTreeSet<String> = list.iter().map(|listed| listed.machine.name.clone()).collect();
        for listed in &list {
            self.adopt_if_unknown(listed);
        }
        self.delete_failed(list);
        self.delete_vanished(&shown);
        self.delete_missing(&shown);
    }

    /// A late rental, or one of an earlier leader's: used, or deleted when idle.
    fn adopt_if_unknown(&mut self, listed: &ListedMachine) {
        let name = &listed.machine.name;
        let is_known = self.machines.contains_key(name) || self.autoscaler.deleted.contains_key(name);
        if is_known || !self.loaded {
            return;
        }
        debug!(machine = name, "listed and not known: adopted");
        let earliest_deadline = self.now + MIN_ADOPTION_TIMEOUT;
        let age = from_seconds(listed.age_s);
        let lifecycle = &mut self.get_or_add_machine(&listed.machine).lifecycle;
        lifecycle.boot_deadline = (lifecycle.boot_deadline - age).max(earliest_deadline);
    }

    fn delete_failed(&mut self, list: Vec<ListedMachine>) {
        let failed = list.into_iter().filter(|listed| listed.failed).map(|listed| listed.machine.name);
        let is_present =
            |name: &String| self.machines.get(name).is_some_and(|machine| !machine.lifecycle.deleting);
        let failed: Vec<String> = failed.filter(is_present).collect();
        self.delete(failed, DeletionReason::Failed);
    }

    /// The last leader had heard from them, and the list does not show them: most likely they were taken, and
    /// the confirmation of their deletion lets the work that they may have held start at once.
    fn delete_vanished(&mut self, shown: &BTreeSet<String>) {
        let is_awaited = |machine: &&Machine| {
            machine.may_hold_unknown_tasks()
                && machine.state == MachineState::Pending
                && !machine.lifecycle.deleting
        };
        let vanished: Vec<String> = self
            .machines
            .values()
            .filter(is_awaited)
            .filter(|machine| !shown.contains(&machine.name))
            .map(|machine| machine.name.clone())
            .collect();
        self.delete(vanished, DeletionReason::Vanished);
    }

    /// Silent and missing from the lists for several lags: taken by the cloud.
    fn delete_missing(&mut self, shown: &BTreeSet<String>) {
        let now = self.now;
        let lag = from_seconds(self.config.list_lag_s * LAGS_UNTIL_TAKEN) + TAKEN_MARGIN;
        let silence_timeout = limits::silence_timeout(self.config.workers.report_s);
        let mut taken = Vec::new();
        for machine in self.machines.values() {
            let is_silent = now >= machine.heartbeats.last_at + silence_timeout;
            if shown.contains(&machine.name) || !is_silent || machine.lifecycle.deleting {
                self.autoscaler.missing.remove(&machine.name);
                continue;
            }
            let since = *self.autoscaler.missing.entry(machine.name.clone()).or_insert(now);
            if now >= since + lag && now >= machine.lifecycle.known_since + lag {
                taken.push(machine.name.clone());
            }
        }
        self.delete(taken, DeletionReason::NotListed);
    }
}
