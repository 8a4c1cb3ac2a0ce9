//! Decides which controller node leads: election, votes, the lock lease, authority to act and handover.
//! [`Leadership`] is a state machine without I/O or clock and owns all of this state, the cancellation log
//! included. The controller's event loop is its only caller: it passes in ticks, messages and responses of
//! the key-value store, and carries out the returned [`Action`]s. Nodes are numbered in the order of the
//! settings.
//!
//! A leader has two independent proofs of leadership: the lock lease behind `leader/lock` in the key-value
//! store, and grants by a majority of controllers. Either proof suffices to act, and another node may take
//! over only after both have expired. The leader counts the lock lease and each grant from when it sent the
//! request, shortened for clock drift. A peer counts the grant or vote that it gave from when the request
//! arrived, lengthened for clock drift.
//!
//! While the key-value store is lost and nobody leads, a node with a majority of votes may enter keep-alive
//! mode: it renews worker leases, but starts no tasks (`Role::KeepAlive`).
//!
//! A node keeps a worker alive by answering its heartbeat, which renews the worker's lease, so that its tasks
//! go on. The tasks of a cancelled job must end within the setting `cancel_s`. Let K be the time up to which
//! a node knows every confirmed cancellation: each node, the leader included, may respond to workers only for
//! a bounded time after K. A node learns of cancellations from the key-value store and from its peers'
//! attestations, in which a peer states which ones it has confirmed to users (`lease::cancellation_log`).

mod authority;
mod commitments;
mod election;
mod followed_leader;
mod handover;
mod interface;
mod lock_observation;
mod messages;
mod peers;
mod role;
mod store_responses;

pub use followed_leader::FollowedLeader;
pub use interface::{Action, AttestationOutcome, ConfirmationOutcome, Message, Status, StoreResponse};

use crate::fencing_token::FencingToken;
use crate::lease::cancellation_log::{CancellationBounds, CancellationLog};
use crate::limits;
use crate::time::Timestamp;
use commitments::Commitments;
use handover::WorkerReachability;
use lock_observation::LockObservation;
use peers::Peers;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use role::{Role, Term};
use std::time::Duration;
use tracing::{info, warn};

/// The leadership state of one controller node.
#[derive(Debug)]
pub struct Leadership {
    /// Random number that identifies this process.
    incarnation: u64,
    role: Role,
    peers: Peers,
    /// The grant and the vote that this node has given.
    commitments: Commitments,
    /// The highest fencing token known.
    highest_token: FencingToken,
    /// The leader, or node in keep-alive mode, whose heartbeat arrived last.
    followed: Option<FollowedLeader>,
    /// Epoch record and lock as last read from the key-value store.
    lock: LockObservation,
    next_heartbeat_at: Timestamp,
    /// When a leader next renews its lock lease.
    next_renewal_at: Timestamp,
    next_campaign_at: Timestamp,
    /// Whether this node is collecting votes.
    campaigning: bool,
    /// True until this incarnation first leads. Until then it may take over without votes, under a new token,
    /// if the epoch names an earlier incarnation of this node.
    may_resume: bool,
    /// This node's own status at the last tick.
    status: Status,
    /// Whether workers reach this leader.
    reachability: WorkerReachability,
    /// The last time at which this leader had no grants of a majority, as recorded at the election and at
    /// each grant. Until then a node in keep-alive mode may have renewed worker leases without its knowledge;
    /// see [`Leadership::others_kept_alive_until`] for the present value.
    last_without_majority_at: Timestamp,
    /// How long workers may be kept alive after the time up to which every cancellation is known, not
    /// including `limits::LOCK_LEASE`, which [`CancellationLog`] adds ([`limits::longest_autonomy`]).
    longest_autonomy: Duration,
    /// The cancellations that this node knows, and up to when it knows all of them.
    pub cancellations: CancellationLog,
    /// No attestation that this node has sent covers its confirmations after this time, on its own clock.
    attested_until: Timestamp,
    rng: SmallRng,
}

