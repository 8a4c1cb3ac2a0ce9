//! Which jobs are cancelled, as far as this node knows, and up to when it knows of all of them.
//!
//! Whoever answers a worker keeps alive what runs there. A cancellation that was told to a user must reach every
//! task within `cancel_s`, whoever leads, holds, keeps leases or has led by then, and whatever fails. So there is
//! one rule for all of them: a node answers workers only for a bounded time after the moment up to which it
//! knows of every cancellation, and no answer of its leaves without the stops that it knows of.
//!
//! That moment has two proofs, and the later one counts:
//! 1. the state service: a copy of the live jobs, read by a request that left at that moment;
//! 2. the other members, each by itself: what it confirmed to users is held here up to the moment at which the
//!    heartbeat left that its attestation answers. That covers the life of the process that gives it and no
//!    more, so that attestations must follow one another without a gap: a member that has restarted does not
//!    know what its earlier life confirmed. One that has no state service promises besides to confirm nothing
//!    for a while before we hold it, and covers that time too, a restart within it included.

use crate::limits::{self, shortened};
use crate::scheduler::model::{Heartbeat, JobId, TaskStatus};
use crate::scheduler::TaskCommand;
use std::collections::{HashMap, HashSet, VecDeque};

/// What a member attests of the cancellations that it confirmed, in answer to a heartbeat of the receiver's.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Attestation {
    /// The life of the receiver that it is for, and the stamp of the heartbeat that it answers.
    pub for_incarnation: u64,
    pub echo: u64,
    /// For how long the life that gives it has lasted.
    pub incarnation_age: u64,
    /// Nothing will be confirmed for a while that the receiver does not hold.
    pub confirmations_suspended: bool,
    /// The highest number of the receiver's own cancellations that is held here.
    pub acknowledged: u64,
    /// The highest number of the sender's; `cancelled` are those up to it that the receiver may lack.
    pub last: u64,
    pub cancelled: Vec<u64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Member {
    /// Its present life, once it has shown that it attests; 0: a version that does not, or unheard.
    incarnation: u64,
    /// It has shown that it does not attest: nobody there relies on ours.
    never_attests: bool,
    heartbeat_stamp: u64,
    /// The highest number of ours that this life holds.
    acknowledged: u64,
    /// Until then we have promised to confirm nothing that it does not hold.
    suspended_until: u64,
    /// The highest number of its that is held here.
    received: u64,
    /// Everything that it confirmed before then is held here.
    known_until: u64,
}

#[derive(Debug)]
pub struct CancellationLog {
    local_node: usize,
    incarnation: u64,
    started_at: u64,
    /// How long workers may be kept alive beyond what is known (`limits::longest_autonomy`, and the state lease).
    longest_autonomy: u64,
    /// How long a cancellation is remembered: beyond `cancel_s` nothing hangs on it.
    retention: u64,
    members: Vec<Member>,
    /// What this life confirmed: number, when, which.
    own_confirmations: VecDeque<(u64, u64, JobId)>,
    last_number: u64,
    /// Jobs that are over, whoever said so, and when that was learnt.
    terminated: HashMap<JobId, u64>,
    live: HashSet<JobId>,
    /// When the request left that `live` was last read by; 0: not in this life.
    store_read_at: u64,
}

impl CancellationLog {
    pub fn new(members: usize, me: usize, life: u64, now: u64, longest_autonomy: u64, kept: u64) -> Self {
        // An earlier life may have promised to be quiet right before it ended.
        let member = Member { suspended_until: now + limits::CONFIRMATION_SUSPENSION, ..Member::default() };
        CancellationLog {
            local_node: me,
            incarnation: life,
            started_at: now,
            longest_autonomy: longest_autonomy + limits::LOCK_LEASE_MS * 1_000,
            retention: kept,
            members: vec![member; members],
            own_confirmations: VecDeque::new(),
            last_number: 0,
            terminated: HashMap::new(),
            live: HashSet::new(),
            store_read_at: 0,
        }
    }

    // ---- what is known ----

