//! What the next leader must find in the state service: which machines may hold tasks, and which tasks
//! are finished. Writes are scarce, so machines share records, and what is to be written waits here until
//! the leader's budget has room for it: ended jobs first, then machines that may get no task before they
//! are recorded, then finished tasks, then the rest.

use super::model::*;
use super::{Effect, Scheduler, StoredMachine, WriteOutcome};
use crate::limits;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};

/// How urgently a record is to be written again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    Nothing,
    /// Images only make placing after a takeover better.
    Images,
    /// A machine that is gone costs the next leader a deletion before inherited work starts.
    Gone,
    /// A machine in it gets no task before.
    New,
}

#[derive(Debug)]
struct Group {
    members: BTreeSet<String>,
    need: Need,
    since: u64,
    /// The members of a write under way.
    writing: Option<BTreeSet<String>>,
    /// Records that took members over from this one: until they are written, this one stays as it is.
    after: Vec<String>,
}

#[derive(Debug, Default)]
pub struct Records {
    groups: BTreeMap<String, Group>,
    of: BTreeMap<String, String>,
    made: u64,
}

impl Records {
    /// A key that no record has, `besides` included.
    fn new_key(&mut self, token: u64, besides: &str) -> String {
        loop {
            self.made += 1;
            let key = format!("{token}-{}", self.made);
            if key != besides && !self.groups.contains_key(&key) {
                return key;
            }
        }
    }
}

/// The leader's share of the state service's puts and deletes. `now` is in microseconds.
pub(super) fn write_budget(write_rps: f64, now: u64) -> TokenBucket {
    let rate = write_rps * limits::LEADER_WRITE_SHARE;
    TokenBucket::new(rate, rate.max(limits::MIN_WRITE_BURST), now)
}

impl Scheduler {
    /// The machine is to be recorded, or its images changed.
    pub fn record(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let need = if machine.recorded { Need::Images } else { Need::New };
        machine.image_cache.changed = false;
        let most = self.config.record_machines;
        let records = &mut self.records;
        let key = records.of.get(name).cloned().unwrap_or_else(|| {
            let open = records.groups.iter().rev().find(|(_, g)| g.members.len() < most);
            open.map(|(key, _)| key.clone()).unwrap_or_else(|| records.new_key(self.config.token, ""))
        });
        records.of.insert(name.to_string(), key.clone());
        let now = self.now;
        let group = records.groups.entry(key).or_insert_with(|| Group {
            members: BTreeSet::new(),
            need: Need::Nothing,
            since: now,
            writing: None,
            after: Vec::new(),
        });
        let joins = group.members.insert(name.to_string());
        // One that waits to be written, or is being written, need not ask again.
        if joins || need == Need::Images {
            group.ask(need, now);
        }
    }

    /// A record as the last leader left it. One that is larger than the state service may soon take (an earlier
    /// version made it, or other settings) could not be written again: the rest of it moves to new records, and
    /// only when those are written is the old one written without it, so that no machine is ever in none.
    pub fn load_record(&mut self, key: String, machines: Vec<StoredMachine>) {
        let now = self.now;
        let mut rest: Vec<String> = machines.iter().map(|m| m.name.clone()).collect();
        rest.sort();
        for stored in machines {
            let machine = self.machine(&stored);
            machine.recorded = true;
            machine.inherited = true;
            machine.image_cache.images.clone_from(&stored.images);
            for image in stored.images {
                self.machines_by_image.entry(image).or_default().insert(stored.name.clone());
            }
        }
        let most = self.config.record_machines.max(1);
        let mut keys = Vec::new();
        while rest.len() > most {
            let members: BTreeSet<String> = rest.split_off(rest.len() - most).into_iter().collect();
            let new = self.records.new_key(self.config.token, &key);
            self.records.of.extend(members.iter().map(|name| (name.clone(), new.clone())));
            let group = Group { members, need: Need::New, since: now, writing: None, after: Vec::new() };
            self.records.groups.insert(new.clone(), group);
            keys.push(new);
        }
        let need = if keys.is_empty() { Need::Nothing } else { Need::Gone };
        self.records.of.extend(rest.iter().map(|name| (name.clone(), key.clone())));
        let members = rest.into_iter().collect();
        self.records.groups.insert(key, Group { members, need, since: now, writing: None, after: keys });
    }

    /// The machine is gone.
    pub fn unrecord(&mut self, name: &str) {
        let Some(key) = self.records.of.remove(name) else { return };
        if let Some(group) = self.records.groups.get_mut(&key) {
            group.members.remove(name);
            group.ask(Need::Gone, self.now);
        }
    }

