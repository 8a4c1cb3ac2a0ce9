//! A controller's shard: the workers that send their heartbeats to it.
//!
//! The leaseholder relays to the leader every heartbeat that brings a change. It responds itself, under the leader's
//! fencing token and without commands, to heartbeats that are unchanged. Once a second it sends the leader a shard
//! heartbeat that names the machines it responded to. Each one that the leader acknowledges extends the shard lease:
//! the leaseholder counts the lease from when it sent the shard heartbeat, the leader from when it received it.
//!
//! While it has no leader, a leaseholder responds to every worker that shows the last token, so that a zone that is cut
//! off keeps running as a whole, whichever node its workers reported to before. The leader always knows until when a
//! leaseholder may have kept a worker alive.
//!
//! The controller's heartbeat routing owns the [`Shard`] and is its only caller.

use crate::fencing_token::FencingToken;
use crate::lease::renewal::{LeaseRenewal, UnacknowledgedRenewals};
use crate::limits;
use crate::peer::RequestIds;
use crate::scheduler::model::{Heartbeat, ReportedTask};
use crate::time::Timestamp;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The last heartbeat of a machine that the leader knows.
struct CachedHeartbeat {
    agent_epoch: u64,
    sequence: u64,
    tasks: Vec<ReportedTask>,
    /// The leader has a command for the machine: its next heartbeat is relayed even if it is unchanged.
    wake_requested: bool,
    /// When the machine last got a response here.
    responded_at: Timestamp,
}

impl CachedHeartbeat {
    fn is_as_recent_as(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) <= (self.agent_epoch, self.sequence)
    }

    /// Whether the heartbeat tells the leader nothing that it does not know, and the leader has no command for it.
    fn makes_relay_needless(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.agent_epoch
            && heartbeat.notice_s.is_none()
            && !self.wake_requested
            && heartbeat.tasks == self.tasks
    }
}

/// State of a worker with changes for a leader that this node has lost contact with.
enum Redirection {
    NotTried,
    /// Redirected to the other nodes, which may be in contact with the leader.
    Redirected,
    /// It came back at this time: the other nodes have no contact with a leader either.
    Returned(Timestamp),
}

/// The leaseholder's periodic message to the leader, with the machines that it responded to.
pub struct ShardHeartbeat {
    /// Number of the heartbeat, unique over the node's incarnations.
    pub id: u64,
    /// It names every machine with a response since the last shard heartbeat that was acknowledged.
    pub complete: bool,
    /// None was acknowledged yet: it proves nothing about responses of an earlier incarnation of this leaseholder.
    pub first_of_incarnation: bool,
    /// Names of the machines.
    pub machines: Vec<String>,
}

/// What a leaseholder does with a worker's heartbeat.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a renewal that was recorded should be sent"]
pub enum ShardResponse {
    /// It responds itself, under this fencing token.
    Renewed(FencingToken, LeaseRenewal),
    /// A repeated or overtaken heartbeat: no response is due.
    Duplicate,
    /// The heartbeat is for the leader, or for another node.
    NotResponsible,
}

impl ShardResponse {
    /// The fencing token that it responds with, if it does.
    pub fn token(&self) -> Option<FencingToken> {
        match self {
            ShardResponse::Renewed(token, _) => Some(*token),
            ShardResponse::Duplicate | ShardResponse::NotResponsible => None,
        }
    }
}

/// A shard heartbeat that the leader has not acknowledged.
struct SentHeartbeat {
    id: u64,
    sent_at: Timestamp,
    machines: Vec<String>,
}

/// The leaseholder's state: its shard lease, and the machines that it may respond to without the leader.
#[derive(Default)]
pub struct Shard {
    /// Machines that are cached at most.
    max_cached: usize,
    /// Fencing token of the leader that this shard belongs to.
    token: FencingToken,
    /// The shard lease: until then this node may respond itself; zero: none was granted under this token.
    lease_until: Timestamp,
    /// By machine.
    cached: HashMap<String, CachedHeartbeat>,
    /// By machine.
    redirections: HashMap<String, Redirection>,
    /// Machines with a response here that the leader has not acknowledged.
    unacknowledged: UnacknowledgedRenewals,
    /// Shard heartbeats without acknowledgement, the oldest first.
    sent_heartbeats: VecDeque<SentHeartbeat>,
    heartbeat_ids: RequestIds,
    next_heartbeat_at: Timestamp,
}

impl Shard {
    /// A shard without a lease. `max_cached`: how many machines it caches at most. `incarnation`: of this process.
    pub fn new(max_cached: usize, incarnation: u64) -> Self {
        Shard { max_cached, heartbeat_ids: RequestIds::of(incarnation), ..Shard::default() }
    }

    /// A leader with this fencing token was observed. A new leader starts the shard anew: until it acknowledges a shard
    /// heartbeat, no worker gets a response without it. Leases that an earlier leader granted may still keep workers
    /// alive elsewhere.
    pub fn follow(&mut self, token: FencingToken) {
        if token > self.token {
            *self = Shard {
                token,
                max_cached: self.max_cached,
                heartbeat_ids: self.heartbeat_ids,
                ..Shard::default()
            };
        }
    }

    /// This node led under the token and no longer does: it may keep workers alive until then.
    pub fn retain_after_leadership(&mut self, token: FencingToken, until: Timestamp) {
        self.follow(token);
        self.lease_until = until;
    }

