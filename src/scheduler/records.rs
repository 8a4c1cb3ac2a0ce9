//! Writes what the next leader must find in the state service: which machines may hold tasks, and which tasks
//! are finished, that is, have succeeded. Called by `Scheduler` and its modules.
//!
//! The state service limits writes, so several machines share a record, and writes wait here until the
//! leader's write budget allows them: finished jobs first, then new machines, which get no task before they
//! are recorded, then finished tasks, then deleted machines and images. This module owns the assignment of
//! machines to records and the due writes; the controller makes the writes and reports their outcome.

use super::model::{Job, JobId, Kind, Machine};
use super::{Effect, RequestOutcome, Scheduler, StoredMachine};
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::time::Timestamp;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Writes of a finished job besides its chunks (keys that each store which of `FINISHED_TASKS_CHUNK` tasks
/// are finished): a put of its final state, and a delete of its live record, which it had while unfinished.
const FINAL_WRITES: f64 = 2.0;
/// Bytes that an image takes in a record besides its name: quotes and a comma.
const IMAGE_OVERHEAD_BYTES: usize = 3;

/// How urgently a record is to be written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// No write is due: the last requested one is in flight or has ended.
    NotDue,
    /// The images of a machine changed. They only improve placements after a failover.
    Images,
    /// A machine was deleted, or moved to another record. As long as the record names a deleted machine, a
    /// new leader does not know that the machine is gone: tasks of earlier leaders that may be on it start
    /// again only after its deletion is confirmed once more or its lease has expired.
    RemovedMachine,
    /// A machine is new. It gets no task before its record is written.
    NewMachine,
}

/// A record of several machines.
#[derive(Debug)]
struct Record {
    machines: BTreeSet<String>,
    urgency: Urgency,
    /// When the due write was first requested.
    due_since: Timestamp,
    /// The machines in the write that is in flight. None: no write is in flight.
    in_flight: Option<BTreeSet<String>>,
    /// Keys of the records that took over machines of this one. This one is written only after them.
    write_after_records: Vec<String>,
}

impl Record {
    fn new(machines: BTreeSet<String>, urgency: Urgency, due_since: Timestamp) -> Self {
        Record { machines, urgency, due_since, in_flight: None, write_after_records: Vec::new() }
    }

    fn request_write(&mut self, urgency: Urgency, now: Timestamp) {
        if self.urgency == Urgency::NotDue {
            self.due_since = now;
        }
        self.urgency = self.urgency.max(urgency);
    }

    /// Whether all its new machines are stored: no write is in flight, and none is due for a new machine.
    fn new_machines_are_stored(&self) -> bool {
        self.urgency < Urgency::NewMachine && self.in_flight.is_none()
    }
}

/// The records of machines, by the last part of their keys in the state service.
#[derive(Debug, Default)]
pub struct Records {
    by_key: BTreeMap<String, Record>,
    /// The record that each machine is in.
    key_of_machine: BTreeMap<String, String>,
    keys_made: u64,
}

impl Records {
    /// Returns a new key, made of the token and a running number. `reserved`: the key of a record that is
    /// being loaded and is not in `by_key` yet.
    fn new_key(&mut self, token: FencingToken, reserved: &str) -> String {
        loop {
            self.keys_made += 1;
            let key = format!("{token}-{}", self.keys_made);
            if key != reserved && !self.by_key.contains_key(&key) {
                return key;
            }
        }
    }

    /// Key of the record that the machine is in, else of the last record with room, else a new key.
    fn key_for(&mut self, machine: &str, max_machines: usize, token: FencingToken) -> String {
        if let Some(key) = self.key_of_machine.get(machine) {
            return key.clone();
        }
        let with_room = self.by_key.iter().rev().find(|(_, record)| record.machines.len() < max_machines);
        match with_room {
            Some((key, _)) => key.clone(),
            None => self.new_key(token, ""),
        }
    }

    /// Keys of the records of at least this urgency whose write was requested `delay` ago and has nothing to
    /// wait for.
    fn due(&self, urgency: Urgency, delay: Duration, now: Timestamp) -> Vec<String> {
        let is_written = |key: &String| self.by_key.get(key).is_none_or(Record::new_machines_are_stored);
        let is_due = |record: &Record| {
            record.urgency >= urgency
                && record.in_flight.is_none()
                && now >= record.due_since + delay
                && record.write_after_records.iter().all(is_written)
        };
        self.by_key.iter().filter(|(_, record)| is_due(record)).map(|(key, _)| key.clone()).collect()
    }
}