    pub fn recorded(&mut self, key: &str, outcome: WriteOutcome) {
        let Some(group) = self.records.groups.get_mut(key) else { return };
        let Some(written) = group.writing.take() else { return };
        if outcome != WriteOutcome::Done {
            group.ask(Need::New, self.now);
            return;
        }
        if group.members.is_empty() && group.need == Need::Nothing {
            self.records.groups.remove(key);
        }
        for name in written {
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.recorded = true;
            }
        }
    }

    /// Writes what is due, the most urgent first, as far as the budget goes.
    pub fn write_due(&mut self) {
        self.writes.refill(self.now);
        if !self.finish_jobs() || !self.write_records(Need::New, 0) || !self.commit_done() {
            return;
        }
        if self.write_records(Need::Gone, limits::DELETED_MACHINE_RECORD_DELAY) {
            self.write_records(Need::Images, limits::IMAGE_RECORD_DELAY);
        }
    }

    /// Returns whether all that needed it was written, and so whether less urgent things may follow.
    fn write_records(&mut self, need: Need, wait: u64) -> bool {
        let now = self.now;
        let groups = &self.records.groups;
        let written =
            |key: &String| groups.get(key).is_none_or(|g| g.need < Need::New && g.writing.is_none());
        let due = |g: &Group| {
            g.need >= need && g.writing.is_none() && now >= g.since + wait && g.after.iter().all(written)
        };
        let due: Vec<String> = groups.iter().filter(|(_, g)| due(g)).map(|(key, _)| key.clone()).collect();
        for key in due {
            if !self.writes.take_allowing_debt(1.0) {
                return false;
            }
            let Some(group) = self.records.groups.get_mut(&key) else { continue };
            group.need = Need::Nothing;
            group.after.clear();
            group.writing = Some(group.members.clone());
            let machines = group.members.iter().filter_map(|name| self.machines.get(name));
            let machines = machines.map(stored_machine).collect();
            self.effects.push(Effect::Record { key, machines });
        }
        true
    }

    /// Jobs whose last task is finished go over in one transaction each.
    fn finish_jobs(&mut self) -> bool {
        let ready = self.jobs.values().filter(|j| j.ready_to_finish()).map(|j| j.spec.job_id);
        for job_id in ready.collect::<Vec<_>>() {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            let chunks = job.chunks();
            if !self.writes.take_allowing_debt(2.0 + chunks.len() as f64) {
                return false;
            }
            job.progress.write_in_flight = true;
            let (version, tasks) = (job.version, job.spec.tasks);
            self.effects.push(Effect::Finish { job_id, version, tasks, chunks });
        }
        true
    }

    /// Finished tasks of jobs that go on, some time after the first of them: a result is kept on its
    /// worker until then, and the tasks that end meanwhile are written with it.
    fn commit_done(&mut self) -> bool {
        let now = self.now;
        let ready = |j: &&Job| {
            let waits =
                j.progress.unrecorded_since.is_some_and(|since| now >= since + limits::FINISHED_TASKS_DELAY);
            waits
                && !j.progress.write_in_flight
                && !j.terminated
                && !j.progress.unrecorded.is_empty()
                && j.unfinished() > 0
        };
        let mut ready: Vec<_> =
            self.jobs.values().filter(ready).map(|j| (j.progress.unrecorded_since, j.spec.job_id)).collect();
        ready.sort_unstable();
        for (_, job_id) in ready {
            let Some(job) = self.jobs.get_mut(&job_id) else { continue };
            if !self.writes.take_allowing_debt(1.0) {
                return false;
            }
            job.progress.write_in_flight = true;
            let (version, tasks, all_done) =
                (job.version, job.progress.unrecorded.clone(), job.progress.succeeded.clone());
            self.effects.push(Effect::CommitDone { job_id, version, tasks, all_done });
        }
        true
    }

    pub fn committed(&mut self, job_id: JobId, tasks: BTreeSet<u32>, outcome: WriteOutcome) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&job_id) else { return };
        job.progress.write_in_flight = false;
        if outcome == WriteOutcome::Done {
            job.progress.recorded_chunks.extend(tasks.iter().map(|t| t / limits::FINISHED_TASKS_CHUNK));
            job.progress.unrecorded.retain(|t| !tasks.contains(t));
            job.progress.unrecorded_since = (!job.progress.unrecorded.is_empty()).then_some(now);
        }
    }
}

impl Group {
    fn ask(&mut self, need: Need, now: u64) {
        if self.need == Need::Nothing {
            self.since = now;
        }
        self.need = self.need.max(need);
    }
}

fn stored_machine(machine: &Machine) -> StoredMachine {
    let mut room = limits::RECORD_IMAGE_BYTES;
    let images = machine.image_cache.images.iter().take_while(|image| {
        room = room.saturating_sub(image.len() + 3);
        room > 0
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
            && self.unfinished() == 0
            && !self.progress.write_in_flight
            && !self.terminated
    }

    /// The keys of finished tasks that may have been written.
    fn chunks(&self) -> Vec<u32> {
        self.progress.recorded_chunks.iter().copied().collect()
    }
}
