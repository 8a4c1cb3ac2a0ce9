//! The verdict on each task, from all facts together.

use crate::evidence::{Fact, JobFact, MachineFact, ReportedState, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The conclusion about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// One machine reports it: it goes on running.
    Running,
    /// A worker keeps its result, and the store does not have it: it is recorded, not run again.
    FinishedUnrecorded,
    /// No machine runs it, and none can: it is started, once.
    Missing,
    /// Several machines report it: one of them goes on, the others are stopped.
    Twice,
    /// Reported although the store has it as finished: it is stopped.
    AlreadyFinished,
    /// Of a job that the store, read after the heartbeat, does not have: it is stopped.
    UnknownJob,
    /// A heartbeat or read to come may show where it is: it is neither started nor stopped.
    CannotKnowYet,
}

/// The evidence of a verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The newest heartbeats of these machines.
    ReportedBy(BTreeSet<String>),
    /// Every machine has sent a heartbeat without it, or is gone.
    NobodyHasIt {
        /// Machines that have sent a heartbeat.
        heard: usize,
        /// Machines gone.
        gone: usize,
    },
    /// These machines have not sent a heartbeat; only the first few are named.
    Unheard(Vec<String>),
    /// The store has not been read since the heartbeat.
    StoreNotReadSince,
    /// The job's record can't be read.
    RecordUnreadable,
}

/// Machines named as evidence of a verdict.
const MAX_NAMED_MACHINES: usize = 5;

/// How many tasks have which verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// [`Verdict::Running`].
    pub running: usize,
    /// [`Verdict::FinishedUnrecorded`].
    pub finished_unrecorded: usize,
    /// [`Verdict::Missing`].
    pub missing: usize,
    /// [`Verdict::Twice`].
    pub twice: usize,
    /// [`Verdict::AlreadyFinished`].
    pub already_finished: usize,
    /// [`Verdict::UnknownJob`].
    pub unknown_job: usize,
    /// [`Verdict::CannotKnowYet`].
    pub cannot_know_yet: usize,
}

impl Counts {
    /// Counts a verdict.
    pub fn add(&mut self, verdict: Verdict) {
        let count = match verdict {
            Verdict::Running => &mut self.running,
            Verdict::FinishedUnrecorded => &mut self.finished_unrecorded,
            Verdict::Missing => &mut self.missing,
            Verdict::Twice => &mut self.twice,
            Verdict::AlreadyFinished => &mut self.already_finished,
            Verdict::UnknownJob => &mut self.unknown_job,
            Verdict::CannotKnowYet => &mut self.cannot_know_yet,
        };
        *count += 1;
    }
}

/// A task in a machine's newest heartbeat.
#[derive(Debug, Clone, Copy)]
struct Listing {
    state: ReportedState,
    /// When the heartbeat arrived.
    at: u64,
}

/// The machines that list a task, by name.
type Listings<'a> = BTreeMap<&'a str, Listing>;

/// All facts, joined.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reconciliation {
    machines: BTreeMap<String, MachineFact>,
    jobs: BTreeMap<u64, JobFact>,
}

impl Reconciliation {
    /// Joins a fact to those that are known.
    pub fn learn(&mut self, fact: Fact) {
        match fact {
            Fact::Machine(name, fact) => {
                let known = self.machines.remove(&name).unwrap_or(MachineFact::Unheard);
                self.machines.insert(name, known.join(fact));
            }
            Fact::Job(job, fact) => {
                let joined = match self.jobs.remove(&job) {
                    Some(known) => known.join(fact),
                    None => fact,
                };
                self.jobs.insert(job, joined);
            }
        }
    }

    /// Machines that have not sent a heartbeat and are not gone.
    pub fn unheard(&self) -> impl Iterator<Item = &str> {
        let unheard = self.machines.iter().filter(|(_, fact)| **fact == MachineFact::Unheard);
        unheard.map(|(name, _)| name.as_str())
    }

