//! Which jobs are cancelled, as far as this node knows, and up to when it knows every cancellation.
//!
//! A response to a worker keeps alive what runs there. A cancellation that was confirmed to a user must reach every
//! task within `cancel_s`, whichever node leads, is a leaseholder, is in keep-alive mode or has led by then, and
//! whatever fails. So one rule holds for all of them: a node responds to workers only for a bounded time after the
//! moment up to which it knows every cancellation, and each response contains the stop commands that it knows of.
//!
//! That moment has two proofs, and the later one counts:
//! 1. the key-value store: a copy of the live jobs, read by a request that was sent at that moment;
//! 2. the attestations of all other members, each counted by itself: everything that the member confirmed to users is
//!    known here up to the moment at which the heartbeat was sent that its attestation answers. An attestation covers
//!    the incarnation that gives it and no more, since a member that has restarted does not know what its earlier
//!    incarnation confirmed. Attestations must therefore follow one another without a gap. A member that has lost the
//!    key-value store also promises to confirm nothing for a while that this node has not acknowledged. Its
//!    attestation covers that time too, a restart within it included.
//!
//! [`crate::leadership::Leadership`] owns the log. The controller's event loop reads it for each response to a worker.

use super::cancellation_log_member::Member;
use crate::limits::{self, shortened};
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskStatus};
use crate::scheduler::TaskCommand;
use crate::time::Timestamp;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

/// What a member attests of the cancellations that it confirmed, in answer to a heartbeat of the receiver's.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Attestation {
    /// The incarnation of the receiver that it is for.
    pub for_incarnation: u64,
    /// The stamp of the heartbeat that it answers, on the receiver's clock.
    pub echo: Timestamp,
    /// How long the sender's incarnation has lasted.
    pub incarnation_age: Duration,
    /// For `limits::CONFIRMATION_SUSPENSION` the sender confirms nothing that the receiver has not acknowledged.
    pub confirmations_suspended: bool,
    /// The highest number of the receiver's own cancellations that the sender knows.
    pub acknowledged: u64,
    /// The highest number of the sender's cancellations.
    pub last: u64,
    /// Job ids of the sender's cancellations up to `last` that the receiver has not acknowledged.
    pub cancelled: Vec<u64>,
}

/// Durations that bound what a node may do without news of cancellations. Both follow from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationBounds {
    /// How long workers may be kept alive beyond the moment up to which every cancellation is known, the lock lease
    /// aside ([`limits::longest_autonomy`]).
    pub longest_autonomy: Duration,
    /// How long a cancellation is remembered ([`limits::cancellation_retention`]).
    pub retention: Duration,
}

/// Whether this node has access to the key-value store, as its attestations state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// The store answers.
    Available,
    /// The store has not answered for `limits::CONFIRMATION_SUSPENSION_DELAY`: confirmations are suspended.
    Lost,
}

/// What became of a request to confirm a cancellation to a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a cancellation may be confirmed only where this permits it"]
pub struct ConfirmOutcome {
    /// This node did not know yet that the job is over, or had not recorded a confirmation of its own.
    pub is_new: bool,
    /// It may be confirmed now. False while a member that this node promised to suspend confirmations to has not
    /// acknowledged it.
    pub is_permitted: bool,
}

/// What an attestation changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AppliedAttestation {
    /// Jobs that turned out to be cancelled.
    pub terminated: Vec<JobId>,
    /// The member reported cancellations that it had not reported before.
    pub has_new: bool,
}

/// A cancellation that this incarnation confirmed, or is about to confirm, to a user.
#[derive(Debug)]
struct OwnConfirmation {
    /// Counts from one in each incarnation.
    number: u64,
    recorded_at: Timestamp,
    job_id: JobId,
}

/// The cancellations that this node knows, and up to when it knows all of them.
#[derive(Debug)]
pub struct CancellationLog {
    local_node: usize,
    incarnation: u64,
    started_at: Timestamp,
    /// How long workers may be kept alive beyond what is known: the bound of the settings and the lock lease.
    longest_autonomy: Duration,
    /// How long a cancellation is remembered. After `cancel_s` its tasks are gone and nothing depends on it.
    retention: Duration,
    /// By node number; the local node's entry is unused.
    members: Vec<Member>,
    /// The oldest first.
    own_confirmations: VecDeque<OwnConfirmation>,
    /// The highest number among them; zero: none.
    last_number: u64,
    /// Jobs that are over, from whatever source, and when this node learnt it.
    terminated: HashMap<JobId, Timestamp>,
    live: HashSet<JobId>,
    /// When the request was sent that `live` was last read by; zero: not in this incarnation.
    store_read_at: Timestamp,
}

