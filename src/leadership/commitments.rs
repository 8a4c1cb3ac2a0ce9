//! The grant to a leader and the vote for a candidate that this node has given. Both exclude other nodes
//! until they expire, and bind this node also after it became the leader itself.
//!
//! Owned by [`super::Leadership`]. A grant or vote counts from the arrival of the message that it answers and
//! is lengthened for clock drift.

use crate::limits::{self, plus_clock_drift};
use crate::time::Timestamp;

/// A grant or a vote of this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Commitment {
    /// Number of the node that received it.
    pub(super) node: usize,
    /// When it expires.
    pub(super) until: Timestamp,
}

impl Commitment {
    fn new(now: Timestamp, node: usize) -> Self {
        Commitment { node, until: now + plus_clock_drift(limits::GRANT_DURATION) }
    }

    fn excludes(&self, now: Timestamp, node: usize) -> bool {
        self.node != node && now < self.until
    }
}

/// The grant and the vote that this node has given.
#[derive(Debug)]
pub(super) struct Commitments {
    local_node: usize,
    started_at: Timestamp,
    grant: Option<Commitment>,
    vote: Option<Commitment>,
    /// When the last of the grants and votes expires that this node gave to others before it became leader.
    bound_to_others_until: Timestamp,
}

impl Commitments {
    /// The state of a process that started at `now`.
    pub(super) fn new(local_node: usize, now: Timestamp) -> Self {
        Commitments {
            local_node,
            started_at: now,
            grant: None,
            vote: None,
            bound_to_others_until: Timestamp::ZERO,
        }
    }

    /// Whether this process has started so recently that grants and votes of its earlier incarnation may
    /// still run. It does not know them and gives none meanwhile.
    pub(super) fn in_restart_grace(&self, now: Timestamp) -> bool {
        now < self.started_at + plus_clock_drift(limits::GRANT_DURATION)
    }

    /// Whether this node may count itself in the majority that grants it leadership. It may not as long as
    /// a grant or vote is running that it gave to another node before its takeover. Without this rule a
    /// leader that took over after a restart counted worker leases as expired while a node in keep-alive
    /// mode, to which it had given a grant, still renewed them (found by the network test).
    pub(super) fn counts_itself(&self, now: Timestamp) -> bool {
        !self.in_restart_grace(now) && now >= self.bound_to_others_until
    }

    /// Whether a running grant or vote for another node forbids one for `node`.
    pub(super) fn is_excluded(&self, now: Timestamp, node: usize) -> bool {
        [self.grant, self.vote].into_iter().flatten().any(|given| given.excludes(now, node))
    }

    /// Whether this node may give `node` a grant or a vote.
    pub(super) fn may_commit_to(&self, now: Timestamp, node: usize) -> bool {
        !self.in_restart_grace(now) && !self.is_excluded(now, node)
    }

    pub(super) fn give_grant(&mut self, now: Timestamp, node: usize) {
        self.grant = Some(Commitment::new(now, node));
    }

    pub(super) fn give_vote(&mut self, now: Timestamp, node: usize) {
        self.vote = Some(Commitment::new(now, node));
    }

    /// The vote for this node itself, while it runs.
    pub(super) fn own_vote(&self, now: Timestamp) -> Option<Commitment> {
        self.vote.filter(|vote| vote.node == self.local_node && now < vote.until)
    }

    /// Whether the last vote, expired or not, was for this node itself.
    pub(super) fn voted_for_itself(&self) -> bool {
        self.vote.is_some_and(|vote| vote.node == self.local_node)
    }

    /// Withdraws the vote for this node itself: its campaign is over.
    pub(super) fn withdraw_own_vote(&mut self) {
        if self.voted_for_itself() {
            self.vote = None;
        }
    }

    /// Withdraws the grant to `node`, which has released leadership.
    pub(super) fn withdraw_grant_to(&mut self, node: usize) {
        if self.grant.is_some_and(|grant| grant.node == node) {
            self.grant = None;
        }
    }

    /// Records that this node became the leader. It may not count itself in a majority until its grants and
    /// votes for other nodes have expired.
    pub(super) fn record_own_election(&mut self) {
        let given = [self.grant, self.vote].into_iter().flatten();
        let to_others = given.filter(|given| given.node != self.local_node);
        self.bound_to_others_until = to_others.map(|given| given.until).max().unwrap_or_default();
        self.grant = None;
    }
}
