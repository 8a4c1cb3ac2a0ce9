//! Elections, votes, the lock lease, and for how long a node may act on what it knows. Used by `leadership` and
//! `lease::cancellation_log`.

use super::{LEASE_MARGIN, SECOND};
use crate::time::{from_seconds, scaled};
use std::time::Duration;

/// The rate of a clock may be off by 0.05% (PROTOCOL, durations); doubled, since both sides may be off.
pub const CLOCK_DRIFT: f64 = 0.001;
/// How long a peer's grant or vote runs. Short enough that a new leader reaches workers well within a 10 s worker lease,
/// long enough for five missed heartbeats on 4% of a core.
pub const GRANT_DURATION: Duration = Duration::from_millis(2_500);
/// The lock lease behind `leader/lock`. Longer than a grant, so that a short partition between peers
/// changes nothing.
pub const LOCK_LEASE: Duration = Duration::from_secs(3);
/// Interval of the heartbeats to the peers: five to a grant.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the renewals of the lock lease: three to a lease.
pub const LOCK_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// A leader acts only with this much authority left. It covers a time slice of the processor lost between the check and
/// the bytes on the wire.
pub const AUTHORITY_MARGIN: Duration = Duration::from_millis(300);
/// A campaign is repeated after this time and a random time of up to as much again, so that two candidates do not
/// collide repeatedly.
pub const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(300);
/// How often epoch and lock are read while a leader's heartbeats arrive.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often epoch and lock are read while there is no leader.
pub const LEADERLESS_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// The key-value store counts as lost for a node after this long without an answer.
pub const STORE_LOST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A peer is in contact, and its last status counts, for this long after its last message.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A leader that stepped down in favour of the others starts no campaign for this long.
pub const STEP_DOWN_BACKOFF: Duration = Duration::from_secs(6);

/// How long a node may keep workers alive after the moment up to which it knows every cancellation, the lock lease aside.
/// It holds for leaders that act by their peers alone, nodes in keep-alive mode, former leaders, and
/// leaseholders without contact with a leader. A worker that gets a response at the very end keeps its tasks for its
/// lease, and all tasks must be gone `cancel_s` after the cancellation was confirmed to the user. Subtracted besides are
/// the lock lease, which bounds how long a leader may miss a cancellation, the lateness with which a worker observes the
/// end of its lease, and a second of transfer time. Stop commands go straight to the workers, so those that a network
/// partition holds back belong to cancellations that were confirmed before it began.
pub fn longest_autonomy(cancel_s: f64, lease_s: f64) -> Duration {
    from_seconds(cancel_s - lease_s).saturating_sub(LOCK_LEASE + LEASE_MARGIN + SECOND)
}

/// A member that has lost the key-value store promises in each attestation that for this long it will confirm no
/// cancellation before the receiver has acknowledged it. As long as a process is away after a crash (3 and 6 s, the
/// requirements), its start and the wait for its next attestation included, so that a crash within an outage leaves no
/// gap in what is known.
pub const CONFIRMATION_SUSPENSION: Duration = Duration::from_secs(10);
/// For that promise the key-value store counts as lost after this long without an answer: the live jobs are read once a
/// second. An unnecessary promise costs little, and a crash may follow an outage within two seconds.
pub const CONFIRMATION_SUSPENSION_DELAY: Duration = Duration::from_millis(1_500);
/// A user's request waits this long for the members to acknowledge a cancellation. Then it is answered with a request to
/// retry.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Cancellations in one attestation: 32 KiB of the 64 KiB that a frame holds.
pub const MAX_ATTESTED_CANCELLATIONS: usize = 4_096;
/// The live jobs are read at least this often, also without polls: what is known of cancellations counts from then.
pub const LIVE_JOBS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How long a cancellation is remembered. Its tasks are gone `cancel_s` after it was confirmed. Doubled, since a node may
/// learn of it late.
pub fn cancellation_retention(cancel_s: f64) -> Duration {
    from_seconds(2.0 * cancel_s)
}

/// A duration as counted by the side that must stop first: shortened for clock drift.
pub fn shortened(duration: Duration) -> Duration {
    scaled(duration, 1.0 - CLOCK_DRIFT)
}

/// A duration as counted by the side that must wait for the other: lengthened for clock drift.
pub fn lengthened(duration: Duration) -> Duration {
    scaled(duration, 1.0 + CLOCK_DRIFT)
}
