//! Instants of a node's steady clock, and durations as whole microseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// An instant of a node's steady clock: whole microseconds since an origin that differs between processes.
///
/// Instants of different nodes can't be compared. A message may contain its sender's instant, which is
/// meaningful only when it is echoed back to that sender. Arithmetic saturates at both ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The clock's origin; also stands for "not yet".
    pub const ZERO: Timestamp = Timestamp(0);
    /// Later than every instant that a clock shows.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// The instant this many microseconds after the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Timestamp(micros)
    }

    /// The instant this many seconds after the clock's origin.
    pub const fn from_secs(seconds: u64) -> Self {
        Timestamp(seconds * 1_000_000)
    }

    /// Microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the clock's origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time that has passed since `earlier`; zero if `earlier` is later than this instant.
    pub const fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(to_micros(duration)))
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(to_micros(duration)))
    }
}

impl fmt::Display for Timestamp {
    /// Microseconds since the clock's origin.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A [`Timestamp`] that the tasks of a process share. Loads and stores are relaxed: they order no other
/// memory accesses.
#[derive(Debug, Default)]
pub struct AtomicTimestamp(AtomicU64);

impl AtomicTimestamp {
    /// The instant last stored; [`Timestamp::ZERO`] before the first.
    pub fn load(&self) -> Timestamp {
        Timestamp(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the instant.
    pub fn store(&self, at: Timestamp) {
        self.0.store(at.0, Ordering::Relaxed);
    }
}

/// A duration in whole microseconds, the unit of frames between nodes; saturates at `u64::MAX`.
pub fn to_micros(duration: Duration) -> u64 {
    let seconds = duration.as_secs().saturating_mul(1_000_000);
    seconds.saturating_add(u64::from(duration.subsec_micros()))
}

/// A duration in seconds, the unit of rates and settings.
pub fn as_seconds(duration: Duration) -> f64 {
    to_micros(duration) as f64 / 1e6
}

/// A duration of this many seconds, in whole microseconds; zero if it is negative.
pub fn from_seconds(seconds: f64) -> Duration {
    Duration::from_micros((seconds.max(0.0) * 1e6) as u64)
}

/// A duration times a factor, in whole microseconds.
pub fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::from_micros((to_micros(duration) as f64 * factor) as u64)
}

/// A duration in whole milliseconds.
pub fn to_millis(duration: Duration) -> u64 {
    to_micros(duration) / 1_000
}
