//! Who may act for the controllers: a state machine without I/O or clock.
//!
//! A leader has two independent proofs: the state lease behind `leader/lock`, and grants by a
//! majority of controllers. Either suffices to act; both must be gone before another may take over.
//! Every deadline counts from when the request was sent and is shortened for drift; the granting
//! side counts from receipt and lengthens it. Without the state lease a leader acts only for a bounded time
//! after the moment up to which it knows of every cancellation (`cancellation_log`), and so do all who keep workers alive.

mod authority;
mod election;
mod handover;
mod messages;
mod store_responses;

use crate::lease::cancellation_log::{Attestation, CancellationBounds, CancellationLog};
use crate::limits;
use crate::protocol::records::Epoch;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tracing::{info, warn};

/// What a node tells its peers in every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Microseconds since the state service last answered this node.
    pub state_age: u64,
    /// Workers that sent a heartbeat with this node lately.
    pub workers: u32,
    /// Machines that a leader counts as up; not told to peers.
    pub machines: u32,
    /// It attests what it knows of cancellations and takes others' word for it (`cancellation_log`); earlier versions don't.
    pub attests: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// From a leader (token above 0) or anybody (0). Asks for a grant if it leads.
    Heartbeat {
        token: u64,
        sent: u64,
    },
    /// A grant in answer to a heartbeat.
    Grant {
        token: u64,
        echo: u64,
    },
    VoteRequest {
        sent: u64,
    },
    Vote {
        echo: u64,
    },
    /// The leader stops and names who should follow.
    Release {
        token: u64,
        successor: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(usize, Message),
    /// What we attest of cancellations, to a member that takes it.
    Attest(usize, Attestation),
    /// Read epoch and lock.
    Probe,
    /// One transaction, with a fresh state lease: epoch and lock, if the epoch is still at `entry`
    /// and, unless `over_lock`, the lock is absent.
    TakeOver {
        token: u64,
        version: u64,
        ignore_lock: bool,
    },
    Renew {
        lease: u64,
    },
    /// End the state lease, best effort.
    Release {
        lease: u64,
    },
    Elected {
        token: u64,
        version: u64,
    },
    /// It may keep its workers alive until then, as any leaseholder.
    Deposed {
        keep_until: u64,
    },
}

#[derive(Debug, Clone)]
pub enum StoreResponse {
    Probed {
        epoch: Option<(Epoch, u64)>,
        locked: bool,
    },
    TakeoverCommitted {
        lease: u64,
        version: u64,
        lease_sent: u64,
    },
    /// Refused, or without an answer (then the lease, if any, is to be ended).
    TakeoverFailed {
        lease: Option<u64>,
    },
    Renewed {
        lease: u64,
        sent: u64,
        alive: bool,
    },
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// Their grant to us runs until then.
    grant_until: u64,
    vote_until: u64,
    last_message_at: u64,
    /// When its last heartbeat came.
    last_heartbeat_at: u64,
    status: Status,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// The takeover transaction is under way.
    TakingOver {
        token: u64,
        proof: TakeoverProof,
    },
    /// In a state outage without a leader: keeps workers alive under the last token, by grants of a
    /// majority, and gives no commands.
    KeepAlive {
        token: u64,
    },
    Leader {
        token: u64,
        lease: Option<u64>,
        lease_until: u64,
        elected: u64,
    },
}

/// What shows that nobody else acts, besides the lock being free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TakeoverProof {
    Votes,
    /// The epoch names this node's own last life.
    PreviousIncarnation,
    /// The lock has been free for longer than anybody may act by peers alone.
    LockExpired,
}

#[derive(Debug)]
pub struct Leadership {
    local_node: usize,
    node_names: Vec<String>,
    incarnation: u64,
    started_at: u64,
    role: Role,
    peers: Vec<Peer>,
    /// Our grant to another: to whom, until when.
    grant_given: Option<(usize, u64)>,
    vote_given: Option<(usize, u64)>,
    /// What this leader granted or promised another before it led runs until then.
    bound_until: u64,
    /// Highest token known.
    highest_token: u64,
    /// The last leader heard: node, token, when.
    leader: Option<(usize, u64, u64)>,
    /// The send time, on its clock, of the last heartbeat of the leader heard last.
    leader_heartbeat_stamp: u64,
    /// Workers have reached the leader heard last.
    leader_reached_by_workers: bool,
    epoch: Option<(Epoch, u64)>,
    epoch_known: bool,
    locked: bool,
    probed_at: u64,
    next_probe_at: u64,
    probe_in_flight: bool,
    next_heartbeat_at: u64,
    next_renewal_at: u64,
    next_campaign_at: u64,
    campaigning: bool,
    may_resume: bool,
    status: Status,
    /// Since when nobody reaches us although workers ask elsewhere or nobody at all is heard.
    unreached_since: Option<u64>,
    /// A worker has sent a heartbeat with this leader since it was elected.
    reached_by_workers: bool,
    autonomous_until: u64,
    /// How long workers may be kept alive without hearing of cancellations.
    longest_autonomy: u64,
    /// Which cancellations are known here, and up to when all of them.
    pub cancellations: CancellationLog,
    /// Up to when others may take what this node attested for proof of what it confirmed.
    attested_until: u64,
    /// Since when the lock is seen free under this version of the epoch, the state service never lost.
    lock_free_since: Option<(u64, u64)>,
    rng: SmallRng,
}

