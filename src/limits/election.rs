//! Elections, votes, the lock lease, and for how long anybody may act on what it knows.

use super::{micros, LEASE_MARGIN, SECOND};
use std::time::Duration;

/// Two clocks may part by 0.05% (PROTOCOL, durations); doubled, since both sides may be off.
pub const CLOCK_DRIFT: f64 = 0.001;
/// L: a peer's grant or promise. Short enough that a new leader reaches workers well within a 10 s
/// worker lease, long enough for five missed heartbeats on 4% of a core.
pub const GRANT_DURATION: u64 = 2_500_000;
/// The state lease behind `leader/lock`; longer than the grant so that a short peer cut changes nothing.
pub const LOCK_LEASE_MS: u64 = 3_000;
/// Heartbeats and status to the peers: five to a grant.
pub const HEARTBEAT_INTERVAL: u64 = 500_000;
/// Lock renewals: three to a lease.
pub const LOCK_RENEWAL_INTERVAL: u64 = 900_000;
/// A leader acts only with this much authority left: covers a turn of the processor lost between the
/// check and the bytes on the wire.
pub const AUTHORITY_MARGIN: u64 = 300_000;
/// A campaign repeats after this plus as much again at random, so that two candidates part.
pub const CAMPAIGN_INTERVAL: u64 = 300_000;
/// How often the epoch is read: while a leader is heard, and while none is.
pub const PROBE_INTERVAL: u64 = 1_000_000;
pub const LEADERLESS_PROBE_INTERVAL: u64 = 300_000;
/// The state service counts as lost for a node after this long without an answer.
pub const STORE_LOST_TIMEOUT: u64 = 2_500_000;
/// A peer's word on its own state access and workers is believed this long.
pub const PEER_TIMEOUT: u64 = 1_500_000;
/// A leader that gave up because nobody reached it lets the others try first.
pub const STEP_DOWN_BACKOFF: u64 = 6_000_000;

/// How long workers may be kept alive, by whom ever, after the moment up to which every cancellation is known
/// there, the state lease aside: leaders by their peers alone, node in keep-alive modes, former leaders, and leaseholders that hear
/// no leader. A worker answered at the very end lives for its lease, and all must be gone `cancel_s` after
/// the user was told. HeartbeatOutcome off besides: the state lease, by which the leader could not miss it longer, the
/// lateness of a worker's own end, and a second on the way. Stops go straight to the workers, so that what a
/// cut holds back of them was told when it began.
pub fn longest_autonomy(cancel_s: f64, lease_s: f64) -> u64 {
    micros(cancel_s - lease_s).saturating_sub(LOCK_LEASE_MS * 1_000 + LEASE_MARGIN + SECOND)
}

/// A member without the state service promises its peers whenever it attests to confirm no cancellation for so long
/// before they hold it: as long as a process is away after an end (3 and 6 s, the briefs), its start and the
/// wait for its next attestation included, so that a crash within an outage leaves no gap in what is known.
pub const CONFIRMATION_SUSPENSION: u64 = 10_000_000;
/// A member counts as without the state service for that promise after this long without an answer: the live jobs
/// are read once a second. It costs little when wrong, and a crash may follow an outage within two seconds.
pub const CONFIRMATION_SUSPENSION_DELAY: u64 = 1_500_000;
/// A user waits this long for the members to hold a cancellation; then it is told to come back.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Cancellations in one attestation: 32 KiB of the 64 that a frame holds.
pub const MAX_ATTESTED_CANCELLATIONS: usize = 4_096;
/// The live jobs are read again at least this often, polls or not: what is known of cancellations counts from it.
pub const LIVE_JOBS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How long a cancellation is remembered: its tasks are gone `cancel_s` after it was told, or a rule is broken
/// already; doubled for what is known of it late.
pub fn cancellation_retention(cancel_s: f64) -> u64 {
    micros(2.0 * cancel_s)
}

/// A time as the side counts it that must stop first.
pub fn shortened(time: u64) -> u64 {
    (time as f64 * (1.0 - CLOCK_DRIFT)) as u64
}

/// A time as the side counts it that must wait for the other.
pub fn lengthened(time: u64) -> u64 {
    (time as f64 * (1.0 + CLOCK_DRIFT)) as u64
}
