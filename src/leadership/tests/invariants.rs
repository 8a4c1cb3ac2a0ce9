//! Invariants that are checked after every step.

use super::cluster::Cluster;
use super::{LONGEST_AUTONOMY, NODE_COUNT, WORKER_LEASE};
use crate::fencing_token::FencingToken;
use crate::limits::{self, plus_clock_drift};
use crate::scheduler::model::JobId;
use std::collections::BTreeSet;

impl Cluster {
    /// Checks that at most one node has authority and at most one is in keep-alive mode, that each fencing
    /// token belongs to one process, and that no lower token acts after a higher one.
    pub(super) fn check_leadership(&mut self) {
        let nodes_up: Vec<usize> =
            (0..NODE_COUNT).filter(|node| self.nodes[*node].down_until.is_none()).collect();
        let acting: Vec<(usize, FencingToken)> = nodes_up
            .iter()
            .filter_map(|node| Some((*node, self.nodes[*node].leadership.authority(self.local_time(*node))?)))
            .collect();
        assert!(acting.len() <= 1, "two leaders at {}: {acting:?}", self.now);
        let in_keep_alive: Vec<usize> = nodes_up
            .into_iter()
            .filter(|node| self.nodes[*node].leadership.keep_alive_token(self.local_time(*node)).is_some())
            .collect();
        assert!(in_keep_alive.len() <= 1, "two nodes in keep-alive mode at {}: {in_keep_alive:?}", self.now);
        if let (Some((leader, _)), Some(other)) = (acting.first(), in_keep_alive.first()) {
            // A leader has to take into account that a node in keep-alive mode may renew leases.
            let now = self.local_time(*leader);
            let others_kept_alive_until = self.nodes[*leader].leadership.others_kept_alive_until(now);
            assert!(
                others_kept_alive_until >= now,
                "leader {leader} counts leases as expired beside node {other} in keep-alive mode at {}",
                self.now
            );
        }
        self.keep_alive_steps += in_keep_alive.len() as u64;
        if let Some((node, token)) = acting.first() {
            self.led_steps += 1;
            let process = (*node, self.nodes[*node].process);
            assert_eq!(
                *self.process_by_token.entry(*token).or_insert(process),
                process,
                "two processes acted with one token"
            );
            let highest = self.process_by_token.last_key_value().map(|(token, _)| *token);
            assert_eq!(highest, Some(*token), "a leader acts with a token lower than the highest");
        }
    }

    /// Checks that no leader can start a task of a job whose cancellation was confirmed to its user.
    pub(super) fn check_confirmed_jobs_cannot_start(&mut self) {
        let Some(leader) = self.leader().filter(|node| self.is_running(*node) && self.has_loaded(*node))
        else {
            return;
        };
        let leadership = &self.nodes[leader].leadership;
        if !leadership.may_start_tasks(self.local_time(leader)) {
            return;
        }
        self.start_steps += 1;
        let held: BTreeSet<JobId> = leadership.cancellations.held_jobs().collect();
        let can_start =
            |job_id: &&JobId| leadership.cancellations.is_live(**job_id) && !held.contains(*job_id);
        let started = self.confirmed.keys().find(can_start);
        assert_eq!(started, None, "leader {leader} starts tasks of a cancelled job at {}", self.now);
    }

    /// Checks that each worker lease that the leader counts as expired has expired.
    pub(super) fn check_expired_leases(&mut self) {
        let Some(leader) = self.leader().filter(|node| self.is_running(*node)) else { return };
        let now = self.local_time(leader);
        let others_kept_alive_until = self.nodes[leader].leadership.others_kept_alive_until(now);
        let ledger = &mut self.nodes[leader].ledger;
        ledger.raise_assumed_lease_start(others_kept_alive_until);
        let lease = plus_clock_drift(WORKER_LEASE) + limits::LEASE_MARGIN;
        let responses_known_until =
            ledger.responses_known_until(now, plus_clock_drift(LONGEST_AUTONOMY) + lease);
        for (number, worker) in self.workers.iter().enumerate() {
            let renewal = ledger.last_renewal(number);
            if now.min(responses_known_until) < renewal.at_leader + lease {
                continue;
            }
            self.expired_leases += 1;
            let has_expired =
                worker.agent_epoch_began_at > renewal.in_true_time || worker.lease_until <= self.now;
            assert!(
                has_expired,
                "at {}: the lease of worker {number} runs, and leader {leader} counts it as expired",
                self.now
            );
        }
    }
}
