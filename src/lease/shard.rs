//! A controller's shard: the workers that send their heartbeats to it while another controller leads.
//!
//! The controller, as the leaseholder of its shard, relays every heartbeat with a change to the leader. To
//! unchanged heartbeats it responds itself, under the leader's fencing token and without commands. Once a
//! second it sends the leader a shard heartbeat that names the machines it responded to. Each one that the
//! leader acknowledges extends the shard lease: the leaseholder counts the lease from when it sent the shard
//! heartbeat, the leader from when it received it.
//!
//! While it is not in contact with a leader, a leaseholder responds to every worker whose heartbeat has the
//! last token, so that all workers of a partitioned zone keep running, whichever node they reported to
//! before. The leader always knows until when a leaseholder may have kept a worker alive: at the latest
//! until the end of the shard lease, as the leader counts it.
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

/// A machine's last heartbeat whose tasks the leader knows. Changed heartbeats to which this node responds
/// without a leader are not cached.
struct CachedHeartbeat {
    agent_epoch: u64,
    sequence: u64,
    tasks: Vec<ReportedTask>,
    /// The leader has a command for the machine: the next heartbeat is relayed even if it is unchanged.
    relay_required: bool,
    /// When this node last responded to a heartbeat with these tasks, itself or with the leader's response.
    responded_at: Timestamp,
}

impl CachedHeartbeat {
    fn is_not_older_than(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.agent_epoch, heartbeat.sequence) <= (self.agent_epoch, self.sequence)
    }

    /// Whether this node may respond itself: the leader knows the heartbeat's content and has no command for
    /// the machine.
    fn allows_local_response(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.agent_epoch
            && heartbeat.notice_s.is_none()
            && !self.relay_required
            && heartbeat.tasks == self.tasks
    }
}

/// Whether a worker whose heartbeat does not allow a local response was redirected to other nodes, while this
/// node is not in contact with a leader.
enum Redirection {
    NotTried,
    /// Redirected to the other nodes, which may be in contact with the leader.
    Redirected,
    /// The worker came back from the other nodes at this time: they are not in contact with a leader either.
    /// Assumed of a worker whose heartbeat is not cached: another node has probably redirected it here.
    Returned(Timestamp),
}

/// The leaseholder's periodic message to the leader. It names the machines that the leaseholder responded to.
pub struct ShardHeartbeat {
    /// Number of the heartbeat, unique over the node's incarnations.
    pub id: u64,
    /// Whether it names every machine with a response since the last acknowledged shard heartbeat.
    pub complete: bool,
    /// Whether this shard has had no lease under its token. The node may then have just restarted, and an
    /// earlier incarnation may have responded to machines that this heartbeat does not name.
    pub without_lease: bool,
    /// Names of the machines.
    pub machines: Vec<String>,
}

/// How a leaseholder handles a worker's heartbeat.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a renewal that was recorded should be sent"]
pub enum ShardResponse {
    /// The leaseholder responds itself, under this fencing token.
    Renewed(FencingToken, LeaseRenewal),
    /// The heartbeat was repeated or overtaken: it renews nothing.
    Duplicate,
    /// This node must not respond itself: the heartbeat is relayed to the leader, or the worker is redirected
    /// to another node.
    NotResponsible,
}

impl ShardResponse {
    /// The fencing token of the response, if the leaseholder responds itself.
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

/// State of a leaseholder: its shard lease, and the machines that it may respond to without the leader.
#[derive(Default)]
pub struct Shard {
    /// The most machines whose heartbeats are cached.
    max_cached: usize,
    /// Fencing token of the leader that this shard belongs to.
    token: FencingToken,
    /// End of the shard lease, until which this node may respond itself; [`Timestamp::ZERO`]: none was
    /// granted under this token.
    lease_until: Timestamp,
    /// By machine.
    cached: HashMap<String, CachedHeartbeat>,
    /// By machine.
    redirections: HashMap<String, Redirection>,
    /// Machines with a response by this node that the leader has not acknowledged.
    unacknowledged: UnacknowledgedRenewals,
    /// Shard heartbeats that are not acknowledged, the oldest first.
    sent_heartbeats: VecDeque<SentHeartbeat>,
    /// Ids of shard heartbeats; `upcoming` is the id that the next `take` returns.
    heartbeat_ids: RequestIds,
    next_heartbeat_at: Timestamp,
}

impl Shard {
    /// A shard without a lease. `max_cached`: the most machines whose heartbeats it caches. `incarnation`:
    /// that of this process.
    pub fn new(max_cached: usize, incarnation: u64) -> Self {
        Shard { max_cached, heartbeat_ids: RequestIds::of(incarnation), ..Shard::default() }
    }

    /// A leader with this fencing token was observed. If it is new, the shard is reset: until the new leader
    /// acknowledges a shard heartbeat, this node responds to no worker itself. Other nodes that have not yet
    /// observed the new leader may still respond under shard leases of an earlier one.
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