    /// Every cancellation confirmed before then is known here by the members' attestations.
    pub fn member_freshness(&self) -> u64 {
        if self.store_read_at == 0 {
            return 0;
        }
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != self.local_node);
        others.map(|(_, m)| m.known_until).min().unwrap_or(u64::MAX / 2)
    }

    /// When the request left that the live jobs were last read by.
    pub fn store_freshness(&self) -> u64 {
        self.store_read_at
    }

    /// How long after something became known workers may be kept alive by it.
    pub fn keep_alive_limit(&self, known: u64) -> u64 {
        if known == 0 {
            0
        } else {
            known + shortened(self.longest_autonomy)
        }
    }

    /// Until when this node may keep workers alive.
    pub fn keep_alive_until(&self) -> u64 {
        self.keep_alive_limit(self.store_freshness().max(self.member_freshness()))
    }

    /// The job is over: nothing of it may start.
    pub fn is_terminated(&self, job_id: JobId) -> bool {
        self.terminated.contains_key(&job_id)
    }

    pub fn is_live(&self, job_id: JobId) -> bool {
        self.live.contains(&job_id)
    }

    /// Stops for what the heartbeat lists of jobs that are over. None where this node, without a leader's list of
    /// jobs, can't tell: a job that its copy lacks was cancelled before this life began, or is too new.
    pub fn stop_commands(&self, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let living = heartbeat.tasks.iter().filter(|t| !matches!(t.status, TaskStatus::Exited(_)));
        let mut stops = Vec::new();
        for task in living {
            if self.is_terminated(task.id.job_id) {
                stops.push(TaskCommand::Stop { id: task.id, attempt: task.attempt, grace_s: 0.0 });
            } else if !self.live.contains(&task.id.job_id) {
                return None;
            }
        }
        Some(stops)
    }

    /// The answer's commands and the stops that it must not leave without.
    pub fn with_stop_commands(
        &self,
        mut task_commands: Vec<TaskCommand>,
        heartbeat: &Heartbeat,
    ) -> Vec<TaskCommand> {
        for task in heartbeat.tasks.iter().filter(|t| self.is_terminated(t.id.job_id)) {
            if matches!(task.status, TaskStatus::Exited(_)) {
                continue;
            }
            let same = |o: &TaskCommand| matches!(o, TaskCommand::Stop { id, attempt, .. } if *id == task.id && *attempt == task.attempt);
            if !task_commands.iter().any(same) {
                task_commands.push(TaskCommand::Stop { id: task.id, attempt: task.attempt, grace_s: 0.0 });
            }
        }
        task_commands
    }

    /// The live jobs as read by a request that left at `sent`: all of them, or what changed. Returns the jobs
    /// that turned out to be over.
    pub fn apply_live_jobs(
        &mut self,
        now: u64,
        sent: u64,
        whole: bool,
        added: &[JobId],
        removed: &[JobId],
    ) -> Vec<JobId> {
        let mut over: Vec<JobId> = removed.to_vec();
        if whole {
            let listed: HashSet<JobId> = added.iter().copied().collect();
            over.extend(self.live.difference(&listed));
            self.live = listed;
        } else {
            self.live.extend(added);
        }
        let over = over.into_iter().filter(|job_id| self.record_terminated(now, *job_id)).collect();
        // A cancellation that a member told of may be ahead of the copy.
        self.live.retain(|job_id| !self.terminated.contains_key(job_id));
        self.store_read_at = self.store_read_at.max(sent);
        let kept = self.retention;
        self.terminated.retain(|_, at| now < *at + kept);
        while self.own_confirmations.front().is_some_and(|(_, at, _)| now >= *at + kept) {
            self.own_confirmations.pop_front();
        }
        over
    }

    fn record_terminated(&mut self, now: u64, job_id: JobId) -> bool {
        self.live.remove(&job_id);
        self.terminated.insert(job_id, now).is_none()
    }

    // ---- what is told ----

    /// This node is about to tell a user that the job is cancelled. Returns whether that is news, and whether it
    /// may be told now: not while a member that we have promised to be quiet to does not hold it.
    pub fn confirm(&mut self, now: u64, job_id: JobId) -> (bool, bool) {
        let known = self.own_confirmations.iter().rev().find(|(_, _, u)| *u == job_id).map(|(n, ..)| *n);
        let number = known.unwrap_or_else(|| {
            self.last_number += 1;
            self.own_confirmations.push_back((self.last_number, now, job_id));
            self.last_number
        });
        let news = self.record_terminated(now, job_id) || known.is_none();
        let free = |m: &Member| m.never_attests || now >= m.suspended_until || m.acknowledged >= number;
        let may = self.members.iter().enumerate().all(|(i, m)| i == self.local_node || free(m));
        (news, may)
    }

    /// A heartbeat came. Whether its sender attests, and takes our attestations.
    pub fn observe_heartbeat(&mut self, from: usize, life: u64, attests: bool, stamp: u64) {
        let Some(member) = self.members.get_mut(from) else { return };
        member.never_attests = !attests;
        let life = if attests { life } else { 0 };
        if member.incarnation != life {
            // Another life holds nothing of ours yet, and counts its own from the beginning.
            (member.incarnation, member.acknowledged, member.received) = (life, 0, 0);
        }
        member.heartbeat_stamp = stamp;
    }

    /// Our attestation for a member that takes it. `lost`: this node has no state service.
    pub fn attest_to(&mut self, now: u64, to: usize, lost: bool) -> Option<Attestation> {
        let member = self.members.get_mut(to).filter(|m| m.incarnation != 0)?;
        let lacks = self.own_confirmations.iter().filter(|(number, ..)| *number > member.acknowledged);
        let cancelled: Vec<u64> =
            lacks.map(|(_, _, job_id)| job_id.0).take(limits::MAX_ATTESTED_CANCELLATIONS + 1).collect();
        if cancelled.len() > limits::MAX_ATTESTED_CANCELLATIONS {
            // Never on a day within the state service's limits: it would take minutes to commit as many.
            return None;
        }
        if lost {
            member.suspended_until = member.suspended_until.max(now + limits::CONFIRMATION_SUSPENSION);
        }
        let (to, echo, held) = (member.incarnation, member.heartbeat_stamp, member.received);
        let age = now.saturating_sub(self.started_at);
        Some(Attestation {
            for_incarnation: to,
            echo,
            incarnation_age: age,
            confirmations_suspended: lost,
            acknowledged: held,
            last: self.last_number,
            cancelled,
        })
    }

    /// What a member attests. Returns the jobs that turned out to be cancelled, and whether it told of any that
    /// it had not told of before.
    pub fn apply_attestation(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        attestation: &Attestation,
    ) -> (Vec<JobId>, bool) {
        let read = self.store_read_at;
        let own_life = self.incarnation;
        let Some(member) = self.members.get_mut(from).filter(|m| m.incarnation == life && life != 0) else {
            return (Vec::new(), false);
        };
        // For another life of ours, or from before this one.
        if attestation.for_incarnation != own_life
            || attestation.echo > now
            || attestation.echo < self.started_at
        {
            return (Vec::new(), false);
        }
        member.acknowledged = member.acknowledged.max(attestation.acknowledged);
        // One that was overtaken lacks nothing that the later one did not have.
        let news = attestation.last > member.received;
        member.received = member.received.max(attestation.last);
        let began = now.saturating_sub(shortened(attestation.incarnation_age));
        if began <= member.known_until.max(read) {
            let quiet = if attestation.confirmations_suspended {
                shortened(limits::CONFIRMATION_SUSPENSION)
            } else {
                0
            };
            member.known_until = member.known_until.max(attestation.echo + quiet);
        }
        let over = attestation.cancelled.iter().map(|job_id| JobId(*job_id));
        (over.filter(|job_id| self.record_terminated(now, *job_id)).collect(), news)
    }

    /// Whether a member of an earlier version may take it that we have no state service for proof that
    /// nothing is cancelled without it.
    pub fn proves_no_recent_cancellation(&self, now: u64) -> bool {
        let recent = self.own_confirmations.back().is_some_and(|(_, at, _)| now < *at + self.retention);
        !recent && (self.store_read_at > 0 || now >= self.started_at + self.retention)
    }
}

#[cfg(test)]
#[path = "cancellation_log_tests.rs"]
mod tests;
