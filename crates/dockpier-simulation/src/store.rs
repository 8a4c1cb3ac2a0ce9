//! The state service: what a leader writes, and what the next one reads.

use dockpier::scheduler::cold_start::{ColdStartReport, JobReading};
use dockpier::scheduler::drains::{DrainKey, DrainValue, LoadedDrains};
use dockpier::scheduler::model::JobId;
use dockpier::scheduler::{Command, Effect, RequestOutcome, StoredJob, StoredMachine};
use dockpier_drain::ledger::LedgerRecord;
use dockpier_drain::progress::Chunk;
use dockpier_drain::request::{DrainId, StoredRequest};
use dockpier_drain::status::Summary;
use std::collections::{BTreeMap, BTreeSet};

/// Everything that is stored.
#[derive(Debug, Default)]
pub struct Store {
    /// Live jobs.
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// What operators asked for.
    pub requests: BTreeMap<DrainId, StoredRequest>,
    /// What operators are told.
    pub summaries: BTreeMap<DrainId, Summary>,
    /// The teams' disruption.
    pub ledgers: BTreeMap<String, LedgerRecord>,
    /// Teams whose ledger can't be read.
    pub unreadable_ledgers: Vec<String>,
    /// Parts of each drain's machines.
    pub progress: BTreeMap<DrainId, BTreeMap<usize, Chunk>>,
    /// The report of the last cold start.
    pub cold_start: Option<ColdStartReport>,
    /// Jobs whose record can't be read.
    pub unreadable: BTreeSet<JobId>,
    /// Changes are refused.
    pub out: bool,
    /// Changes are carried out, and their answers are lost.
    pub answers_lost: bool,
    /// Changes so far.
    pub writes: usize,
    /// Changes for drains so far.
    pub drain_writes: usize,
    machines: BTreeMap<String, Vec<StoredMachine>>,
}

impl Store {
    /// Machine records.
    pub fn records(&self) -> Vec<(String, Vec<StoredMachine>)> {
        self.machines.iter().map(|(key, machines)| (key.clone(), machines.clone())).collect()
    }

    /// Drains, as a new leader reads them.
    pub fn loaded_drains(&self) -> LoadedDrains {
        let parts = |parts: &BTreeMap<usize, Chunk>| parts.values().cloned().collect();
        LoadedDrains {
            requests: self.requests.values().cloned().collect(),
            progress: self.progress.iter().map(|(id, chunks)| (id.clone(), parts(chunks))).collect(),
            ledgers: self.ledgers.clone(),
            unreadable_ledgers: self.unreadable_ledgers.clone(),
        }
    }

    /// What a reading of a job shows.
    pub(crate) fn read_job(&self, job_id: JobId) -> JobReading {
        match self.jobs.get(&job_id) {
            _ if self.out => JobReading::Failed,
            _ if self.unreadable.contains(&job_id) => JobReading::Unreadable,
            Some(job) => JobReading::Live(Box::new(job.clone())),
            None => JobReading::Absent,
        }
    }

    /// Carries out a change and says what the scheduler is told of it.
    pub fn carry_out(&mut self, effect: Effect) -> Option<Command> {
        let outcome = self.outcome();
        let takes = !self.out;
        self.writes += 1;
        match effect {
            Effect::WriteMachineRecord { key, machines } => {
                if takes {
                    self.write_machines(&key, machines);
                }
                Some(Command::MachineRecordWritten { key, outcome })
            }
            Effect::WriteFinishedTasks { job_id, tasks, .. } => {
                if let Some(job) = self.jobs.get_mut(&job_id).filter(|_| takes) {
                    job.succeeded.extend(&tasks);
                }
                Some(Command::FinishedTasksWritten { job_id, tasks, outcome })
            }
            Effect::WriteColdStart(report) => {
                if takes {
                    self.cold_start = Some(*report);
                }
                Some(Command::ColdStartWritten(outcome))
            }
            Effect::WriteDrain { key, value } => {
                self.drain_writes += 1;
                if takes {
                    self.write_drain(&key, value);
                }
                Some(Command::DrainWritten { key, outcome })
            }
            Effect::HeartbeatResponse { .. }
            | Effect::RequestRelay { .. }
            | Effect::DirectCommands { .. }
            | Effect::WriteJobEnd { .. }
            | Effect::Rent { .. }
            | Effect::Delete(_)
            | Effect::ReadJob { .. }
            | Effect::Deposed(_) => None,
        }
    }

    /// The outcome that a change reports at present.
    fn outcome(&self) -> RequestOutcome {
        match (self.out, self.answers_lost) {
            (true, _) => RequestOutcome::Refused,
            (false, true) => RequestOutcome::Unknown,
            (false, false) => RequestOutcome::Done,
        }
    }

    /// Writes a record of machines; an empty one is deleted.
    fn write_machines(&mut self, key: &str, machines: Vec<StoredMachine>) {
        if machines.is_empty() {
            self.machines.remove(key);
        } else {
            self.machines.insert(key.to_string(), machines);
        }
    }

    fn write_drain(&mut self, key: &DrainKey, value: DrainValue) {
        match (key, value) {
            (DrainKey::Progress(id, part), DrainValue::Progress(chunk)) => {
                self.progress.entry(id.clone()).or_default().insert(*part, chunk);
            }
            (DrainKey::Summary(id), DrainValue::Summary(summary)) => {
                self.summaries.insert(id.clone(), summary);
            }
            (DrainKey::Ledger(team), DrainValue::Ledger(record)) => {
                self.ledgers.insert(team.clone(), record);
            }
            (key, value) => panic!("{key:?} does not hold {value:?}"),
        }
    }
}
