//! Records in the key-value store, and at what pace they are written.

use std::time::Duration;

/// Share of the state service's puts and deletes that the leader spends on its own records; the rest is
/// for users' submissions and cancellations through any node.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// The leader's least burst: an ended job takes three writes at once.
pub const MIN_WRITE_BURST: f64 = 4.0;
/// Finished tasks of a job wait this long for others of it before they are written.
pub const FINISHED_TASKS_DELAY: Duration = Duration::from_secs(4);
/// A machine that is gone stays in its record this long, and new images out of it, so that others join.
pub const DELETED_MACHINE_RECORD_DELAY: Duration = Duration::from_secs(4);
/// New images of a machine are recorded after this time.
pub const IMAGE_RECORD_DELAY: Duration = Duration::from_secs(20);
/// Bytes of image names that a record keeps for each machine, and bytes of everything else.
pub const RECORD_IMAGE_BYTES: usize = 120;
/// Bytes of a machine's record besides its images.
pub const RECORD_MACHINE_BYTES: usize = 180;

/// Bytes of a value of the state service, a margin left.
pub fn value_bytes(value_kb: f64) -> usize {
    (value_kb * 1024.0 * 0.9) as usize
}

/// Machines in one record, so that it fits a value of the state service.
pub fn record_machines(value_kb: f64) -> usize {
    (value_bytes(value_kb) / (RECORD_IMAGE_BYTES + RECORD_MACHINE_BYTES)).max(1)
}