/// The leader's share of the puts and deletes per second that the state service allows all nodes together.
pub(super) fn write_budget(write_rps: f64, now: Timestamp) -> TokenBucket {
    let rate = write_rps * limits::LEADER_WRITE_SHARE;
    TokenBucket::new(rate, rate.max(limits::MIN_WRITE_BURST), now)
}

impl Scheduler {
    /// Requests a write of the machine's record: the machine is new, or its images changed.
    pub fn request_record_write(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let urgency = if machine.recorded { Urgency::Images } else { Urgency::NewMachine };
        machine.image_cache.has_unrecorded_image = false;
        let now = self.now;
        let records = &mut self.machine_records;
        let key = records.key_for(name, self.config.max_machines_per_record, self.config.token);
        records.key_of_machine.insert(name.to_string(), key.clone());
        let record =
            records.by_key.entry(key).or_insert_with(|| Record::new(BTreeSet::new(), Urgency::NotDue, now));
        let is_added = record.machines.insert(name.to_string());
        // A machine whose first write is due or in flight needs no second one.
        if is_added || urgency == Urgency::Images {
            record.request_write(urgency, now);
        }
    }

    /// Loads a record as the last leader wrote it.
    ///
    /// A record with more machines than the settings now allow (written by an earlier version or with other
    /// settings) might be too large for the state service to accept again. Its excess machines move to new
    /// records. The old record is written without them only after the new ones are, so that every machine is
    /// in a stored record at all times.
    pub fn load_record(&mut self, key: String, machines: Vec<StoredMachine>) {
        let mut remaining: Vec<String> = machines.iter().map(|machine| machine.name.clone()).collect();
        remaining.sort();
        for stored in machines {
            self.load_recorded_machine(stored);
        }
        let now = self.now;
        let max_machines = self.config.max_machines_per_record.max(1);
        let mut new_keys = Vec::new();
        while remaining.len() > max_machines {
            let excess = remaining.split_off(remaining.len() - max_machines).into_iter().collect();
            let new_key = self.machine_records.new_key(self.config.token, &key);
            self.insert_record(new_key.clone(), Record::new(excess, Urgency::NewMachine, now));
            new_keys.push(new_key);
        }
        let urgency = if new_keys.is_empty() { Urgency::NotDue } else { Urgency::RemovedMachine };
        let mut record = Record::new(remaining.into_iter().collect(), urgency, now);
        record.write_after_records = new_keys;
        self.insert_record(key, record);
    }

    fn load_recorded_machine(&mut self, stored: StoredMachine) {
        let machine = self.get_or_add_machine(&stored);
        machine.recorded = true;
        machine.inherited = true;
        machine.image_cache.images.clone_from(&stored.images);
        for image in stored.images {
            self.machines_by_image.entry(image).or_default().insert(stored.name.clone());
        }
    }

    fn insert_record(&mut self, key: String, record: Record) {
        let entries = record.machines.iter().map(|name| (name.clone(), key.clone()));
        self.machine_records.key_of_machine.extend(entries);
        self.machine_records.by_key.insert(key, record);
    }

    /// Removes a deleted machine from its record, and requests a write of the record.
    pub fn unrecord(&mut self, name: &str) {
        let Some(key) = self.machine_records.key_of_machine.remove(name) else { return };
        if let Some(record) = self.machine_records.by_key.get_mut(&key) {
            record.machines.remove(name);
            record.request_write(Urgency::RemovedMachine, self.now);
        }
    }