impl CancellationLog {
    /// The log of a process that has just started, as node `local_node` of `members`.
    pub fn new(
        members: usize,
        local_node: usize,
        incarnation: u64,
        now: Timestamp,
        bounds: CancellationBounds,
    ) -> Self {
        CancellationLog {
            local_node,
            incarnation,
            started_at: now,
            longest_autonomy: bounds.longest_autonomy + limits::LOCK_LEASE,
            retention: bounds.retention,
            members: vec![Member::new(now); members],
            own_confirmations: VecDeque::new(),
            last_number: 0,
            terminated: HashMap::new(),
            live: HashSet::new(),
            store_read_at: Timestamp::ZERO,
        }
    }

    fn other_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().enumerate().filter(|(node, _)| *node != self.local_node).map(|(_, member)| member)
    }

    // ---- what is known ----

    /// Every cancellation confirmed before then is known here by the members' attestations; zero: nothing is known.
    pub fn member_freshness(&self) -> Timestamp {
        if self.store_read_at == Timestamp::ZERO {
            return Timestamp::ZERO;
        }
        // Without other members no cancellation is unknown; half of the range leaves room for additions.
        self.other_members().map(Member::known_until).min().unwrap_or(Timestamp::from_micros(u64::MAX / 2))
    }

    /// When the request was sent that the live jobs were last read by; zero: not in this incarnation.
    pub fn store_freshness(&self) -> Timestamp {
        self.store_read_at
    }

    /// Until when workers may be kept alive by a node that knows every cancellation up to `known_until`; zero: not at all.
    pub fn keep_alive_limit(&self, known_until: Timestamp) -> Timestamp {
        if known_until == Timestamp::ZERO {
            Timestamp::ZERO
        } else {
            known_until + shortened(self.longest_autonomy)
        }
    }

    /// Until when this node may keep workers alive.
    pub fn keep_alive_until(&self) -> Timestamp {
        self.keep_alive_limit(self.store_freshness().max(self.member_freshness()))
    }

    /// Whether the job is over: nothing of it may start.
    pub fn is_terminated(&self, job_id: JobId) -> bool {
        self.terminated.contains_key(&job_id)
    }

    /// Whether the job is among the live jobs as last read.
    pub fn is_live(&self, job_id: JobId) -> bool {
        self.live.contains(&job_id)
    }

    /// Stop commands for the tasks in the heartbeat whose jobs are over. None where this node, without a leader's list
    /// of jobs, cannot decide: a job that its copy lacks was cancelled before this incarnation began, or is too new.
    pub fn stop_commands(&self, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let mut stops = Vec::new();
        for task in heartbeat.tasks.iter().filter(|task| is_alive(task)) {
            if self.is_terminated(task.id.job_id) {
                stops.push(stop_at_once(task));
            } else if !self.live.contains(&task.id.job_id) {
                return None;
            }
        }
        Some(stops)
    }

    /// The response's commands, completed by the stop commands that it must contain.
    pub fn with_stop_commands(
        &self,
        mut task_commands: Vec<TaskCommand>,
        heartbeat: &Heartbeat,
    ) -> Vec<TaskCommand> {
        let terminated = |task: &&ReportedTask| self.is_terminated(task.id.job_id) && is_alive(task);
        for task in heartbeat.tasks.iter().filter(terminated) {
            if !task_commands.iter().any(|command| stops_task(command, task)) {
                task_commands.push(stop_at_once(task));
            }
        }
        task_commands
    }

    /// Applies the live jobs as read by a request that was sent at `requested_at`. `complete`: `added` lists all live
    /// jobs; otherwise `added` and `removed` are the changes since the last reading. Returns the jobs that turned out
    /// to be over.
    pub fn apply_live_jobs(
        &mut self,
        now: Timestamp,
        requested_at: Timestamp,
        complete: bool,
        added: &[JobId],
        removed: &[JobId],
    ) -> Vec<JobId> {
        let mut candidates: Vec<JobId> = removed.to_vec();
        if complete {
            let listed: HashSet<JobId> = added.iter().copied().collect();
            candidates.extend(self.live.difference(&listed));
            self.live = listed;
        } else {
            self.live.extend(added);
        }
        let newly_terminated =
            candidates.into_iter().filter(|job_id| self.record_terminated(now, *job_id)).collect();
        // A cancellation that a member attested may be ahead of the copy.
        self.live.retain(|job_id| !self.terminated.contains_key(job_id));
        self.store_read_at = self.store_read_at.max(requested_at);
        self.forget_old_cancellations(now);
        newly_terminated
    }

    fn forget_old_cancellations(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.terminated.retain(|_, learnt_at| now < *learnt_at + retention);
        while self.own_confirmations.front().is_some_and(|own| now >= own.recorded_at + retention) {
            self.own_confirmations.pop_front();
        }
    }

    /// Returns whether this node did not know yet that the job is over.
    fn record_terminated(&mut self, now: Timestamp, job_id: JobId) -> bool {
        self.live.remove(&job_id);
        self.terminated.insert(job_id, now).is_none()
    }

    // ---- what is confirmed and attested ----

    /// This node is about to confirm to a user that the job is cancelled.
    pub fn confirm(&mut self, now: Timestamp, job_id: JobId) -> ConfirmOutcome {
        let known = self.own_confirmations.iter().rev().find(|own| own.job_id == job_id);
        let known = known.map(|own| own.number);
        let number = known.unwrap_or_else(|| {
            self.last_number += 1;
            let number = self.last_number;
            self.own_confirmations.push_back(OwnConfirmation { number, recorded_at: now, job_id });
            number
        });
        let is_new = self.record_terminated(now, job_id) || known.is_none();
        let is_permitted = self.other_members().all(|member| member.permits_confirmation(now, number));
        ConfirmOutcome { is_new, is_permitted }
    }

    /// A heartbeat of a member arrived, sent at `stamp` on its clock. `attests`: the member gives attestations and
    /// takes ours.
    pub fn observe_heartbeat(&mut self, from: usize, incarnation: u64, attests: bool, stamp: Timestamp) {
        if let Some(member) = self.members.get_mut(from) {
            member.observe_heartbeat(incarnation, attests, stamp);
        }
    }

    /// Our attestation for a member that takes it. While the store is lost it includes the promise to suspend
    /// confirmations.
    #[must_use = "a promise to suspend confirmations is recorded here, so the attestation should be sent"]
    pub fn attest_to(&mut self, now: Timestamp, to: usize, store_access: StoreAccess) -> Option<Attestation> {
        let member = self.members.get_mut(to)?;
        let suspended = store_access == StoreAccess::Lost;
        let attestation = member.attestation(suspended)?;
        let acknowledged = member.acknowledged();
        let missing = self.own_confirmations.iter().filter(|own| own.number > acknowledged);
        let cancelled: Vec<u64> =
            missing.map(|own| own.job_id.0).take(limits::MAX_ATTESTED_CANCELLATIONS + 1).collect();
        if cancelled.len() > limits::MAX_ATTESTED_CANCELLATIONS {
            // Not reached within the key-value store's limits: committing as many would take minutes.
            return None;
        }
        if suspended {
            member.promise_suspension(now);
        }
        let incarnation_age = now.since(self.started_at);
        Some(Attestation { incarnation_age, last: self.last_number, cancelled, ..attestation })
    }

    /// Applies what a member attests. `incarnation`: of the process that sent it.
    pub fn apply_attestation(
        &mut self,
        now: Timestamp,
        from: usize,
        incarnation: u64,
        attestation: &Attestation,
    ) -> AppliedAttestation {
        let Some(member) = self.members.get_mut(from).filter(|member| member.is_incarnation(incarnation))
        else {
            return AppliedAttestation::default();
        };
        // For another incarnation of this node, or an answer to a heartbeat from before this one.
        if attestation.for_incarnation != self.incarnation
            || attestation.echo > now
            || attestation.echo < self.started_at
        {
            return AppliedAttestation::default();
        }
        let has_new = member.apply(now, attestation, self.store_read_at);
        let cancelled = attestation.cancelled.iter().map(|job_id| JobId(*job_id));
        let terminated = cancelled.filter(|job_id| self.record_terminated(now, *job_id)).collect();
        AppliedAttestation { terminated, has_new }
    }

    /// Whether a member of an earlier version may conclude from our missing access to the key-value store that no
    /// cancellation is in effect without it.
    pub fn proves_no_recent_cancellation(&self, now: Timestamp) -> bool {
        let is_recent = |own: &OwnConfirmation| now < own.recorded_at + self.retention;
        let has_recent = self.own_confirmations.back().is_some_and(is_recent);
        !has_recent && (self.store_read_at > Timestamp::ZERO || now >= self.started_at + self.retention)
    }
}

/// Whether the task has not exited.
fn is_alive(task: &ReportedTask) -> bool {
    !matches!(task.status, TaskStatus::Exited(_))
}

fn stop_at_once(task: &ReportedTask) -> TaskCommand {
    TaskCommand::Stop { id: task.id, attempt: task.attempt, grace_s: 0.0 }
}

fn stops_task(command: &TaskCommand, task: &ReportedTask) -> bool {
    matches!(command, TaskCommand::Stop { id, attempt, .. } if *id == task.id && *attempt == task.attempt)
}

#[cfg(test)]
#[path = "cancellation_log_tests.rs"]
mod tests;
