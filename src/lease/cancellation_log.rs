//! Records the cancelled jobs that this node knows, and up to when it knows every cancellation.
//!
//! [`crate::leadership::Leadership`] owns the log. The controller's event loop reads it for each response to
//! a worker.
//!
//! A response to a worker keeps the tasks there alive. A cancellation that was confirmed to a user must reach
//! every task within `cancel_s`, whatever fails, and whether the responding node is the leader, a
//! leaseholder, in keep-alive mode or a former leader. One rule therefore applies to all of them: a node
//! responds to workers only for a bounded time after the time up to which it knows every cancellation, and
//! each response contains the stop commands for the cancellations that the node knows.
//!
//! The time up to which a node knows every cancellation is the later of two:
//! 1. by the key-value store: when the node sent the request that last read the live jobs, that is, the jobs
//!    that have not ended;
//! 2. by the attestations of all other members: a member's attestation answers a heartbeat of this node. With
//!    it this node knows every cancellation that the member confirmed to users before it sent that heartbeat.
//!    The earliest such send time over all members applies. An attestation covers only the incarnation that
//!    gives it, since a restarted member does not know what its earlier incarnation confirmed. After a member
//!    restarts, its attestations therefore apply only once this node knows every cancellation up to the
//!    restart. A member that has lost the key-value store also promises that for a while it will confirm no
//!    cancellation that this node has not acknowledged. Its attestation covers that time too, even if the
//!    member restarts within it: the new incarnation keeps a promise that an earlier one may have given.
//!
//! No task of a job may start once its cancellation is confirmed. A leader therefore starts tasks only
//! 1. under promises of all other members: with each attestation a member promises that for a while it confirms no
//!    cancellation that the receiver may not know; or
//! 2. for a short time after it sent the request that last read the live jobs.
//!
//! A node confirms a cancellation once all other members know it, or once those that do not know it can start no
//! task of the job: by the key-value store another node leads, or both times have passed for the leader, and no
//! leaseholder can still pass on an earlier start. So that a confirmation need not wait for the members, they
//! learn of a user's request while its transaction is under way, and hold back starts of the job.

pub use super::attestation::{AppliedAttestation, Attestation};
pub use super::cancellation_log_member::MemberHeartbeat;
pub use super::own_confirmations::{EpochLeader, EpochReading};

use super::cancellation_log_member::Member;
use super::own_confirmations::OwnConfirmations;
use crate::limits::{self, minus_clock_drift};
use crate::scheduler::model::{Heartbeat, JobId, ReportedTask, TaskStatus};
use crate::scheduler::TaskCommand;
use crate::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Durations that follow from the settings: how long a node may act without learning of cancellations, and
/// how long it remembers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancellationBounds {
    /// How long workers may be kept alive beyond the time up to which every cancellation is known, less
    /// `limits::LOCK_LEASE`, which the log adds ([`limits::longest_autonomy`]).
    pub longest_autonomy: Duration,
    /// The promise about starts in each attestation ([`limits::start_promise`]).
    pub start_promise: Duration,
    /// How long a cancellation is remembered ([`limits::cancellation_retention`]).
    pub retention: Duration,
}

/// Whether this node has access to the key-value store. Decides whether its attestations suspend
/// confirmations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// The store responds.
    Available,
    /// The store has not responded for `limits::CONFIRMATION_SUSPENSION_DELAY`: confirmations are suspended.
    /// Shorter than `limits::STORE_LOST_TIMEOUT`, after which elections treat the store as lost.
    Lost,
}

/// Who carried out the transaction that cancelled a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancellationCommit {
    /// This node, after [`CancellationLog::request`], on condition that the epoch record still had this version:
    /// no leader was elected in between.
    InEpoch(u64),
    /// Another node, or not known, or without that condition.
    Unknown,
}

/// The result of a request to confirm a cancellation to a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use = "a cancellation may be confirmed only where this permits it"]
pub struct ConfirmOutcome {
    /// True when this node first learns that the job has ended, or first records its own confirmation.
    pub is_new: bool,
    /// Whether the cancellation may be confirmed now. False while any member that was promised a suspension
    /// of confirmations has not acknowledged the cancellation, and while a member that does not know it may
    /// start tasks of the job.
    pub is_permitted: bool,
}

/// Half of the range of times: later than every reading of a clock, and adding a duration to it does not reach
/// the end of the range.
const NEVER_ENDS: Timestamp = Timestamp::from_micros(u64::MAX / 2);