    /// This node has stopped leading under `token` and may keep workers alive until `until`. Sets the end of
    /// the shard lease to `until`.
    pub fn keep_alive_after_leadership(&mut self, token: FencingToken, until: Timestamp) {
        self.follow(token);
        self.lease_until = until;
    }

    /// Decides how to handle a heartbeat, and records the response if this node may respond without the
    /// leader. `has_leader`: whether this node is in contact with the leader.
    pub fn respond(&mut self, now: Timestamp, heartbeat: &Heartbeat, has_leader: bool) -> ShardResponse {
        // A worker that has seen a higher token ignores responses under ours: its lease would expire while it
        // keeps sending heartbeats here. One with a lower token or none has no tasks that this shard may
        // keep alive.
        if heartbeat.token != self.token || now + limits::AUTHORITY_MARGIN >= self.lease_until {
            return ShardResponse::NotResponsible;
        }
        let cached = self.cached.get(&heartbeat.machine);
        if cached.is_some_and(|cached| cached.is_not_older_than(heartbeat)) {
            return ShardResponse::Duplicate;
        }
        let unchanged = cached.is_some_and(|cached| cached.allows_local_response(heartbeat));
        if !unchanged && (has_leader || self.decide_redirection(now, heartbeat)) {
            return ShardResponse::NotResponsible;
        }
        if let Some(cached) = self.cached.get_mut(&heartbeat.machine).filter(|_| unchanged) {
            cached.sequence = heartbeat.sequence;
            cached.responded_at = now;
        }
        let renewal = self.unacknowledged.record(&heartbeat.machine, self.heartbeat_ids.upcoming());
        ShardResponse::Renewed(self.token, renewal)
    }

    /// Decides whether to redirect a worker whose heartbeat does not allow a local response, while this node
    /// is not in contact with a leader, and records the decision. A worker of this shard tries the
    /// other nodes first, since perhaps only this node has lost the leader. A worker that has just come back
    /// from them is kept alive. So is a worker that is not cached: another node has probably redirected it
    /// here.
    fn decide_redirection(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
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

    /// The leader has responded to a relayed heartbeat. `leaseholder_may_respond`: this node may
    /// respond to later unchanged heartbeats of the machine itself.
    pub fn record_relayed_response(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        token: FencingToken,
        leaseholder_may_respond: bool,
    ) {
        if token != self.token {
            return;
        }
        let Heartbeat { machine, agent_epoch, sequence, tasks, .. } = heartbeat;
        self.redirections.remove(&machine);
        if !leaseholder_may_respond || self.cached.len() >= self.max_cached {
            self.cached.remove(&machine);
            return;
        }
        let cached =
            CachedHeartbeat { agent_epoch, sequence, tasks, relay_required: false, responded_at: now };
        self.cached.insert(machine, cached);
    }

    /// The leader has commands for these machines: their next heartbeat is relayed even if it is unchanged.
    pub fn require_relay(&mut self, machines: &[String]) {
        for name in machines {
            if let Some(cached) = self.cached.get_mut(name) {
                cached.relay_required = true;
            }
        }
    }

    /// The shard heartbeat for the leader, if one is due. It repeats machines that were not acknowledged: a
    /// frame may be lost with its connection, and from a complete shard heartbeat the leader concludes that
    /// this node has responded to no other machine since the last acknowledged one.
    #[must_use = "the shard lease is extended only by a heartbeat that is sent"]
    pub fn next_heartbeat(&mut self, now: Timestamp) -> Option<ShardHeartbeat> {
        if now < self.next_heartbeat_at {
            return None;
        }
        // Machines that were deleted or report elsewhere are dropped from the cache here, once per shard
        // heartbeat and not at every worker's heartbeat.
        self.cached.retain(|_, cached| now < cached.responded_at + limits::CACHED_HEARTBEAT_TTL);
        let id = self.heartbeat_ids.take();
        let machines = self.unacknowledged_names_that_fit();
        let complete = machines.len() == self.unacknowledged.len();
        // The remaining names follow soon. Machines that the leader acknowledges meanwhile are not repeated.
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
        Some(ShardHeartbeat { id, complete, without_lease: self.lease_until == Timestamp::ZERO, machines })
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

    /// The leader has acknowledged the shard heartbeat `id`: the shard lease runs for `lease` from when it
    /// was sent. Returns whether this shard sent it and waited for its acknowledgement.
    pub fn acknowledge(&mut self, id: u64, lease: Duration) -> bool {
        let Some(position) = self.sent_heartbeats.iter().position(|sent| sent.id == id) else { return false };
        // Earlier ones are covered, since a shard heartbeat repeats machines that were not acknowledged.
        let Some(acknowledged) = self.sent_heartbeats.drain(..=position).next_back() else { return false };
        self.lease_until = self.lease_until.max(acknowledged.sent_at + limits::minus_clock_drift(lease));
        for name in acknowledged.machines {
            self.unacknowledged.acknowledge(&name, id);
        }
        true
    }
}

#[cfg(test)]
#[path = "shard_tests.rs"]
mod tests;
