//! Fencing tokens: the numbers of leaders' terms, in frames between nodes, responses to workers and stored
//! records.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A fencing token: the number of a leader's term. Each new leader takes a higher one, and a node or worker
/// that has seen a token rejects messages with a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Lower than the token of every leader.
    pub const NONE: FencingToken = FencingToken(0);

    /// The token after this one.
    #[must_use]
    pub const fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