    /// Decides on a heartbeat, and records the response if this node may give one without the leader. `has_leader`:
    /// whether this node is in contact with the leader.
    pub fn respond(&mut self, now: Timestamp, heartbeat: &Heartbeat, has_leader: bool) -> ShardResponse {
        // A worker that has seen a higher token drops ours. It would stay here while its lease runs out.
        if heartbeat.token != self.token || now + limits::AUTHORITY_MARGIN >= self.lease_until {
            return ShardResponse::NotResponsible;
        }
        let cached = self.cached.get(&heartbeat.machine);
        if cached.is_some_and(|cached| cached.is_as_recent_as(heartbeat)) {
            return ShardResponse::Duplicate;
        }
        let unchanged = cached.is_some_and(|cached| cached.makes_relay_needless(heartbeat));
        if !unchanged && (has_leader || self.redirects(now, heartbeat)) {
            return ShardResponse::NotResponsible;
        }
        if let Some(cached) = self.cached.get_mut(&heartbeat.machine).filter(|_| unchanged) {
            cached.sequence = heartbeat.sequence;
            cached.responded_at = now;
        }
        let renewal = self.unacknowledged.record(&heartbeat.machine, self.heartbeat_ids.upcoming());
        ShardResponse::Renewed(self.token, renewal)
    }

    /// Without contact with a leader, a worker of this shard with changes tries the other nodes first: perhaps only
    /// this node has lost the leader. A worker that has just come from there is kept alive; every worker that is not
    /// cached counts as such.
    fn redirects(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        let is_cached = self.cached.contains_key(&heartbeat.machine);
        let initial = if is_cached { Redirection::NotTried } else { Redirection::Returned(now) };
        let redirection = self.redirections.entry(heartbeat.machine.clone()).or_insert(initial);
        match redirection {
            Redirection::Redirected => {
                *redirection = Redirection::Returned(now);
                false
            }
            Redirection::Returned(at) if now < *at + limits::REDIRECT_RETRY_INTERVAL => false,
            Redirection::NotTried | Redirection::Returned(_) => {
                *redirection = Redirection::Redirected;
                true
            }
        }
    }

    /// The leader has responded to a heartbeat that was relayed. `cacheable`: later heartbeats that are unchanged need
    /// not be relayed.
    pub fn record_relayed_response(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        token: FencingToken,
        cacheable: bool,
    ) {
        if token != self.token {
            return;
        }
        let Heartbeat { machine, agent_epoch, sequence, tasks, .. } = heartbeat;
        self.redirections.remove(&machine);
        if !cacheable || self.cached.len() >= self.max_cached {
            self.cached.remove(&machine);
            return;
        }
        let cached =
            CachedHeartbeat { agent_epoch, sequence, tasks, wake_requested: false, responded_at: now };
        self.cached.insert(machine, cached);
    }

    /// The leader has commands for these machines: their next heartbeat is relayed even if it is unchanged.
    pub fn request_wake(&mut self, machines: &[String]) {
        for name in machines {
            if let Some(cached) = self.cached.get_mut(name) {
                cached.wake_requested = true;
            }
        }
    }

    /// The shard heartbeat for the leader, when one is due. It repeats what was not acknowledged: a frame may be lost
    /// with its connection, and the leader concludes from a complete one that no other machine got a response here
    /// before it.
    #[must_use = "the shard lease is extended only by a heartbeat that is sent"]
    pub fn next_heartbeat(&mut self, now: Timestamp) -> Option<ShardHeartbeat> {
        if now < self.next_heartbeat_at {
            return None;
        }
        // Machines that were deleted or report elsewhere leave the cache here, where it costs least.
        self.cached.retain(|_, cached| now < cached.responded_at + limits::CACHED_HEARTBEAT_TTL);
        let id = self.heartbeat_ids.take();
        let machines = self.unacknowledged_names_that_fit();
        let complete = machines.len() == self.unacknowledged.len();
        // The remaining names follow at once. What the leader acknowledges meanwhile need not be repeated.
        let interval = if complete {
            limits::SHARD_HEARTBEAT_INTERVAL
        } else {
            limits::SHARD_HEARTBEAT_CONTINUATION_INTERVAL
        };
        self.next_heartbeat_at = now + interval;
        self.sent_heartbeats.push_back(SentHeartbeat { id, sent_at: now, machines: machines.clone() });
        if self.sent_heartbeats.len() > limits::MAX_UNACKNOWLEDGED_SHARD_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        Some(ShardHeartbeat {
            id,
            complete,
            first_of_incarnation: self.lease_until == Timestamp::ZERO,
            machines,
        })
    }

    /// Names of unacknowledged machines, as many as fit into one frame.
    fn unacknowledged_names_that_fit(&self) -> Vec<String> {
        let mut bytes_left = limits::SHARD_HEARTBEAT_MAX_BYTES;
        let fits = |name: &&String| {
            bytes_left = bytes_left.saturating_sub(name.len() + 1);
            bytes_left > 0
        };
        self.unacknowledged.names().take_while(fits).cloned().collect()
    }

    /// The leader has acknowledged a shard heartbeat: the shard lease runs for `lease` from when it was
    /// sent. Returns whether the heartbeat is one of this shard's.
    pub fn acknowledge(&mut self, id: u64, lease: Duration) -> bool {
        let Some(at) = self.sent_heartbeats.iter().position(|sent| sent.id == id) else { return false };
        // Earlier ones are covered: a shard heartbeat repeats what was not acknowledged.
        let Some(acknowledged) = self.sent_heartbeats.drain(..=at).next_back() else { return false };
        self.lease_until = self.lease_until.max(acknowledged.sent_at + limits::shortened(lease));
        for name in acknowledged.machines {
            self.unacknowledged.acknowledge(&name, id);
        }
        true
    }
}

#[cfg(test)]
#[path = "shard_tests.rs"]
mod tests;
