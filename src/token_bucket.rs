//! A token bucket: paces requests, writes or starts of tasks so that they stay within a rate per second.
//!
//! Owned by the part that spends from it: the state service's client for users' requests, the scheduler for the
//! leader's own records and for the starts of a cold start. The caller passes the time, so the bucket itself reads no clock.

use crate::time::{as_seconds, Timestamp};

/// Tokens that refill at a constant rate up to a capacity. One token is one request, one write or one start of a task.
/// The default is an empty bucket that never refills.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Tokens that it holds at most.
    capacity: f64,
    /// Tokens that it holds. Negative while there is a debt, see [`TokenBucket::take_allowing_debt`].
    available: f64,
    /// Time of the last refill.
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// A full bucket. `rate` is in tokens per second.
    pub fn new(rate: f64, capacity: f64, now: Timestamp) -> Self {
        TokenBucket { rate, capacity, available: capacity, refilled_at: now }
    }

    /// An empty bucket. Arguments as for [`TokenBucket::new`].
    pub fn empty(rate: f64, capacity: f64, now: Timestamp) -> Self {
        TokenBucket { rate, capacity, available: 0.0, refilled_at: now }
    }

    /// Tokens that it holds as of the last refill.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: Timestamp) {
        let elapsed_s = as_seconds(now.since(self.refilled_at));
        self.refilled_at = now;
        self.available = (self.available + elapsed_s * self.rate).min(self.capacity);
    }

    /// Refills, then takes `count` tokens if all of them are available. A `count` above the capacity is never granted.
    #[must_use]
    pub fn refill_and_take(&mut self, now: Timestamp, count: f64) -> bool {
        self.refill(now);
        let granted = self.available >= count;
        if granted {
            self.available -= count;
        }
        granted
    }

    /// Takes `count` tokens without a refill. A `count` above the capacity is granted when the bucket is full; the
    /// excess becomes a debt that later refills pay. Without this a write larger than the capacity would never be made.
    #[must_use]
    pub fn take_allowing_debt(&mut self, count: f64) -> bool {
        let granted = self.may_take_allowing_debt(count);
        if granted {
            self.available -= count;
        }
        granted
    }

    /// Whether [`TokenBucket::take_allowing_debt`] would grant `count` tokens.
    pub fn may_take_allowing_debt(&self, count: f64) -> bool {
        self.available >= count.min(self.capacity)
    }

    /// Takes `count` tokens, if need be as a debt.
    pub fn spend(&mut self, count: f64) {
        self.available -= count;
    }
}

#[cfg(test)]
#[path = "token_bucket_tests.rs"]
mod tests;
