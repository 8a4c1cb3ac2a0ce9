//! The form of finished tasks in the state service: bits of 4,096 tasks (a chunk) under each key, as hexadecimal
//! digits. Written by `effects`, read by `job_watch`.

use crate::limits;
use crate::protocol::state_service::Change;
use crate::scheduler::model::JobId;
use crate::storage::key_value_store::write_change;
use crate::storage::keys;
use std::collections::BTreeSet;

/// One write of finished tasks.
pub(super) struct FinishedTasksWrite {
    /// The tasks that it records.
    pub(super) tasks: BTreeSet<u32>,
    pub(super) changes: Vec<Change>,
}

/// The write that records `tasks`, or as many of them as `max_changes` cover. A chunk is written as a
/// complete value, so `all_succeeded` gives the tasks of the job that were recorded before as well.
pub(super) fn finished_tasks_write(
    job_id: JobId,
    tasks: BTreeSet<u32>,
    all_succeeded: &BTreeSet<u32>,
    max_changes: usize,
) -> FinishedTasksWrite {
    let chunks: BTreeSet<u32> = tasks.iter().map(|task| task / limits::FINISHED_TASKS_CHUNK).collect();
    let chunks: BTreeSet<u32> = chunks.into_iter().take(max_changes).collect();
    let covered =
        tasks.into_iter().filter(|task| chunks.contains(&(task / limits::FINISHED_TASKS_CHUNK))).collect();
    let changes = chunks
        .iter()
        .filter_map(|chunk| {
            let first = chunk * limits::FINISHED_TASKS_CHUNK;
            let bits = encode_bits(
                all_succeeded.range(first..first + limits::FINISHED_TASKS_CHUNK).map(|task| task - first),
            );
            // Text always has a JSON form.
            write_change(&keys::finished_tasks(job_id, *chunk), bits).ok()
        })
        .collect();
    FinishedTasksWrite { tasks: covered, changes }
}

/// Task numbers as hexadecimal digits, four tasks each, the lowest first.
pub(super) fn encode_bits(tasks: impl Iterator<Item = u32>) -> String {
    let mut digits: Vec<u8> = Vec::new();
    for task in tasks {
        let index = (task / 4) as usize;
        if digits.len() <= index {
            digits.resize(index + 1, 0);
        }
        digits[index] |= 1 << (task % 4);
    }
    digits.into_iter().filter_map(|digit| char::from_digit(digit.into(), 16)).collect()
}

/// The task numbers of a text that [`encode_bits`] made; a character that is no digit counts as 0.
pub(super) fn decode_bits(text: &str) -> impl Iterator<Item = u32> + '_ {
    text.chars().enumerate().flat_map(|(index, character)| {
        let digit = character.to_digit(16).unwrap_or(0);
        (0..4).filter(move |bit| digit & (1 << bit) != 0).map(move |bit| index as u32 * 4 + bit)
    })
}

#[cfg(test)]
#[path = "finished_tasks_tests.rs"]
mod tests;
