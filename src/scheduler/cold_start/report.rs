//! The report of a cold start: what operators see, and when it is written.

use super::evidence::machine_fact;
use super::ColdStart;
use crate::fencing_token::FencingToken;
use crate::limits;
use crate::scheduler::messages::Effect;
use crate::scheduler::model::MachineState;
use crate::scheduler::Scheduler;
use crate::time::{to_millis, Timestamp};
use dockpier_reconcile::{Counts, MachineFact};
use serde::{Deserialize, Serialize};

/// How far the phase is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not all machines are accounted for.
    Reconciling,
    /// All are; missing tasks are being started.
    Restarting,
    /// Every missing task has been started, or is not wanted any more.
    Ended,
}

impl Phase {
    fn of(cold_start: &ColdStart) -> Self {
        match (cold_start.reconciled_at, cold_start.ended_at) {
            (_, Some(_)) => Phase::Ended,
            (Some(_), None) => Phase::Restarting,
            (None, None) => Phase::Reconciling,
        }
    }

    /// What the phase waits for, for operators.
    fn waits_for(self) -> &'static str {
        match self {
            Phase::Reconciling => "machines that have not reported",
            Phase::Restarting => "places and the pace for missing tasks",
            Phase::Ended => "",
        }
    }
}

/// Machines of earlier leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MachineCounts {
    /// They have reported to this leader.
    pub heard: usize,
    /// They are proved to be gone.
    pub gone: usize,
    /// Neither.
    pub unheard: usize,
}

/// What operators see of the phase. `docs/schemas/cold-start.schema.json` is its published form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdStartReport {
    /// How far it is.
    pub phase: Phase,
    /// The leader's fencing token.
    pub token: FencingToken,
    /// When the leader had loaded the stored state, in milliseconds of the time of day.
    pub began_ms: u64,
    /// When this was written, in milliseconds of the time of day.
    pub updated_ms: u64,
    /// Milliseconds until every machine was accounted for.
    pub reconciled_after_ms: Option<u64>,
    /// Milliseconds until the last missing task was started.
    pub ended_after_ms: Option<u64>,
    /// Machines that earlier leaders may have started tasks on.
    pub machines: MachineCounts,
    /// Tasks by verdict; from the moment of reconciliation on as they were then.
    pub verdicts: Counts,
    /// Starts of inherited tasks.
    pub orders: u64,
    /// Inherited missing tasks that have not been started.
    pub not_ordered: usize,
    /// What the phase waits for.
    pub waits_for: String,
    /// While reconciling: when the last lease that may run has expired, in milliseconds of the time of day.
    pub until_ms: Option<u64>,
    /// Some of the machines that are not accounted for.
    pub unheard: Vec<String>,
    /// Some of the tasks whose job the store does not show.
    pub unknown_tasks: Vec<String>,
}

impl Scheduler {
    /// Writes the report if it says anything new and the write budget allows it.
    pub(super) fn write_cold_start(&mut self) {
        let report = self.cold_start_report();
        let state = &mut self.cold_start.report;
        let unchanged = state
            .latest
            .as_ref()
            .is_some_and(|old| ColdStartReport { updated_ms: old.updated_ms, ..report.clone() } == *old);
        if !unchanged {
            state.latest = Some(report.clone());
            state.written = false;
        }
        if state.written || state.write_in_flight || !self.write_budget.take_allowing_debt(1.0) {
            return;
        }
        (state.written, state.write_in_flight) = (true, true);
        self.effects.push(Effect::WriteColdStart(Box::new(report)));
    }

    /// The state service has answered the write of the report.
    pub(in crate::scheduler) fn handle_cold_start_written(&mut self, done: bool) {
        let state = &mut self.cold_start.report;
        state.write_in_flight = false;
        state.written &= done;
    }

    fn cold_start_report(&self) -> ColdStartReport {
        let cold_start = &self.cold_start;
        let started_at = cold_start.started_at.unwrap_or(self.now);
        let ms_after_start = |at: Option<Timestamp>| at.map(|at| to_millis(at.since(started_at)));
        let phase = Phase::of(cold_start);
        let unreported = self.unreported_machines();
        let gone = self.lost_inherited_machines();
        let leases_until = self.inherited_leases_end();
        let unverified = self.machines.values().flat_map(|machine| machine.unplaced_tasks.unverified.keys());
        ColdStartReport {
            phase,
            token: self.config.token,
            began_ms: self.time_of_day_ms(started_at),
            updated_ms: self.day_ms(),
            reconciled_after_ms: ms_after_start(cold_start.reconciled_at),
            ended_after_ms: ms_after_start(cold_start.ended_at),
            machines: MachineCounts {
                heard: cold_start.inherited.len() - unreported.len() - gone,
                gone,
                unheard: unreported.len(),
            },
            verdicts: cold_start.verdicts,
            orders: cold_start.starts,
            not_ordered: cold_start.missing.len(),
            waits_for: phase.waits_for().to_string(),
            until_ms: (phase == Phase::Reconciling).then(|| self.time_of_day_ms(leases_until)),
            unheard: unreported.into_iter().take(limits::MAX_COLD_START_NAMES).cloned().collect(),
            unknown_tasks: unverified
                .take(limits::MAX_COLD_START_NAMES)
                .map(|attempt| attempt.task.to_string())
                .collect(),
        }
    }

    /// Inherited machines that have neither reported nor been proved to be gone.
    fn unreported_machines(&self) -> Vec<&String> {
        let is_unreported = |name: &&String| {
            let machine = self.machines.get(*name);
            machine.is_some_and(|machine| machine_fact(machine) == MachineFact::Unheard)
        };
        self.cold_start.inherited.iter().filter(is_unreported).collect()
    }

    /// How many inherited machines are lost or forgotten.
    fn lost_inherited_machines(&self) -> usize {
        let is_lost = |name: &&String| {
            self.machines.get(*name).is_none_or(|machine| machine.state == MachineState::Lost)
        };
        self.cold_start.inherited.iter().filter(is_lost).count()
    }

    /// Milliseconds of the time of day at the instant `at`.
    fn time_of_day_ms(&self, at: Timestamp) -> u64 {
        (self.day_ms() + at.as_millis()).saturating_sub(self.now.as_millis())
    }
}
