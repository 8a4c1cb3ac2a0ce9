//! Drawn troubles: failures, cuts and hangs, changes of leader, cancellations, and operators who drain machines.

use super::leaseholders::LEASEHOLDERS;
use super::settings::{LEASE_S, STEP};
use super::worker::Worker;
use super::world::World;
use dockpier::lease::shard::Shard;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::Command;
use dockpier::time::{from_seconds, Timestamp};
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, StoredRequest, Target};
use rand::Rng;
use std::collections::BTreeSet;

impl World {
    pub(super) fn trouble(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let pick = (!names.is_empty()).then(|| names[self.rng.random_range(0..names.len())].clone());
        let quick = self.deployment.boot_s.start == 0;
        let kind = if quick && self.rng.random_bool(0.5) { 16 } else { self.rng.random_range(0..17) };
        if self.deployment.slow_reports && self.rng.random_bool(0.5) {
            return self.mute_at_cancellation();
        }
        if self.deployment.partitions && self.rng.random_bool(0.6) {
            if self.is_whole() {
                self.cut_zone_off_twice();
            }
            return;
        }
        let cut = self.now + self.rng.random_range(1..25u64) as u32 * SECOND;
        // A zone is cut off, or a third of all machines hang, perhaps past their leases, or the leader changes in it.
        if (9..12).contains(&kind) {
            for (i, worker) in
                self.workers.values_mut().filter(|w| !w.dead && w.up_at <= self.now).enumerate()
            {
                match kind {
                    9 | 10 if worker.zone == "b" => worker.cut_until = cut,
                    11 if i % 3 == 0 => worker.up_at = cut,
                    _ => {}
                }
            }
            if kind == 10 {
                self.change_leader(4 * SECOND);
            }
            return;
        }
        if kind == 15 {
            return self.cancel_at_the_limit(cut);
        }
        if kind == 16 {
            return self.end_leader_on_new_machines(cut);
        }
        let Some(worker) = pick.and_then(|name| self.workers.get_mut(&name)) else { return };
        match kind {
            // Every task that starts on it fails, for a while.
            14 => worker.sick_until = self.now + 20 * SECOND,
            0 => worker.dead = true,
            1 => worker.cut_until = cut,
            2 => worker.deaf_until = cut,
            12 => worker.mute_until = cut,
            // All controllers are away for longer than a worker lease.
            13 => self.change_leader(from_seconds(LEASE_S) + 5 * SECOND),
            3 => self.change_leader(4 * SECOND),
            // A leaseholder and its workers part from the leader, mostly while the cloud is down, so that only
            // the end of leases proves anything.
            5 | 7 | 8 => {
                let node = self.rng.random_range(0..LEASEHOLDERS);
                self.leaseholders[node].cut_until = cut;
                for worker in self.workers.values_mut().filter(|w| w.relayed_by == Some(node)) {
                    worker.leader_cut_until = cut;
                }
                if kind > 5 {
                    self.cloud_down_until = cut;
                }
                // The leaseholder does not hear that another leads.
                if kind == 8 {
                    self.change_leader(4 * SECOND);
                }
            }
            // A leaseholder that ends has forgotten its shard.
            6 => {
                let node = self.rng.random_range(0..LEASEHOLDERS);
                self.leaseholders[node].shard = Shard::new(64, self.rng.random());
            }
            4 => {
                let live: Vec<JobId> = self.live.keys().copied().collect();
                if !live.is_empty() {
                    let job_id = live[self.rng.random_range(0..live.len())];
                    self.cancel(job_id);
                }
            }
            _ => {}
        }
    }

    /// Operators drain some machines or all, pause, go on with or cancel a drain.
    pub(super) fn operate(&mut self) {
        let number = self.drains.requests.len();
        let all = self.rng.random_bool(0.3);
        let names: Vec<String> = self.workers.keys().filter(|_| self.rng.random_bool(0.3)).cloned().collect();
        if number == 0 || self.rng.random_bool(0.5) && !names.is_empty() {
            let request = DrainRequest {
                id: DrainId::try_from(format!("drain-{number}")).unwrap(),
                target: if all { Target::All {} } else { Target::Machines(names) },
                share: self.rng.random_bool(0.3).then_some(0.3),
                reason: "drawn".into(),
                deadline: self.rng.random_bool(0.3).then_some(1.0),
                replace: self.rng.random_bool(0.5),
            };
            let stored =
                StoredRequest { request, accepted: self.now.as_millis(), desired_state: DesiredState::Run };
            self.drains.requests.insert(stored.request.id.clone(), stored);
        } else {
            let one = self.rng.random_range(0..number);
            let wish = [DesiredState::Run, DesiredState::Run, DesiredState::Pause, DesiredState::Cancel]
                [self.rng.random_range(0..4)];
            let stored = self.drains.requests.values_mut().nth(one);
            stored
                .into_iter()
                .filter(|stored| stored.desired_state != DesiredState::Cancel)
                .for_each(|stored| stored.desired_state = wish);
        }
        let requests = self.drains.requests.values().cloned().collect();
        self.later.push((self.now + STEP, Command::DrainRequests(requests)));
    }

    /// Machines that have just come up, and have work, are cut off as the leader ends.
    fn end_leader_on_new_machines(&mut self, until: Timestamp) {
        let works = |w: &Worker| w.tasks.values().any(|t| t.exited.is_none());
        let new = |w: &Worker, now: Timestamp| !w.dead && w.up_at <= now && now < w.up_at + 4 * SECOND;
        // They are not long in coming where they boot within two seconds.
        for _ in 0..100 {
            if self.workers.values().any(|w| new(w, self.now) && works(w)) {
                break;
            }
            self.step();
        }
        let now = self.now;
        for worker in self.workers.values_mut().filter(|w| new(w, now)) {
            worker.cut_until = until;
        }
        self.change_leader(2 * SECOND);
    }

    /// Jobs are cancelled, and their machines reach no controller any more right after that. The cloud deletes
    /// nothing meanwhile, so that only the end of their leases proves anything.
    fn mute_at_cancellation(&mut self) {
        let until = self.now + 25 * SECOND;
        self.cloud_down_until = until;
        let running: Vec<(String, JobId)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead && w.up_at <= self.now)
            .flat_map(|(name, w)| w.tasks.keys().map(move |id| (name.clone(), id.job_id)))
            .collect();
        for (name, job_id) in running.iter().step_by(4) {
            self.cancel(*job_id);
            (0..self.rng.random_range(0..4)).for_each(|_| self.step());
            if let Some(worker) = self.workers.get_mut(name) {
                worker.mute_until = until;
            }
        }
    }

    /// Jobs of every team are cancelled whose machines are cut off or hang, and the leader changes.
    fn cancel_at_the_limit(&mut self, until: Timestamp) {
        let running = |world: &World, name: &str| -> BTreeSet<JobId> {
            let tasks = &world.workers[name].tasks;
            tasks.iter().filter(|(_, t)| t.exited.is_none()).map(|(id, _)| id.job_id).collect()
        };
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names.iter().step_by(3) {
            let jobs = running(self, name);
            let hangs = self.rng.random_bool(0.5);
            if let Some(worker) = self.workers.get_mut(name).filter(|w| w.up_at <= self.now) {
                let affected = if hangs { &mut worker.up_at } else { &mut worker.cut_until };
                *affected = until;
            }
            jobs.into_iter().take(1).for_each(|job_id| self.cancel(job_id));
        }
        // The leader sends its stops, and some are under way when it ends.
        (0..3).for_each(|_| self.step());
        if self.rng.random_bool(0.7) {
            self.change_leader(2 * SECOND);
        }
    }
}
