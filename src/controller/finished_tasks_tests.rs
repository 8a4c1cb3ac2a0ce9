//! Finished tasks survive their encoding.

use super::{decode_bits, encode_bits, finished_tasks_write, FinishedTasksWrite};
use crate::scheduler::model::JobId;
use std::collections::BTreeSet;

#[test]
fn finished_tasks_survive_their_encoding_in_chunks() {
    let done: BTreeSet<u32> = [0, 3, 4, 4095, 4096, 99_999].into();
    let FinishedTasksWrite { tasks: covered, changes } =
        finished_tasks_write(JobId(7), done.clone(), &done, 8);
    assert_eq!(covered, done);
    assert_eq!(changes.len(), 3);
    let FinishedTasksWrite { tasks: covered, changes } =
        finished_tasks_write(JobId(7), done.clone(), &done, 2);
    assert_eq!((covered.len(), changes.len()), (5, 2));
    let bits = encode_bits([0u32, 3, 4, 4095].into_iter());
    assert_eq!(bits.len(), 1024);
    assert_eq!(decode_bits(&bits).collect::<Vec<_>>(), [0, 3, 4, 4095]);
}
