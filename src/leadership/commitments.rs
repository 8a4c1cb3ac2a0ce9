//! What this node has committed itself to: its grant to a leader, its vote for a candidate, and what of both still binds
//! it after it became the leader itself.
//!
//! Owned by [`super::Leadership`]. Commitments count from when the message
//! that they answer arrived and are lengthened for clock drift.

use crate::limits::{self, lengthened};
use crate::time::Timestamp;

/// A grant or a vote of this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Commitment {
    /// Number of the node that it was given to.
    pub(super) node: usize,
    /// It runs until then.
    pub(super) until: Timestamp,
}

impl Commitment {
    fn new(now: Timestamp, node: usize) -> Self {
        Commitment { node, until: now + lengthened(limits::GRANT_DURATION) }
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
    /// What this leader had granted to, or voted for, another node before it led runs until then.
    bound_until: Timestamp,
}

impl Commitments {
    /// Those of a process that started at `now`.
    pub(super) fn new(local_node: usize, now: Timestamp) -> Self {
        Commitments { local_node, started_at: now, grant: None, vote: None, bound_until: Timestamp::ZERO }
    }

    /// A process that has just started has lost the grants and votes of its earlier incarnation. It gives none for as
    /// long as those may run.
    pub(super) fn in_restart_grace(&self, now: Timestamp) -> bool {
        now < self.started_at + lengthened(limits::GRANT_DURATION)
    }

    /// Whether this node's own vote counts for itself. What it granted to another node, or voted for, before it took
    /// over still binds it: a leader that resumed counted leases as expired beside the node in keep-alive mode that it
    /// had granted (found by the network test).
    pub(super) fn own_vote_counts(&self, now: Timestamp) -> bool {
        !self.in_restart_grace(now) && now >= self.bound_until
    }

    /// Whether a running grant or vote for another node forbids one for this node.
    pub(super) fn exclude(&self, now: Timestamp, node: usize) -> bool {
        [self.grant, self.vote].into_iter().flatten().any(|given| given.excludes(now, node))
    }

    /// Whether this node may give the node a grant or a vote.
    pub(super) fn permit(&self, now: Timestamp, node: usize) -> bool {
        !self.in_restart_grace(now) && !self.exclude(now, node)
    }

    pub(super) fn give_grant(&mut self, now: Timestamp, node: usize) {
        self.grant = Some(Commitment::new(now, node));
    }

    pub(super) fn give_vote(&mut self, now: Timestamp, node: usize) {
        self.vote = Some(Commitment::new(now, node));
    }

    /// This node's vote for itself, while it runs.
    pub(super) fn own_vote(&self, now: Timestamp) -> Option<Commitment> {
        self.vote.filter(|vote| vote.node == self.local_node && now < vote.until)
    }

    /// Whether the last vote, running or not, was for this node itself.
    pub(super) fn voted_for_itself(&self) -> bool {
        self.vote.is_some_and(|vote| vote.node == self.local_node)
    }

    /// This node's own campaign is over, and with it the vote for itself.
    pub(super) fn withdraw_own_vote(&mut self) {
        if self.voted_for_itself() {
            self.vote = None;
        }
    }

    /// The node released leadership: the grant to it binds no longer.
    pub(super) fn withdraw_grant_to(&mut self, node: usize) {
        if self.grant.is_some_and(|grant| grant.node == node) {
            self.grant = None;
        }
    }

    /// This node became the leader: what it gave to others binds its own vote until it has run out.
    pub(super) fn bind_leader(&mut self) {
        let given = [self.grant, self.vote].into_iter().flatten();
        let to_others = given.filter(|given| given.node != self.local_node);
        self.bound_until = to_others.map(|given| given.until).max().unwrap_or_default();
        self.grant = None;
    }
}
