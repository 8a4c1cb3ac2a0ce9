//! How finished tasks are kept in the state service: bits of 4,096 tasks a key, as hexadecimal digits.

use crate::limits;
use crate::protocol::state_service::Change;
use crate::scheduler::model::JobId;
use crate::storage::key_value_store::write_change;
use crate::storage::keys;
use std::collections::BTreeSet;

/// The keys of finished tasks to write for `tasks`, as many as one transaction takes, and the tasks
/// that these cover.
pub(super) fn done_changes(
    job_id: JobId,
    tasks: BTreeSet<u32>,
    all_done: &BTreeSet<u32>,
    most: usize,
) -> (BTreeSet<u32>, Vec<Change>) {
    let chunks: BTreeSet<u32> = tasks.iter().map(|t| t / limits::FINISHED_TASKS_CHUNK).collect();
    let chunks: BTreeSet<u32> = chunks.into_iter().take(most).collect();
    let covered =
        tasks.into_iter().filter(|t| chunks.contains(&(t / limits::FINISHED_TASKS_CHUNK))).collect();
    let changes = chunks
        .iter()
        .filter_map(|chunk| {
            let first = chunk * limits::FINISHED_TASKS_CHUNK;
            let bits =
                encode_bits(all_done.range(first..first + limits::FINISHED_TASKS_CHUNK).map(|t| t - first));
            write_change(&keys::finished_tasks(job_id, *chunk), bits).ok()
        })
        .collect();
    (covered, changes)
}

/// Task numbers as hexadecimal digits, four tasks each, the lowest first.
pub(super) fn encode_bits(tasks: impl Iterator<Item = u32>) -> String {
    let mut digits: Vec<u8> = Vec::new();
    for task in tasks {
        let at = (task / 4) as usize;
        if digits.len() <= at {
            digits.resize(at + 1, 0);
        }
        digits[at] |= 1 << (task % 4);
    }
    digits.into_iter().filter_map(|d| char::from_digit(d.into(), 16)).collect()
}

pub(super) fn decode_bits(text: &str) -> impl Iterator<Item = u32> + '_ {
    text.chars().enumerate().flat_map(|(at, c)| {
        let digit = c.to_digit(16).unwrap_or(0);
        (0..4).filter(move |bit| digit & (1 << bit) != 0).map(move |bit| at as u32 * 4 + bit)
    })
}

#[cfg(test)]
#[path = "finished_tasks_tests.rs"]
mod tests;