impl Leadership {
    /// `kept`: how long cancellations are remembered.
    pub fn new(
        names: Vec<String>,
        me: usize,
        incarnation: u64,
        now: u64,
        (longest_autonomy, kept): (u64, u64),
        seed: u64,
    ) -> Self {
        Leadership {
            local_node: me,
            cancellations: CancellationLog::new(
                names.len(),
                me,
                incarnation,
                now,
                CancellationBounds { longest_autonomy, retention: kept },
            ),
            // An earlier life may have promised to be quiet right before it ended.
            attested_until: now + limits::CONFIRMATION_SUSPENSION,
            peers: vec![Peer::default(); names.len()],
            node_names: names,
            incarnation,
            started_at: now,
            role: Role::Follower,
            grant_given: None,
            vote_given: None,
            bound_until: 0,
            highest_token: 0,
            leader: None,
            leader_heartbeat_stamp: 0,
            leader_reached_by_workers: false,
            epoch: None,
            epoch_known: false,
            locked: true,
            probed_at: 0,
            next_probe_at: now,
            probe_in_flight: false,
            next_heartbeat_at: now,
            next_renewal_at: 0,
            next_campaign_at: now,
            campaigning: false,
            may_resume: true,
            status: Status { state_age: u64::MAX, ..Status::default() },
            unreached_since: None,
            reached_by_workers: false,
            autonomous_until: now,
            longest_autonomy,
            lock_free_since: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whom a worker should report to: named only while that leader says that workers reach it.
    pub fn leader_name(&self, now: u64) -> Option<&str> {
        let (node, _, heard) = self.leader?;
        // One that workers have stopped reaching is not named: they would hang there.
        let lost = self.leader_reached_by_workers && self.peers[node].status.workers == 0;
        let known = node != self.local_node && now < heard + limits::PEER_TIMEOUT && !lost;
        known.then(|| self.node_names[node].as_str())
    }

    /// The leader that this node follows: node, token, and the stamp of its last heartbeat.
    pub fn followed_leader(&self, now: u64) -> Option<(usize, u64, u64)> {
        let (node, token, heard) = self.leader?;
        let fresh = node != self.local_node && now < heard + limits::PEER_TIMEOUT && !self.is_leader();
        fresh.then_some((node, token, self.leader_heartbeat_stamp))
    }

    /// Nodes that this leader is not in touch with both ways: their grants echo its heartbeats, so that a
    /// node that is heard but does not hear us is among them.
    pub fn unreachable_peers(&self, now: u64) -> impl Iterator<Item = usize> + '_ {
        self.others().filter(move |i| self.peers[*i].grant_until <= now)
    }

    /// Whether some peer reaches the state service.
    pub fn peer_has_state(&self, now: u64) -> bool {
        self.others().any(|i| {
            self.is_peer_alive(i, now) && self.peers[i].status.state_age < limits::STORE_LOST_TIMEOUT
        })
    }

    /// Whether a peer is heard, or there is none.
    pub fn has_live_peer(&self, now: u64) -> bool {
        self.node_names.len() == 1 || self.others().any(|i| self.is_peer_alive(i, now))
    }

    fn others(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.node_names.len()).filter(|i| *i != self.local_node)
    }

    fn is_peer_alive(&self, peer: usize, now: u64) -> bool {
        now < self.peers[peer].last_message_at + limits::PEER_TIMEOUT && self.peers[peer].last_message_at > 0
    }

    pub fn tick(&mut self, now: u64, status: Status) -> Vec<Action> {
        self.status = status;
        let mut actions = Vec::new();
        if self.is_leader() && self.authority(now).is_none() {
            warn!("authority expired");
            self.step_down(now, &mut actions);
        }
        if self.is_leader() {
            self.lead(now, &mut actions);
        } else {
            self.follow(now, &mut actions);
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + limits::HEARTBEAT_INTERVAL;
            let token = match self.role {
                Role::Leader { token, .. } | Role::KeepAlive { token } => token,
                _ => 0,
            };
            let beat = Message::Heartbeat { token, sent: now };
            actions.extend(self.others().map(|i| Action::Send(i, beat)));
        }
        actions
    }

    fn lead(&mut self, now: u64, actions: &mut Vec<Action>) {
        let Role::Leader { token, lease, elected, .. } = self.role else { return };
        if let (true, Some(lease)) = (now >= self.next_renewal_at, lease) {
            self.next_renewal_at = now + limits::LOCK_RENEWAL_INTERVAL;
            actions.push(Action::Renew { lease });
        } else if lease.is_none() && now >= self.next_probe_at && !self.probe_in_flight {
            self.probe(now, limits::PROBE_INTERVAL, actions);
        }
        // Refused by the state service while a peer is served: that peer can do more.
        if self.status.state_age >= limits::STORE_LOST_TIMEOUT {
            let served = self.others().find(|i| {
                self.is_peer_alive(*i, now)
                    && self.peers[*i].status.state_age < limits::HEARTBEAT_INTERVAL * 2
            });
            if let Some(successor) = served {
                info!(
                    successor = self.node_names[successor],
                    "leadership handed over: only a peer reaches the key-value store"
                );
                return self.hand_over(token, successor, now, actions);
            }
        }
        self.check_reachability(token, elected, now, actions);
    }
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
