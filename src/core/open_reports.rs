//! Reports that wait for their answer, as in a long poll.
//!
//! A start travels in the answer to a report, and a machine that has just been answered is not told for a whole
//! interval. So the answer to a report that says nothing new waits a little where the machine has free capacity, and
//! leaves at once when there is something to say. The worker's lease counts from when its report was sent, so that
//! waiting renews nothing for longer, and its next report comes when it would have come anyway.

use super::model::{Machine, Resources};
use super::{Core, Effect};
use std::collections::BTreeMap;

/// A report without an answer yet.
#[derive(Debug)]
struct OpenReport {
    reply: u64,
    until: u64,
}

/// Reports that wait for their answer, by machine.
#[derive(Debug, Default)]
pub struct OpenReports {
    reports: BTreeMap<String, OpenReport>,
    /// The smallest task of all jobs, as of the last round: what has capacity for nothing need not wait.
    smallest_task: Option<Resources>,
}

impl Core {
    /// Notes what the smallest task of all jobs takes.
    pub(super) fn note_smallest_task(&mut self) {
        let needs = self.jobs.values().filter(|job| !job.over).map(|job| job.spec.needs);
        self.open_reports.smallest_task = needs.reduce(|a, b| a.least(&b));
    }

    /// Whether the next reports of the machine that say nothing new may wait for a command.
    pub(super) fn may_wait(&self, machine: &Machine) -> bool {
        let fits = self.open_reports.smallest_task.is_none_or(|task| task.fits(&machine.free()));
        self.config.report_wait > 0
            && fits
            && self.usable(machine)
            && machine.calm()
            && machine.exited.is_empty()
    }

    /// Answers a report, or lets it wait for a command.
    pub(super) fn answer_or_wait(&mut self, reply: u64, name: &str) {
        let waits = self.machines.get(name).is_some_and(|m| m.via.is_none() && self.may_wait(m));
        if !waits {
            return self.answer_now(reply, name);
        }
        let until = self.now + self.config.report_wait;
        self.open_reports.reports.insert(name.to_string(), OpenReport { reply, until });
    }

    fn answer_now(&mut self, reply: u64, name: &str) {
        let (orders, keep) = self.answer(name);
        let wait = keep && self.machines.get(name).is_some_and(|machine| self.may_wait(machine));
        self.effects.push(Effect::Answer { reply, orders, keep, wait });
    }

    /// A newer report has come: nobody waits for the answer to the one before.
    pub(super) fn close_open_report(&mut self, name: &str) {
        if let Some(open) = self.open_reports.reports.remove(name) {
            self.effects.push(Effect::nothing_to_say(open.reply));
        }
    }

    /// Answers the reports that have waited long enough, and those of machines that there is something to tell.
    pub(super) fn answer_open_reports(&mut self) {
        let now = self.now;
        let is_due = |name: &str, open: &OpenReport| {
            let nothing_to_tell = self.machines.get(name).is_some_and(|m| m.calm() && !m.deleting);
            now >= open.until || !nothing_to_tell
        };
        let reports = self.open_reports.reports.iter();
        let due: Vec<(String, u64)> = reports
            .filter(|(name, open)| is_due(name, open))
            .map(|(name, open)| (name.clone(), open.reply))
            .collect();
        for (name, reply) in due {
            self.open_reports.reports.remove(&name);
            self.answer_now(reply, &name);
        }
    }
}