    /// The verdict on every unfinished task that is stored, and on every task that is reported.
    pub fn verdicts(&self) -> BTreeMap<TaskKey, (Verdict, Evidence)> {
        let reported = self.reported();
        let unreported = self.judge_unreported();
        let mut verdicts = BTreeMap::new();
        for (job, fact) in &self.jobs {
            let JobFact::Live { tasks, finished } = fact else { continue };
            for task in (0..*tasks).filter(|task| !finished.contains(task)) {
                let key = TaskKey { job: *job, task };
                let judged = reported.get(&key).and_then(judge_stored);
                verdicts.insert(key, judged.unwrap_or_else(|| unreported.clone()));
            }
        }
        for (key, listings) in &reported {
            if !verdicts.contains_key(key) {
                verdicts.extend(self.judge_unstored(*key, listings).map(|verdict| (*key, verdict)));
            }
        }
        verdicts
    }

    /// How many tasks have which verdict.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        self.verdicts().values().for_each(|(verdict, _)| counts.add(*verdict));
        counts
    }

    fn reported(&self) -> BTreeMap<TaskKey, Listings<'_>> {
        let mut reported: BTreeMap<TaskKey, Listings<'_>> = BTreeMap::new();
        for (name, fact) in &self.machines {
            let MachineFact::Heard { at, tasks, .. } = fact else { continue };
            for task in tasks {
                reported.entry(task.task).or_default().insert(name, Listing { state: task.state, at: *at });
            }
        }
        reported
    }

    /// The verdict on a stored task that no heartbeat lists.
    fn judge_unreported(&self) -> (Verdict, Evidence) {
        let unheard: Vec<String> = self.unheard().take(MAX_NAMED_MACHINES).map(str::to_string).collect();
        if !unheard.is_empty() {
            return (Verdict::CannotKnowYet, Evidence::Unheard(unheard));
        }
        let gone = self.machines.values().filter(|fact| matches!(fact, MachineFact::Gone(_))).count();
        let heard = self.machines.len() - gone;
        (Verdict::Missing, Evidence::NobodyHasIt { heard, gone })
    }

    /// The verdict on a reported task that is not among the stored unfinished ones; `None`: it has ended on every
    /// machine, so that nothing is to be done.
    fn judge_unstored(&self, key: TaskKey, listings: &Listings<'_>) -> Option<(Verdict, Evidence)> {
        let alive = listings.iter().filter(|(_, listing)| listing.state == ReportedState::Alive);
        let latest = alive.map(|(_, listing)| listing.at).max()?;
        let by = Evidence::ReportedBy(machines_in(listings, ReportedState::Alive));
        Some(match self.jobs.get(&key.job) {
            Some(JobFact::Live { .. }) => (Verdict::AlreadyFinished, by),
            Some(JobFact::Absent { read }) if *read > latest => (Verdict::UnknownJob, by),
            Some(JobFact::Absent { .. }) | None => (Verdict::CannotKnowYet, Evidence::StoreNotReadSince),
            Some(JobFact::Unreadable) => (Verdict::CannotKnowYet, Evidence::RecordUnreadable),
        })
    }
}

/// The verdict on a stored task that heartbeats list; `None`: it has ended everywhere without a result.
fn judge_stored(listings: &Listings<'_>) -> Option<(Verdict, Evidence)> {
    let done = machines_in(listings, ReportedState::Done);
    if !done.is_empty() {
        return Some((Verdict::FinishedUnrecorded, Evidence::ReportedBy(done)));
    }
    let alive = machines_in(listings, ReportedState::Alive);
    match alive.len() {
        0 => None,
        1 => Some((Verdict::Running, Evidence::ReportedBy(alive))),
        _ => Some((Verdict::Twice, Evidence::ReportedBy(alive))),
    }
}

/// The machines that list the task in this state.
fn machines_in(listings: &Listings<'_>, state: ReportedState) -> BTreeSet<String> {
    let in_state = listings.iter().filter(|(_, listing)| listing.state == state);
    in_state.map(|(name, _)| name.to_string()).collect()
}
