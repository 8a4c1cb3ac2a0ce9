//! Records in the key-value store: their sizes, and when they are written. Used by `scheduler::records`.

use std::time::Duration;

/// Share of the key-value store's puts and deletes that the leader spends on its own records. The rest is for
/// users' submissions and cancellations through any node.
pub const LEADER_WRITE_SHARE: f64 = 0.5;
/// The smallest burst of the leader's write budget, in puts and deletes: a job that ends takes three at once.
pub const MIN_WRITE_BURST: f64 = 4.0;
/// Finished tasks of a job are written after this delay, in one write with others of the job.
pub const FINISHED_TASKS_DELAY: Duration = Duration::from_secs(4);
/// A deleted machine is removed from its record after this delay, so that several changes share one write.
pub const DELETED_MACHINE_RECORD_DELAY: Duration = Duration::from_secs(4);
/// New images of a machine are recorded after this delay, so that several changes share one write.
pub const IMAGE_RECORD_DELAY: Duration = Duration::from_secs(20);
/// Bytes of image names that a record keeps for each machine.
pub const RECORD_IMAGE_BYTES: usize = 120;
/// Bytes of a machine's entry in a record besides its image names.
pub const RECORD_MACHINE_BYTES: usize = 180;

/// Bytes that a value of the key-value store may have, less a margin. `value_kb`: its limit in KiB.
pub fn value_bytes(value_kb: f64) -> usize {
    (value_kb * 1024.0 * 0.9) as usize
}

/// Machines in one record, so that it fits a value of the key-value store. `value_kb`: the limit of a value
/// in KiB.
pub fn machines_per_record(value_kb: f64) -> usize {
    (value_bytes(value_kb) / (RECORD_IMAGE_BYTES + RECORD_MACHINE_BYTES)).max(1)
}