/// The cancellations that this node knows, and up to when it knows all of them.
#[derive(Debug)]
pub struct CancellationLog {
    local_node: usize,
    incarnation: u64,
    started_at: Timestamp,
    /// How long workers may be kept alive beyond the time up to which every cancellation is known:
    /// `CancellationBounds::longest_autonomy` plus the lock lease.
    max_keep_alive: Duration,
    /// The promise about starts in each attestation.
    start_promise: Duration,
    /// How long a cancellation is remembered. It is not needed once its tasks have ended, `cancel_s` after
    /// it was confirmed.
    retention: Duration,
    /// By node number; the local node's entry is unused.
    members: Vec<Member>,
    own_confirmations: OwnConfirmations,
    /// Jobs that have ended, by any source, and when this node learnt it.
    terminated: HashMap<JobId, Timestamp>,
    /// Jobs that a user asked to cancel while this node did not know whether they were cancelled, and when it
    /// last learnt of such a request: it starts none of their tasks.
    held_jobs: HashMap<JobId, Timestamp>,
    /// The live jobs as last read, without those that are known to have ended.
    live: HashSet<JobId>,
    /// When the request was sent that last read `live`; [`Timestamp::ZERO`]: not read in this incarnation.
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
            max_keep_alive: bounds.longest_autonomy + limits::LOCK_LEASE,
            start_promise: bounds.start_promise,
            retention: bounds.retention,
            members: vec![Member::new(now, bounds.start_promise); members],
            own_confirmations: OwnConfirmations::default(),
            terminated: HashMap::new(),
            held_jobs: HashMap::new(),
            live: HashSet::new(),
            store_read_at: Timestamp::ZERO,
        }
    }

    fn other_members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().enumerate().filter(|(node, _)| *node != self.local_node).map(|(_, member)| member)
    }

    // ---- known cancellations ----

    /// The time up to which this node knows every cancellation by the members' attestations;
    /// [`Timestamp::ZERO`]: the live jobs were not read in this incarnation, or a member has attested
    /// nothing.
    pub fn known_until_by_members(&self) -> Timestamp {
        if self.store_read_at == Timestamp::ZERO {
            return Timestamp::ZERO;
        }
        // Without other members this node always knows every cancellation.
        self.other_members().map(Member::known_until).min().unwrap_or(NEVER_ENDS)
    }

    /// The time up to which this node knows every cancellation by the key-value store: when the request was
    /// sent that last read the live jobs; [`Timestamp::ZERO`]: not read in this incarnation.
    pub fn known_until_by_store(&self) -> Timestamp {
        self.store_read_at
    }

    /// Until when a node that knows every cancellation up to `known_until` may keep workers alive;
    /// [`Timestamp::ZERO`]: not at all.
    pub fn keep_alive_end(&self, known_until: Timestamp) -> Timestamp {
        if known_until == Timestamp::ZERO {
            Timestamp::ZERO
        } else {
            known_until + minus_clock_drift(self.max_keep_alive)
        }
    }

    /// Until when this node may keep workers alive.
    pub fn may_keep_alive_until(&self) -> Timestamp {
        self.keep_alive_end(self.known_until_by_store().max(self.known_until_by_members()))
    }

    /// Until when this node, if it leads, may start tasks; [`Timestamp::ZERO`]: not at all.
    pub fn may_start_tasks_until(&self) -> Timestamp {
        if self.store_read_at == Timestamp::ZERO {
            return Timestamp::ZERO;
        }
        let by_reading = self.store_read_at + minus_clock_drift(limits::START_TIME_AFTER_READING);
        let promises = self.other_members().map(Member::start_promise_received_until);
        by_reading.max(promises.min().unwrap_or(NEVER_ENDS))
    }

    /// Whether the job has ended, so that none of its tasks may start.
    pub fn is_terminated(&self, job_id: JobId) -> bool {
        self.terminated.contains_key(&job_id)
    }

    /// Jobs that a user asked to cancel, none of whose tasks may start.
    pub fn held_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.held_jobs.keys().copied()
    }

    /// Whether the job is among the live jobs as last read.
    pub fn is_live(&self, job_id: JobId) -> bool {
        self.live.contains(&job_id)
    }

    /// Stop commands for the tasks in the heartbeat whose jobs have ended. None if the heartbeat lists a task
    /// of a job that this node does not know: the job may have been cancelled before this incarnation began,
    /// or be newer than the last reading of the live jobs. Only a leader's list of jobs can tell which.
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

    /// The commands of a response to the heartbeat, without the starts that [`Self::forbids`], and with the missing
    /// stop commands for such tasks added. A start may have been on its way from the leader while the job was
    /// cancelled; nothing may start once the cancellation is confirmed to its user.
    pub fn with_cancellations_applied(
        &self,
        mut task_commands: Vec<TaskCommand>,
        heartbeat: &Heartbeat,
    ) -> Vec<TaskCommand> {
        task_commands.retain(|command| !self.forbids(command));
        let terminated = |task: &&ReportedTask| self.is_terminated(task.id.job_id) && is_alive(task);
        for task in heartbeat.tasks.iter().filter(terminated) {
            if !task_commands.iter().any(|command| stops_task(command, task)) {
                task_commands.push(stop_at_once(task));
            }
        }
        task_commands
    }

    /// Whether the command starts a task of a job that has ended, or that a user asked to cancel.
    pub fn forbids(&self, command: &TaskCommand) -> bool {
        match command {
            TaskCommand::Start { id, .. } => {
                self.is_terminated(id.job_id) || self.held_jobs.contains_key(&id.job_id)
            }
            TaskCommand::Stop { .. } | TaskCommand::Forget { .. } => false,
        }
    }

    /// Applies the live jobs as read by a request that was sent at `requested_at`. If `complete`, `added`
    /// lists all live jobs; otherwise `added` and `removed` are the changes since the last reading. Returns
    /// the jobs that this node did not yet know to have ended.
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
        // A member may have attested a cancellation that this reading does not show yet.
        self.live.retain(|job_id| !self.terminated.contains_key(job_id));
        self.store_read_at = self.store_read_at.max(requested_at);
        // A cancellation that its sender confirms by the request was committed before this reading.
        let hold = limits::CANCELLATION_REQUEST_HOLD;
        self.held_jobs.retain(|_, held_at| requested_at < *held_at + hold);
        self.forget_old_cancellations(now);
        newly_terminated
    }

    fn forget_old_cancellations(&mut self, now: Timestamp) {
        let retention = self.retention;
        self.terminated.retain(|_, learnt_at| now < *learnt_at + retention);
        self.own_confirmations.forget_old(now, retention);
    }

    /// Returns whether this is new: this node did not yet know that the job has ended.
    fn record_terminated(&mut self, now: Timestamp, job_id: JobId) -> bool {
        self.live.remove(&job_id);
        self.held_jobs.remove(&job_id);
        self.terminated.insert(job_id, now).is_none()
    }

    // ---- confirmations and attestations ----

    /// Records that a user asks to cancel the job, and that the transaction will be sent. The members learn of it
    /// meanwhile, so that a confirmation need not wait for them afterwards. `epoch_version`: the version of the
    /// epoch record that the transaction compares. Returns whether the members have to be informed.
    pub fn request(&mut self, now: Timestamp, job_id: JobId, epoch_version: u64) -> bool {
        let is_known = self.is_terminated(job_id);
        if is_known || !self.own_confirmations.record_request(now, job_id, epoch_version) {
            return false;
        }
        self.held_jobs.insert(job_id, now);
        true
    }

    /// Records that this node is about to confirm to a user that the job is cancelled. `epoch`: the last reading
    /// of the epoch record. `commit`: who cancelled it.
    pub fn confirm(
        &mut self,
        now: Timestamp,
        job_id: JobId,
        commit: CancellationCommit,
        epoch: EpochReading,
    ) -> ConfirmOutcome {
        let is_recorded = self.own_confirmations.of_job(job_id).is_some();
        if !is_recorded {
            let autonomy = self.max_keep_alive;
            let starts_possible_until = self.members.iter().map(|m| m.starts_possible_until(now, autonomy));
            let request_number = match commit {
                CancellationCommit::InEpoch(version) => {
                    self.own_confirmations.request_number(now, job_id, version)
                }
                CancellationCommit::Unknown => None,
            };
            let starts_possible_until = starts_possible_until.collect();
            self.own_confirmations.record(now, job_id, request_number, starts_possible_until);
        }
        let is_new = self.record_terminated(now, job_id) || !is_recorded;
        self.rule_out_starts(now, epoch);
        ConfirmOutcome { is_new, is_permitted: self.is_confirmation_permitted(now, job_id) }
    }

    /// Whether a cancellation that was recorded ([`Self::confirm`]) may be confirmed to its user, as of the last
    /// [`Self::rule_out_starts`].
    pub fn is_confirmation_permitted(&self, now: Timestamp, job_id: JobId) -> bool {
        let Some(own) = self.own_confirmations.of_job(job_id) else { return false };
        let is_suspended = self.other_members().any(|member| !member.permits_confirmation(now, own.number));
        let is_known_to_all = || self.other_members().all(|member| member.knows_confirmation(own));
        // An earlier version passes on a start also of a job that it knows as cancelled: waiting proves nothing.
        let passes_on_none = |member: &Member| member.knows_confirmation(own) || member.follows_store(now);
        let is_relayed_by_none = || own.has_ruled_out_starts() && self.other_members().all(passes_on_none);
        !is_suspended && (is_known_to_all() || is_relayed_by_none() || own.is_safe_from_starts(now))
    }

    /// Records for each confirmation that a member has not acknowledged whether any leader may still start tasks
    /// of its job.
    pub fn rule_out_starts(&mut self, now: Timestamp, epoch: EpochReading) {
        let acknowledged_by_all = self.other_members().map(Member::acknowledged).min().unwrap_or(u64::MAX);
        let (members, local_node) = (&self.members, self.local_node);
        for own in self.own_confirmations.after_mut(acknowledged_by_all) {
            own.rule_out_starts(now, epoch, |own, node| {
                node == local_node || members[node].knows_confirmation(own)
            });
        }
    }

    /// A heartbeat of the member `from` arrived at `now`.
    pub fn observe_heartbeat(&mut self, now: Timestamp, from: usize, heartbeat: MemberHeartbeat) {
        if let Some(member) = self.members.get_mut(from) {
            member.observe_heartbeat(now, heartbeat);
        }
    }

    /// The attestation for the member `to`. None if the member is not known to accept attestations, or if
    /// there are too many cancellations for one. While the store is lost it includes the promise to suspend
    /// confirmations.
    #[must_use = "promises about confirmations are recorded here, so the attestation should be sent"]
    pub fn attest_to(&mut self, now: Timestamp, to: usize, store_access: StoreAccess) -> Option<Attestation> {
        let member = self.members.get_mut(to)?;
        let suspended = store_access == StoreAccess::Lost;
        let attestation = member.attestation(suspended)?;
        let acknowledged = member.acknowledged();
        let missing = self.own_confirmations.after(acknowledged);
        let cancelled: Vec<u64> =
            missing.map(|own| own.job_id.0).take(limits::MAX_ATTESTED_CANCELLATIONS + 1).collect();
        let last_number = self.own_confirmations.last_number();
        let requested: Vec<u64> = if member.accepts_requests(last_number) {
            let requests = self.own_confirmations.requests_after(now, acknowledged);
            requests.map(|own| own.job_id.0).take(limits::MAX_ATTESTED_CANCELLATIONS + 1).collect()
        } else {
            Vec::new()
        };
        if cancelled.len() + requested.len() > limits::MAX_ATTESTED_CANCELLATIONS {
            // Not reached within the key-value store's limits: committing so many cancellations would take
            // minutes.
            return None;
        }
        if suspended {
            member.promise_suspension(now);
        }
        member.give_start_promise(self.start_promise);
        let incarnation_age = now.since(self.started_at);
        let start_promise = self.start_promise;
        Some(Attestation { incarnation_age, start_promise, last_number, cancelled, requested, ..attestation })
    }

    /// Applies an attestation of the member `from`. `incarnation`: that of the sending process.
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
        // It is for another incarnation of this node, or answers a heartbeat from before this incarnation.
        if attestation.for_incarnation != self.incarnation
            || attestation.echo > now
            || attestation.echo < self.started_at
        {
            return AppliedAttestation::default();
        }
        let has_new = member.apply(now, attestation, self.store_read_at);
        for job_id in attestation.requested.iter().map(|job_id| JobId(*job_id)) {
            if !self.is_terminated(job_id) {
                self.held_jobs.insert(job_id, now);
            }
        }
        let cancelled = attestation.cancelled.iter().map(|job_id| JobId(*job_id));
        let cancelled_jobs = cancelled.filter(|job_id| self.record_terminated(now, *job_id)).collect();
        AppliedAttestation { cancelled_jobs, has_new }
    }

    /// Whether this node has confirmed no cancellation within the retention time. False for a restarted node
    /// until it has read the live jobs or the retention time has passed.
    ///
    /// For members of an earlier version only. Such a member concludes that there is no recent cancellation
    /// once all others report the key-value store as lost. This node therefore reports the loss to it only if
    /// this node has confirmed no cancellation recently.
    pub fn has_confirmed_none_recently(&self, now: Timestamp) -> bool {
        let last_recorded_at = self.own_confirmations.last_recorded_at();
        let has_recent = last_recorded_at.is_some_and(|recorded_at| now < recorded_at + self.retention);
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
