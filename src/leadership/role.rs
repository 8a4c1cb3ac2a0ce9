//! The role of a controller node: follower, candidate with a takeover under way, node in keep-alive mode, or
//! leader. Held by [`super::Leadership`].

use crate::fencing_token::FencingToken;
use crate::time::Timestamp;

/// The role of this node.
#[derive(Debug, Clone, Copy)]
pub(super) enum Role {
    /// Follows a leader, or looks for one.
    Follower,
    /// The takeover transaction is under way.
    TakingOver { token: FencingToken, proof: TakeoverProof },
    /// The key-value store does not answer and nobody leads. A majority voted for this node to renew worker
    /// leases under the highest token that it knew then, until a leader can be elected. It starts no tasks,
    /// and stops only those of cancelled jobs.
    KeepAlive { token: FencingToken },
    /// Leads.
    Leader(Term),
}

/// A leader's term, under one fencing token.
#[derive(Debug, Clone, Copy)]
pub(super) struct Term {
    /// The fencing token.
    pub(super) token: FencingToken,
    /// Id of the lock lease; None: it has expired.
    pub(super) lease: Option<u64>,
    /// Until when the lock lease runs at least.
    pub(super) lease_until: Timestamp,
    /// When the takeover was confirmed.
    pub(super) elected_at: Timestamp,
}

/// The evidence that no other node acts. All but `LedBeforeRestart` need the lock to be free as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TakeoverProof {
    /// A majority voted for this node.
    MajorityVotes,
    /// The epoch names this node's own previous incarnation.
    LedBeforeRestart,
    /// The lock has been free for longer than a former leader may act with grants only.
    LockFreeLongEnough,
}

impl Role {
    /// The term, if this node leads.
    pub(super) fn term(&self) -> Option<&Term> {
        match self {
            Role::Leader(term) => Some(term),
            Role::Follower | Role::TakingOver { .. } | Role::KeepAlive { .. } => None,
        }
    }

    /// The token for which this node asks its peers for grants. None: it asks for none.
    pub(super) fn token_for_grants(&self) -> Option<FencingToken> {
        match self {
            Role::Leader(Term { token, .. }) | Role::KeepAlive { token } => Some(*token),
            Role::Follower | Role::TakingOver { .. } => None,
        }
    }

    pub(super) fn is_follower(&self) -> bool {
        matches!(self, Role::Follower)
    }

    pub(super) fn is_taking_over(&self) -> bool {
        matches!(self, Role::TakingOver { .. })
    }

    pub(super) fn is_keep_alive(&self) -> bool {
        matches!(self, Role::KeepAlive { .. })
    }
}
