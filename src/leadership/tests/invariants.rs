//! What must hold after every step.

use super::cluster::Cluster;
use super::{AUTONOMY, NODES, WORKER_LEASE};
use crate::fencing_token::FencingToken;
use crate::limits::{self, lengthened};

impl Cluster {
    /// Never two nodes with authority at once, nor two in keep-alive mode, and tokens rise.
    pub(super) fn check_leadership(&mut self) {
        let up: Vec<usize> = (0..NODES).filter(|node| self.nodes[*node].down_until.is_none()).collect();
        let acting: Vec<(usize, FencingToken)> = up
            .iter()
            .filter_map(|node| Some((*node, self.nodes[*node].leadership.authority(self.local_time(*node))?)))
            .collect();
        assert!(acting.len() <= 1, "two leaders at {}: {acting:?}", self.now);
        let in_keep_alive: Vec<usize> = up
            .into_iter()
            .filter(|node| self.nodes[*node].leadership.keep_alive_token(self.local_time(*node)).is_some())
            .collect();
        assert!(in_keep_alive.len() <= 1, "two nodes in keep-alive mode at {}: {in_keep_alive:?}", self.now);
        if let (Some((leader, _)), Some(other)) = (acting.first(), in_keep_alive.first()) {
            // A leader beside a node in keep-alive mode must know that there may be one.
            let now = self.local_time(*leader);
            let autonomous_until = self.nodes[*leader].leadership.autonomous_until(now);
            assert!(
                autonomous_until >= now,
                "leader {leader} counts leases as expired beside node {other} in keep-alive mode at {}",
                self.now
            );
        }
        self.keep_alive_steps += in_keep_alive.len() as u64;
        if let Some((node, token)) = acting.first() {
            self.led_steps += 1;
            let process = (*node, self.nodes[*node].process);
            assert_eq!(*self.process_by_token.entry(*token).or_insert(process), process, "token used twice");
            let highest = self.process_by_token.last_key_value().map(|(token, _)| *token);
            assert_eq!(highest, Some(*token), "an old token acts again");
        }
    }

    /// A leader that counts a lease as expired is right.
    pub(super) fn check_expired_leases(&mut self) {
        let Some(leader) = self.leader().filter(|node| self.is_running(*node)) else { return };
        let now = self.local_time(leader);
        let autonomous_until = self.nodes[leader].leadership.autonomous_until(now);
        let ledger = &mut self.nodes[leader].ledger;
        ledger.leases_begin_no_earlier_than(autonomous_until);
        let lease = lengthened(WORKER_LEASE) + limits::LEASE_MARGIN;
        let covered_until = ledger.covered_until(now, lengthened(AUTONOMY) + lease);
        for (number, worker) in self.workers.iter().enumerate() {
            let renewal = ledger.last_renewal(number);
            if now.min(covered_until) < renewal.at_leader + lease {
                continue;
            }
            self.expired_leases += 1;
            let has_expired = worker.agent_epoch_began_at > renewal.at || worker.lease_until <= self.now;
            assert!(
                has_expired,
                "at {}: the lease of worker {number} runs, and leader {leader} counts it as expired",
                self.now
            );
        }
    }
}