    /// Applies the outcome of the write of a record. A failed write is requested again with
    /// the highest urgency, since it may have held new machines.
    pub fn handle_machine_record_written(&mut self, key: &str, outcome: RequestOutcome) {
        let Some(record) = self.machine_records.by_key.get_mut(key) else { return };
        let Some(written) = record.in_flight.take() else { return };
        if outcome != RequestOutcome::Done {
            record.request_write(Urgency::NewMachine, self.now);
            return;
        }
        if record.machines.is_empty() && record.urgency == Urgency::NotDue {
            self.machine_records.by_key.remove(key);
        }
        for name in written {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.recorded = true;
            }
        }
    }

    /// Makes the due writes, the most urgent first, as far as the write budget allows.
    pub fn send_due_writes(&mut self) {
        self.write_budget.refill(self.now);
        if !self.finish_jobs()
            || !self.write_records(Urgency::NewMachine, Duration::ZERO)
            || !self.write_finished_tasks()
        {
            return;
        }
        if self.write_records(Urgency::RemovedMachine, limits::DELETED_MACHINE_RECORD_DELAY) {
            self.write_records(Urgency::Images, limits::IMAGE_RECORD_DELAY);
        }
    }

    /// Writes the records that are due at this urgency. Returns whether the budget sufficed: only then may
    /// less urgent writes follow.
    fn write_records(&mut self, urgency: Urgency, delay: Duration) -> bool {
        for key in self.machine_records.due(urgency, delay, self.now) {
            if !self.write_budget.take_allowing_debt(1.0) {
                return false;
            }
            let Some(record) = self.machine_records.by_key.get_mut(&key) else { continue };
            record.urgency = Urgency::NotDue;
            record.write_after_records.clear();
            record.in_flight = Some(record.machines.clone());
            let machines = record.machines.iter().filter_map(|name| self.machines.get(name));
            let machines = machines.map(stored_machine).collect();
            self.effects.push(Effect::WriteMachineRecord { key, machines });
        }
        true
    }

    /// Moves jobs whose last task is finished to their final state, in one transaction each. Returns whether
    /// the budget sufficed.
    fn finish_jobs(&mut self) -> bool {
        let ready = self.jobs.values().filter(|job| job.ready_to_finish()).map(|job| job.spec.job_id);
        for job_id in ready.collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let chunks = job.stored_chunks();
            if !self.write_budget.take_allowing_debt(FINAL_WRITES + chunks.len() as f64) {
                return false;
            }
            job.progress.write_in_flight = true;
            let (version, tasks) = (job.version, job.spec.tasks);
            self.effects.push(Effect::WriteJobEnd { job_id, version, tasks, chunks });
        }
        true
    }

    /// For each job that still has unfinished tasks, writes its finished ones `FINISHED_TASKS_DELAY` after
    /// the first of them finished, together with those that finished meanwhile. Until then the workers keep
    /// the results. Returns whether the budget sufficed.
    fn write_finished_tasks(&mut self) -> bool {
        let now = self.now;
        let mut ready: Vec<(Option<Timestamp>, JobId)> = self
            .jobs
            .values()
            .filter(|job| job.has_finished_tasks_due(now))
            .map(|job| (job.progress.unstored_since, job.spec.job_id))
            .collect();
        ready.sort_unstable();
        for (_, job_id) in ready {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            if !self.write_budget.take_allowing_debt(1.0) {
                return false;
            }
            job.progress.write_in_flight = true;
            let (tasks, all_succeeded) = (job.progress.unstored.clone(), job.progress.succeeded.clone());
            self.effects.push(Effect::WriteFinishedTasks {
                job_id,
                version: job.version,
                tasks,
                all_succeeded,
            });
        }
        true
    }

    /// Applies the outcome of a write of finished tasks.
    pub fn handle_finished_tasks_written(
        &mut self,
        job_id: JobId,
        tasks: BTreeSet<u32>,
        outcome: RequestOutcome,
    ) {
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        let progress = &mut job.progress;
        progress.write_in_flight = false;
        if outcome == RequestOutcome::Done {
            progress.stored_chunks.extend(tasks.iter().map(|task| task / limits::FINISHED_TASKS_CHUNK));
            progress.unstored.retain(|task| !tasks.contains(task));
            progress.unstored_since = (!progress.unstored.is_empty()).then_some(self.now);
        }
    }
}

/// A machine's entry in its record, with as many image names as fit.
fn stored_machine(machine: &Machine) -> StoredMachine {
    let mut available_bytes = limits::RECORD_IMAGE_BYTES;
    let images = machine.image_cache.images.iter().take_while(|image| {
        available_bytes = available_bytes.saturating_sub(image.len() + IMAGE_OVERHEAD_BYTES);
        available_bytes > 0
    });
    StoredMachine {
        name: machine.name.clone(),
        machine_type: machine.machine_type.clone(),
        zone: machine.zone.clone(),
        spot: machine.spot,
        address: machine.address.clone(),
        images: images.cloned().collect(),
    }
}

impl Job {
    fn ready_to_finish(&self) -> bool {
        self.spec.kind != Kind::Service
            && self.unfinished_task_count() == 0
            && !self.progress.write_in_flight
            && !self.terminated
    }

    /// Whether the job has unfinished tasks, and finished ones that are due to be written.
    fn has_finished_tasks_due(&self, now: Timestamp) -> bool {
        let progress = &self.progress;
        progress.unstored_since.is_some_and(|since| now >= since + limits::FINISHED_TASKS_DELAY)
            && !progress.write_in_flight
            && !self.terminated
            && !progress.unstored.is_empty()
            && self.unfinished_task_count() > 0
    }

    /// The chunks of finished tasks that have a key in the state service.
    fn stored_chunks(&self) -> Vec<u32> {
        self.progress.stored_chunks.iter().copied().collect()
    }
}

#[cfg(test)]
#[path = "records_tests.rs"]
mod tests;