impl Leadership {
    /// The state of a process that has just started as node `local_node` of `node_names`. `seed`: of the
    /// random campaign delays.
    pub fn new(
        node_names: Vec<String>,
        local_node: usize,
        incarnation: u64,
        now: Timestamp,
        bounds: CancellationBounds,
        seed: u64,
    ) -> Self {
        Leadership {
            cancellations: CancellationLog::new(node_names.len(), local_node, incarnation, now, bounds),
            // The previous incarnation may have sent, right before it ended, an attestation with the promise
            // to suspend confirmations (`Attestation::confirmations_suspended`), which is valid for
            // `CONFIRMATION_SUSPENSION`.
            attested_until: now + limits::CONFIRMATION_SUSPENSION,
            peers: Peers::new(node_names, local_node),
            incarnation,
            role: Role::Follower,
            commitments: Commitments::new(local_node, now),
            highest_token: FencingToken::NONE,
            followed: None,
            lock: LockObservation::new(now),
            next_heartbeat_at: now,
            next_renewal_at: Timestamp::ZERO,
            next_campaign_at: now,
            campaigning: false,
            may_resume: true,
            status: Status { store_answer_age: Duration::MAX, ..Status::default() },
            reachability: WorkerReachability::default(),
            last_without_majority_at: now,
            longest_autonomy: bounds.longest_autonomy,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Whether this node leads. It may act only while it also has [`Leadership::authority`].
    pub fn is_leader(&self) -> bool {
        self.role.term().is_some()
    }

    /// Name of the leader that a worker should report to. None without contact with a leader, and while the
    /// leader reports that workers have stopped reaching it: redirected workers would wait for its response
    /// in vain.
    pub fn leader_name(&self, now: Timestamp) -> Option<&str> {
        let leader = self.followed.filter(|leader| leader.is_in_contact(now))?;
        let lost_by_workers =
            leader.reached_by_workers && self.peers.get(leader.node).status().worker_heartbeats == 0;
        (!lost_by_workers).then(|| self.peers.name(leader.node))
    }

    /// The leader that this node follows and is in contact with.
    pub fn followed_leader(&self, now: Timestamp) -> Option<FollowedLeader> {
        self.followed.filter(|leader| leader.is_in_contact(now) && !self.is_leader())
    }

    /// Nodes without a running grant to this leader. Grants echo the leader's heartbeats, so a node whose
    /// messages arrive but that does not receive the heartbeats is among them.
    pub fn unreachable_peers(&self, now: Timestamp) -> impl Iterator<Item = usize> + '_ {
        self.peers.without_grant(now)
    }

    /// Whether a peer in contact reaches the key-value store.
    pub fn peer_reaches_store(&self, now: Timestamp) -> bool {
        self.peers.first_reaching_store(now, limits::STORE_LOST_TIMEOUT).is_some()
    }

    /// Whether a peer is in contact, or the cluster has no other node.
    pub fn has_peer_in_contact(&self, now: Timestamp) -> bool {
        self.peers.is_empty() || self.peers.first_alive(now).is_some()
    }

    /// Advances the state machine to `now`. `status`: this node's own.
    #[must_use = "the actions are to be carried out"]
    pub fn tick(&mut self, now: Timestamp, status: Status) -> Vec<Action> {
        self.status = status;
        let mut actions = Vec::new();
        if self.is_leader() && self.authority(now).is_none() {
            warn!(
                "leadership lost: lock lease expired, and either no majority of grants is left or \
                 knowledge of cancellations is too old"
            );
            self.step_down(now, &mut actions);
        }
        match self.role.term().copied() {
            Some(term) => self.lead(now, term, &mut actions),
            None => self.follow(now, &mut actions),
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + limits::PEER_HEARTBEAT_INTERVAL;
            let token = self.role.token_for_grants().unwrap_or(FencingToken::NONE);
            self.broadcast(Message::Heartbeat { token, sent: now }, &mut actions);
            self.rule_out_starts(now);
        }
        actions
    }

    fn broadcast(&self, message: Message, actions: &mut Vec<Action>) {
        actions.extend(self.peers.others().map(|node| Action::Send(node, message)));
    }

    fn lead(&mut self, now: Timestamp, term: Term, actions: &mut Vec<Action>) {
        match term.lease {
            Some(lease) if now >= self.next_renewal_at => {
                self.next_renewal_at = now + limits::LOCK_RENEWAL_INTERVAL;
                actions.push(Action::Renew { lease });
            }
            None if self.lock.is_probe_due(now) => self.probe(now, limits::LOCK_PROBE_INTERVAL, actions),
            Some(_) | None => {}
        }
        if self.is_store_lost() {
            // A peer that reaches the key-value store can still commit changes.
            let successor = self.peers.first_reaching_store(now, limits::PEER_HEARTBEAT_INTERVAL * 2);
            if let Some(successor) = successor {
                info!(
                    successor = self.peers.name(successor),
                    "leadership handed over: the key-value store answers the successor, but not this leader"
                );
                return self.hand_over(term.token, successor, now, actions);
            }
        }
        self.check_reachability(term, now, actions);
    }
}

#[cfg(test)]
mod tests;
