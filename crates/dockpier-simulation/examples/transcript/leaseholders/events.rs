//! What happens to the leader, its leaseholders and their workers, drawn by the seed.

use super::{Day, RoutedHeartbeat, SLOTS};
use crate::draw;
use crate::output::Line;
use crate::worker::Worker;
use crate::SECOND;
use dockpier::lease::shard::Shard;
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::{Command, Scheduler, StoredJob};
use dockpier::time::Timestamp;
use rand::Rng;
use std::collections::BTreeSet;
use std::time::Duration;

impl Day<'_> {
    /// Something happens.
    pub(super) fn event(&mut self) {
        let until = self.now + self.rng.random_range(SECOND..20 * SECOND);
        let leaseholder = self.rng.random_range(0..self.leaseholders.len());
        match self.rng.random_range(0..18) {
            0..=4 => self.submit(),
            5 | 6 => self.cancel(),
            7 | 8 => self.move_worker(),
            9 => self.with_worker("worker-silent", |worker| worker.silent_until = until),
            10 => self.with_worker("worker-notice", |worker| worker.notice(until)),
            11 | 12 => {
                self.out.write(
                    self.now,
                    Line::new("lessee-cut").with("node", leaseholder + 1).with("until", until),
                );
                self.leaseholders[leaseholder].cut_until = until;
                self.scheduler.record_unreachable_nodes(
                    Timestamp::from_micros(self.now),
                    std::iter::once(leaseholder + 1),
                );
            }
            13 => {
                self.out.write(self.now, Line::new("lessee-restarts").with("node", leaseholder + 1));
                self.leaseholders[leaseholder].shard = Shard::new(6, self.rng.random());
                self.leaseholders[leaseholder].shard.follow(self.config.token);
            }
            14 => self.scheduler.record_others_may_have_renewed_until(Timestamp::from_micros(self.now)),
            15 => self.repeat_heartbeat(),
            16 => self.show_higher_token(),
            _ => self.change_leader(),
        }
    }

    fn submit(&mut self) {
        if self.jobs.len() >= 8 {
            return self.cancel();
        }
        self.submitted += 1;
        let spec = draw::spec(&mut self.rng, self.submitted, &self.config.zones, SLOTS);
        let stored =
            StoredJob { version: spec.job_id.0, spec, age: Duration::ZERO, succeeded: BTreeSet::new() };
        self.out.write(self.now, Line::new("submit").with("job", stored.spec.job_id.0));
        self.jobs.insert(stored.spec.job_id, stored.clone());
        self.decide(vec![Command::JobAdded(stored)]);
    }

    fn cancel(&mut self) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        if jobs.is_empty() {
            return;
        }
        let job_id = draw::one_of(&mut self.rng, &jobs);
        self.out.write(self.now, Line::new("cancel").with("job", job_id.0));
        self.jobs.remove(&job_id);
        self.decide(vec![Command::JobRemoved(job_id)]);
    }

    fn with_worker(&mut self, kind: &'static str, change: impl FnOnce(&mut Worker)) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        if names.is_empty() {
            return;
        }
        let name = draw::one_of(&mut self.rng, &names);
        self.out.write(self.now, Line::new(kind).with("machine", &name));
        if let Some(worker) = self.workers.get_mut(&name) {
            change(worker);
        }
    }

    fn move_worker(&mut self) {
        let node = self.rng.random_range(0..3);
        self.with_worker("worker-moves", |worker| worker.node = node);
    }

    /// The newest heartbeat comes a second time, by another route.
    fn repeat_heartbeat(&mut self) {
        let Some(RoutedHeartbeat { relayed_by, heartbeat }) = self.newest.clone() else { return };
        self.out.write(self.now, Line::new("report-twice").with("machine", &heartbeat.machine));
        let relayed_by = if relayed_by.is_some() { None } else { Some(1) };
        let command = self.heartbeat_command(relayed_by, heartbeat);
        self.decide(vec![command]);
    }

    /// A worker's heartbeat has a higher fencing token than this leader's: the leader is deposed.
    fn show_higher_token(&mut self) {
        let Some(worker) = self.workers.values_mut().next() else { return };
        let mut heartbeat = worker.heartbeat(self.now);
        heartbeat.token = self.config.token.next();
        let command = self.heartbeat_command(None, heartbeat);
        self.decide(vec![command]);
    }

    fn change_leader(&mut self) {
        self.config.token = self.config.token.next();
        self.out.write(self.now, Line::new("change-leader").with("token", self.config.token));
        self.scheduler = Scheduler::new(self.config.clone(), Timestamp::from_micros(self.now));
        self.waiting.clear();
        self.later.clear();
        if let Some(RoutedHeartbeat { relayed_by, heartbeat }) = self.newest.take() {
            // It is answered before the new leader has loaded what is stored.
            let command = self.heartbeat_command(relayed_by, heartbeat);
            self.decide(vec![command]);
        }
        self.leaseholders.iter_mut().for_each(|leaseholder| leaseholder.shard.follow(self.config.token));
        self.load();
    }
}
