//! Elections, votes, the lock lease, and how long a node may act without learning of cancellations. Used by
//! `leadership` and `lease::cancellation_log`.

use super::{LEASE_MARGIN, SECOND};
use crate::time::{from_seconds, scaled};
use std::time::Duration;

/// Relative drift between two clocks. The rate of each may be off by 0.05% (PROTOCOL, durations).
pub const CLOCK_DRIFT: f64 = 0.001;
/// How long a peer's grant (its consent that the leader acts) or vote (its consent that a candidate takes
/// over) is valid. Short enough that a new leader reaches workers well within a worker lease of 10 s. Long
/// enough for five missed peer heartbeats, as they occur if a process has only 4% of a core.
pub const GRANT_DURATION: Duration = Duration::from_millis(2_500);
/// The lock lease behind `leader/lock`. Longer than a grant: a takeover by votes also needs the lock to be
/// free, so a short network partition between peers causes none.
pub const LOCK_LEASE: Duration = Duration::from_secs(3);
/// Interval between two heartbeats to the peers: five to a grant.
pub const PEER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two renewals of the lock lease: three to a lease.
pub const LOCK_RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// A node acts only while its authority lasts at least this much longer: the process may lose a time slice of
/// the processor between the check and the sending.
pub const AUTHORITY_MARGIN: Duration = Duration::from_millis(300);
/// A campaign is repeated after this time plus a random time of up to as much again, so that two candidates
/// do not collide repeatedly.
pub const CAMPAIGN_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which `leader/epoch` (the last leader and its fencing token) and `leader/lock` are read while
/// a leader's heartbeats arrive.
pub const LOCK_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which `leader/epoch` and `leader/lock` are read while there is no leader.
pub const LEADERLESS_PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// A node considers the key-value store lost after this long without a response.
pub const STORE_LOST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A peer is considered in contact, and its last status valid, for this long after its last message.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A leader that stepped down in favour of the others starts no campaign for this long.
pub const STEP_DOWN_BACKOFF: Duration = Duration::from_secs(6);

/// How long a node may keep workers alive after the time up to which it knows every cancellation, less the
/// lock lease. `leadership` counts this duration from when a former leader could last act, and grants no
/// longer shard lease. At those times a leader may have missed cancellations for as long as the lock lease.
/// `CancellationLog` counts from the time up to which it knows every cancellation, and therefore adds the
/// lock lease. The bound applies to leaders that hold grants of a majority but not the lock, nodes in
/// keep-alive mode, former leaders, and leaseholders without contact with a leader.
///
/// All tasks must have ended `cancel_s` after the cancellation was confirmed to the user, and a worker that
/// gets a response at the very end keeps its tasks for its lease. The lock lease (the longest time for which
/// a leader may miss a cancellation), the delay with which a worker observes the end of its lease, and a
/// second of transfer time are subtracted too. A second suffices: stop commands are sent to workers
/// directly, and a network partition delays only those for cancellations confirmed before it began.
pub fn longest_autonomy(cancel_s: f64, lease_s: f64) -> Duration {
    from_seconds(cancel_s - lease_s).saturating_sub(LOCK_LEASE + LEASE_MARGIN + SECOND)
}

/// How long users repeat a request that was not decided (PROTOCOL, submissions and cancellations).
pub const USER_RETRY_TIME: Duration = Duration::from_secs(60);
/// How long a cancellation waits at most for a leader of which the confirming process does not know whether it
/// limits its starts. Half of the time for which users repeat a request, so that one of them still gets the
/// confirmation after a restart of the confirming node.
pub const UNKNOWN_MEMBER_AUTONOMY: Duration = Duration::from_secs(USER_RETRY_TIME.as_secs() / 2);
/// How long a leader may start tasks after it sent the request that last read the live jobs. It reads them once
/// a second; the rest allows for slow answers of the key-value store.
pub const START_TIME_AFTER_READING: Duration = LOCK_LEASE;

/// With each attestation a member promises that for this long, counted from the arrival of the receiver's
/// heartbeat, it confirms no cancellation that the receiver may not know while it starts tasks. A leader that is
/// cut off starts tasks for this long, and a cancellation that does not reach it waits for this long. Not longer
/// than a leader may act without the lock, and at most a third of the time for which users repeat a request: the
/// wait begins anew when the confirming node restarts, and it must still end while the user repeats.
pub fn start_promise(cancel_s: f64, lease_s: f64) -> Duration {
    (longest_autonomy(cancel_s, lease_s) + LOCK_LEASE).min(USER_RETRY_TIME / 3)
}

/// A member that learns of a user's request to cancel a job starts none of its tasks for at least this long, and
/// until a later reading of the live jobs shows that the job was not cancelled. Covers the time limit of the
/// transaction that cancels it, several times over.
pub const CANCELLATION_REQUEST_HOLD: Duration = Duration::from_secs(10);
/// The transaction must have been answered within this time for the members' acknowledgements of the request to
/// count: well within their [`CANCELLATION_REQUEST_HOLD`].
pub const CANCELLATION_REQUEST_VALIDITY: Duration = Duration::from_secs(5);

/// A member that has lost the key-value store promises in each attestation that for this long it will confirm
/// no cancellation before the receiver has acknowledged it. The promise covers the time that a process is
/// down after a crash (3 s or 6 s in the requirements), its start, and the wait for its next attestation.
/// Without it, a crash during an outage would leave a gap between two attestations.
pub const CONFIRMATION_SUSPENSION: Duration = Duration::from_secs(10);
/// A member gives the promise of [`CONFIRMATION_SUSPENSION`] after this long without a response of the
/// key-value store. The live jobs are read from it once a second, so a longer pause points to an outage. The
/// delay is short because an unnecessary promise costs little, and a crash may follow the beginning of an
/// outage within two seconds.
pub const CONFIRMATION_SUSPENSION_DELAY: Duration = Duration::from_millis(1_500);
/// How long a user's request waits for the members to acknowledge a cancellation. After that the user is
/// asked to retry.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Cancellations in one attestation: 32 KiB of the 64 KiB that a frame holds.
pub const MAX_ATTESTED_CANCELLATIONS: usize = 4_096;
/// The live jobs are read at least this often. Users' polls also cause readings. A node must learn of
/// cancellations without polls too: by the key-value store it knows them only up to its last reading.
pub const LIVE_JOBS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How long a cancellation is remembered. Its tasks have ended `cancel_s` after it was confirmed. Doubled,
/// since a node may learn of it late.
pub fn cancellation_retention(cancel_s: f64) -> Duration {
    from_seconds(2.0 * cancel_s)
}

/// A duration on the clock of the side that must stop first, shortened by [`CLOCK_DRIFT`].
pub fn minus_clock_drift(duration: Duration) -> Duration {
    scaled(duration, 1.0 - CLOCK_DRIFT)
}

/// A duration on the clock of the side that must wait for the other, lengthened by [`CLOCK_DRIFT`].
pub fn plus_clock_drift(duration: Duration) -> Duration {
    scaled(duration, 1.0 + CLOCK_DRIFT)
}
