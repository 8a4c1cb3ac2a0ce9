//! The verdict on each task.

use crate::evidence::{Fact, JobFact, MachineFact, Reported, ReportedState, TaskKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is concluded of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// One machine reports it: it is let run.
    Running,
    /// A worker keeps its result, and the store does not have it: it is recorded, not run again.
    FinishedUnrecorded,
    /// Nobody has it, and nobody can: it is ordered, once.
    Missing,
    /// Several machines report it: one of them goes on, the others are stopped.
    Twice,
    /// Reported although the store has it as finished: it is stopped.
    AlreadyFinished,
    /// Of a job that the store, read after the heartbeat, does not have: it is stopped.
    UnknownJob,
    /// Something may yet show where it is: nothing is ordered, nothing is stopped.
    CannotKnowYet,
}

/// What a verdict rests on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// The newest heartbeats of these machines.
    ReportedBy(BTreeSet<String>),
    /// Every machine was heard without it, or is gone.
    NobodyHasIt {
        /// Machines heard.
        heard: usize,
        /// Machines gone.
        gone: usize,
    },
    /// These machines have not been heard; the first few.
    Unheard(Vec<String>),
    /// The store has not been read since the heartbeat.
    StoreNotReadSince,
    /// The job's record can't be read.
    RecordUnreadable,
}

/// Unheard machines that are named as evidence.
const NAMED_MOST: usize = 5;

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

/// Everything that is known, joined.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reconciliation {
    machines: BTreeMap<String, MachineFact>,
    jobs: BTreeMap<u64, JobFact>,
}

impl Reconciliation {
    /// Takes a fact in.
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

    /// Machines that have not been heard and are not gone.
    pub fn unheard(&self) -> impl Iterator<Item = &str> {
        let unheard = self.machines.iter().filter(|(_, fact)| **fact == MachineFact::Unheard);
        unheard.map(|(name, _)| name.as_str())
    }

    /// The verdict on every unfinished task that is stored, and on every task that is reported.
    pub fn verdicts(&self) -> BTreeMap<TaskKey, (Verdict, Evidence)> {
        let reported = self.reported();
        let nowhere = self.nowhere();
        let mut verdicts = BTreeMap::new();
        for (job, fact) in &self.jobs {
            let JobFact::Live { tasks, finished } = fact else { continue };
            for task in (0..*tasks).filter(|task| !finished.contains(task)) {
                let key = TaskKey { job: *job, task };
                let verdict = match reported.get(&key) {
                    Some(places) => judge_reported(places).unwrap_or_else(|| nowhere.clone()),
                    None => nowhere.clone(),
                };
                verdicts.insert(key, verdict);
            }
        }
        for (key, places) in &reported {
            if !verdicts.contains_key(key) {
                verdicts.extend(self.judge_stranger(*key, places).map(|verdict| (*key, verdict)));
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

    /// What each task's newest heartbeats say, by machine, with the time at which the heartbeat came.
    fn reported(&self) -> BTreeMap<TaskKey, BTreeMap<&str, (Reported, u64)>> {
        let mut reported: BTreeMap<TaskKey, BTreeMap<&str, (Reported, u64)>> = BTreeMap::new();
        for (name, fact) in &self.machines {
            let MachineFact::Heard { at, tasks, .. } = fact else { continue };
            for task in tasks {
                reported.entry(task.task).or_default().insert(name, (*task, *at));
            }
        }
        reported
    }

    /// The verdict on a task that no heartbeat lists.
    fn nowhere(&self) -> (Verdict, Evidence) {
        let unheard: Vec<String> = self.unheard().take(NAMED_MOST).map(str::to_string).collect();
        if !unheard.is_empty() {
            return (Verdict::CannotKnowYet, Evidence::Unheard(unheard));
        }
        let gone = self.machines.values().filter(|fact| matches!(fact, MachineFact::Gone(_))).count();
        let heard = self.machines.len() - gone;
        (Verdict::Missing, Evidence::NobodyHasIt { heard, gone })
    }

    /// The verdict on a reported task that is not among the stored unfinished ones; `None`: it has ended, and nobody
    /// misses it.
    fn judge_stranger(
        &self,
        key: TaskKey,
        places: &BTreeMap<&str, (Reported, u64)>,
    ) -> Option<(Verdict, Evidence)> {
        let alive: BTreeMap<&str, u64> = places
            .iter()
            .filter(|(_, (task, _))| task.state == ReportedState::Alive)
            .map(|(name, (_, at))| (*name, *at))
            .collect();
        let latest = alive.values().max()?;
        let by = Evidence::ReportedBy(alive.keys().map(|name| name.to_string()).collect());
        Some(match self.jobs.get(&key.job) {
            Some(JobFact::Live { .. }) => (Verdict::AlreadyFinished, by),
            Some(JobFact::Absent { read }) if read > latest => (Verdict::UnknownJob, by),
            Some(JobFact::Absent { .. }) | None => (Verdict::CannotKnowYet, Evidence::StoreNotReadSince),
            Some(JobFact::Unreadable) => (Verdict::CannotKnowYet, Evidence::RecordUnreadable),
        })
    }
}

/// The verdict on a stored task that heartbeats list; `None`: it has ended everywhere without a result.
fn judge_reported(places: &BTreeMap<&str, (Reported, u64)>) -> Option<(Verdict, Evidence)> {
    let of = |state: ReportedState| -> BTreeSet<String> {
        let these = places.iter().filter(|(_, (task, _))| task.state == state);
        these.map(|(name, _)| name.to_string()).collect()
    };
    let done = of(ReportedState::Done);
    if !done.is_empty() {
        return Some((Verdict::FinishedUnrecorded, Evidence::ReportedBy(done)));
    }
    let alive = of(ReportedState::Alive);
    match alive.len() {
        0 => None,
        1 => Some((Verdict::Running, Evidence::ReportedBy(alive))),
        _ => Some((Verdict::Twice, Evidence::ReportedBy(alive))),
    }
}
