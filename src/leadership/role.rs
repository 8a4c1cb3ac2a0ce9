//! What a node is at present: follower, candidate that takes over, node in keep-alive mode, or leader.

use crate::fencing_token::FencingToken;
use crate::time::Timestamp;
/// The role of this node.
#[derive(Debug, Clone, Copy)]
pub(super) enum Role {
    /// It follows a leader, or looks for one.
    Follower,
    /// The takeover transaction is under way.
    TakingOver { token: FencingToken, proof: TakeoverProof },
    /// In a store outage without a leader: it keeps workers alive under the last token, by grants of a majority, and
    /// gives no commands.
    KeepAlive { token: FencingToken },
    /// It leads.
    Leader(Term),
}

/// A leader's term, under one fencing token.
#[derive(Debug, Clone, Copy)]
pub(super) struct Term {
    /// The fencing token.
    pub(super) token: FencingToken,
    /// Id of the lock lease; None: it has ended.
    pub(super) lease: Option<u64>,
    /// Until when the lock lease surely runs.
    pub(super) lease_until: Timestamp,
    /// When the takeover was confirmed.
    pub(super) elected_at: Timestamp,
}

/// What shows that nobody else acts, besides the lock being free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TakeoverProof {
    /// A majority voted for this node.
    Votes,
    /// The epoch names this node's own previous incarnation.
    PreviousIncarnation,
    /// The lock has been free for longer than a former leader may act by its peers alone.
    LockExpired,
}

impl Role {
    /// The term of a leader.
    pub(super) fn term(&self) -> Option<&Term> {
        match self {
            Role::Leader(term) => Some(term),
            Role::Follower | Role::TakingOver { .. } | Role::KeepAlive { .. } => None,
        }
    }

    /// The token for which this node asks its peers for grants.
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
