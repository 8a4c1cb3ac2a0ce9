//! A controller's block: the workers that heartbeat to it.
//!
//! The leaseholder passes on what changes and answers by itself, under the leader's token and without commands,
//! the heartbeats that say nothing new. Once a second it tells the leader whom it answered, and each such heartbeat
//! that the leader confirms lets it go on for a shard lease: counted by the leaseholder from when it sent the heartbeat,
//! by the leader from when it got it. While it hears no leader, a leaseholder answers whoever shows the last token,
//! so that a zone that is cut off lives on as a whole, whichever node its workers reported to before. The
//! leader always knows until when somebody may have kept a worker alive.

use crate::lease::renewal::{LeaseRenewal, UnacknowledgedRenewals};
use crate::limits;
use crate::peer::RequestIds;
use crate::scheduler::model::{Heartbeat, ReportedTask};
use std::collections::{HashMap, VecDeque};

/// The last heartbeat of a machine that the leader knows.
struct CachedHeartbeat {
    agent_epoch: u64,
    sequence: u64,
    tasks: Vec<ReportedTask>,
    /// The leader has something to tell it: the next heartbeat is passed on whatever it says.
    wake_requested: bool,
    /// When it was last answered.
    answered_at: u64,
}

/// A worker with news for a leader that is not heard here.
enum Redirection {
    NotTried,
    /// Sent to the other nodes, which may hear it.
    Redirected,
    /// It came back then: they don't either.
    Returned(u64),
}

/// A heartbeat for the leader of the machines answered here.
pub struct ShardHeartbeat {
    pub id: u64,
    /// It names every machine answered since the last heartbeat that was confirmed.
    pub complete: bool,
    /// None was confirmed yet: it says nothing of what an earlier life of this leaseholder answered.
    pub first_of_incarnation: bool,
    pub machines: Vec<String>,
}

/// What a leaseholder does with a heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub enum ShardResponse {
    /// It answers by itself, under this token.
    Renewed(u64, LeaseRenewal),
    /// A copy of an earlier heartbeat: nobody waits for an answer.
    Duplicate,
    /// The heartbeat is for the leader, or for another node.
    NotResponsible,
}

impl ShardResponse {
    /// The token that it answers with.
    pub fn token(&self) -> Option<u64> {
        match self {
            ShardResponse::Renewed(token, _) => Some(*token),
            _ => None,
        }
    }
}

#[derive(Default)]
pub struct Shard {
    /// Machines that it keeps at most.
    max_cached: usize,
    token: u64,
    /// The shard lease: until then this node may answer by itself.
    lease_until: u64,
    cached: HashMap<String, CachedHeartbeat>,
    redirections: HashMap<String, Redirection>,
    /// Machines answered here that the leader has not confirmed.
    unacknowledged: UnacknowledgedRenewals,
    /// Words without confirmation: number, when, which machines.
    sent_heartbeats: VecDeque<(u64, u64, Vec<String>)>,
    heartbeat_ids: RequestIds,
    next_heartbeat_at: u64,
}

impl Shard {
    /// `max_cached`: machines that it keeps at most.
    pub fn new(max_cached: usize, incarnation: u64) -> Self {
        Shard { max_cached, heartbeat_ids: RequestIds::of(incarnation), ..Shard::default() }
    }

    /// A leader is about. Until it confirms a heartbeat of ours nobody is answered without it; what an earlier one
    /// leased may still keep workers alive elsewhere.
    pub fn follow(&mut self, token: u64) {
        if token > self.token {
            *self = Shard {
                token,
                max_cached: self.max_cached,
                heartbeat_ids: self.heartbeat_ids,
                ..Shard::default()
            };
        }
    }

    /// This node led under the token and does not any more: it may go on keeping workers alive until then.
    pub fn retain_after_leadership(&mut self, token: u64, until: u64) {
        self.follow(token);
        self.lease_until = until;
    }

    /// Answers a heartbeat, if this node may do so without the leader.
    pub fn respond(&mut self, now: u64, heartbeat: &Heartbeat, has_leader: bool) -> ShardResponse {
        // A worker that has seen a higher token drops ours and would sit here while its lease runs out.
        if heartbeat.token != self.token || now + limits::AUTHORITY_MARGIN >= self.lease_until {
            return ShardResponse::NotResponsible;
        }
        let kept = self.cached.get(&heartbeat.machine);
        if kept.is_some_and(|cached| {
            (heartbeat.agent_epoch, heartbeat.sequence) <= (cached.agent_epoch, cached.sequence)
        }) {
            return ShardResponse::Duplicate;
        }
        let unchanged = kept.is_some_and(|cached| {
            heartbeat.agent_epoch == cached.agent_epoch
                && heartbeat.notice_s.is_none()
                && !cached.wake_requested
                && heartbeat.tasks == cached.tasks
        });
        if !unchanged && (has_leader || self.redirects(now, heartbeat)) {
            return ShardResponse::NotResponsible;
        }
        if let Some(kept) = self.cached.get_mut(&heartbeat.machine).filter(|_| unchanged) {
            (kept.sequence, kept.answered_at) = (heartbeat.sequence, now);
        }
        ShardResponse::Renewed(
            self.token,
            self.unacknowledged.record(&heartbeat.machine, self.heartbeat_ids.upcoming()),
        )
    }

