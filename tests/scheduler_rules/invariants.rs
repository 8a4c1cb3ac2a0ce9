//! Rules that are checked after each step: leases, cancelled jobs, limits of teams.

use super::world::World;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::MachineState;
use dockpier::time::as_seconds;
use std::collections::BTreeMap;

impl World {
    /// An invariant of the scheduler rather than a rule: it counts no lease as over that still runs.
    pub(super) fn check_leases(&mut self) {
        let lost = self.scheduler.machines.values().filter(|machine| machine.state == MachineState::Lost);
        let lost: BTreeMap<String, u64> =
            lost.map(|m| (m.name.clone(), m.heartbeats.newest.agent_epoch)).collect();
        for (name, agent_epoch) in lost.iter().filter(|(name, _)| !self.lost.contains_key(*name)) {
            let Some(worker) = self.workers.get(name) else { continue };
            let runs = !worker.dead && worker.agent_epoch == *agent_epoch && self.now < worker.lease_until;
            let early_s = as_seconds(worker.lease_until.since(self.now));
            assert!(!runs, "{name}: its lease is counted as over {early_s} s early");
        }
        self.lost = lost;
    }

    pub(super) fn check(&self) {
        let mut gpus: BTreeMap<&str, f64> = BTreeMap::new();
        for worker in self.workers.values().filter(|w| !w.dead && self.now < w.lease_until) {
            for (id, _) in worker.tasks.iter().filter(|(_, t)| t.exited.is_none()) {
                *gpus.entry(&self.specs[&id.job_id].team).or_default() += 1.0;
                let since = self.cancelled.get(&id.job_id);
                assert!(
                    since.is_none_or(|at| self.now < *at + 40 * SECOND),
                    "ran_cancelled: {id} still on a machine"
                );
            }
        }
        for team in &self.deployment.teams {
            let used = gpus.get(team.name.as_str()).copied().unwrap_or(0.0);
            assert!(team.gpus_max == 0.0 || used <= team.gpus_max, "quota: {} runs {used} tasks", team.name);
        }
    }
}