    /// While no leader is heard, a worker of ours with news tries the other nodes first, since it may be only
    /// us who do not hear it. One that has just come from there, as all do that we do not know, is kept alive.
    fn redirects(&mut self, now: u64, heartbeat: &Heartbeat) -> bool {
        let known = self.cached.contains_key(&heartbeat.machine);
        let away = self.redirections.entry(heartbeat.machine.clone());
        let away =
            away.or_insert_with(|| if known { Redirection::NotTried } else { Redirection::Returned(now) });
        match away {
            Redirection::Redirected => {
                *away = Redirection::Returned(now);
                false
            }
            Redirection::Returned(at) if now < *at + limits::REDIRECT_RETRY_INTERVAL => false,
            Redirection::NotTried | Redirection::Returned(_) => {
                *away = Redirection::Redirected;
                true
            }
        }
    }

    /// The leader has answered a heartbeat that was passed on. `cacheable`: what says nothing new need not be.
    pub fn record_relayed_response(&mut self, now: u64, heartbeat: Heartbeat, token: u64, keep: bool) {
        if token != self.token {
            return;
        }
        self.redirections.remove(&heartbeat.machine);
        if keep && self.cached.len() < self.max_cached {
            let Heartbeat { machine, agent_epoch, sequence, tasks, .. } = heartbeat;
            self.cached.insert(
                machine,
                CachedHeartbeat { agent_epoch, sequence, tasks, wake_requested: false, answered_at: now },
            );
        } else {
            self.cached.remove(&heartbeat.machine);
        }
    }

    pub fn request_wake(&mut self, machines: &[String]) {
        for name in machines {
            if let Some(kept) = self.cached.get_mut(name) {
                kept.wake_requested = true;
            }
        }
    }

    /// A heartbeat for the leader, once in a while. It repeats what was not confirmed: a frame may be lost with its
    /// connection, and the leader concludes from a heartbeat that nobody else was answered here before it.
    pub fn next_heartbeat(&mut self, now: u64) -> Option<ShardHeartbeat> {
        if now < self.next_heartbeat_at {
            return None;
        }
        // Machines that are gone or report elsewhere are forgotten here, where it happens once in a while.
        self.cached.retain(|_, kept| now < kept.answered_at + limits::CACHED_HEARTBEAT_TTL);
        let id = self.heartbeat_ids.take();
        let mut room = limits::SHARD_HEARTBEAT_MAX_BYTES;
        let fits = |name: &&String| {
            room = room.saturating_sub(name.len() + 1);
            room > 0
        };
        let machines: Vec<String> = self.unacknowledged.names().take_while(fits).cloned().collect();
        let whole = machines.len() == self.unacknowledged.len();
        // The rest follows at once: what the leader confirms meanwhile need not be named again.
        self.next_heartbeat_at = now
            + if whole {
                limits::SHARD_HEARTBEAT_INTERVAL
            } else {
                limits::SHARD_HEARTBEAT_CONTINUATION_INTERVAL
            };
        self.sent_heartbeats.push_back((id, now, machines.clone()));
        if self.sent_heartbeats.len() > limits::MAX_UNACKNOWLEDGED_SHARD_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        Some(ShardHeartbeat { id, complete: whole, first_of_incarnation: self.lease_until == 0, machines })
    }

    /// The leader has taken note: our lease runs on from when it was told. Returns whether the heartbeat is one of ours.
    pub fn acknowledge(&mut self, id: u64, lease: u64) -> bool {
        let Some(at) = self.sent_heartbeats.iter().position(|(told, _, _)| *told == id) else { return false };
        let Some((_, sent, machines)) = self.sent_heartbeats.drain(..=at).next_back() else { return false };
        self.lease_until = self.lease_until.max(sent + limits::shortened(lease));
        for name in machines {
            self.unacknowledged.acknowledge(&name, id);
        }
        true
    }
}

#[cfg(test)]
#[path = "shard_tests.rs"]
mod tests;
