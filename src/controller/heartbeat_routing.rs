//! The way of a heartbeat through a controller.
//!
//! A worker's heartbeat is answered by the leader's scheduler, by this node as the leaseholder of a shard, or by this
//! node in keep-alive mode; it is relayed to the leader, or the worker is redirected. [`shard_frames`] handles the frames
//! between leader and leaseholders.

mod shard_frames;

use super::relayed_heartbeats::{RelayedHeartbeat, RelayedHeartbeats};
use super::Controller;
use crate::fencing_token::FencingToken;
use crate::leadership::FollowedLeader;
use crate::lease::renewal::{LeaseRenewal, RenewalCounts};
use crate::lease::shard::{Shard, ShardResponse};
use crate::limits;
use crate::node_events::HeartbeatReply;
use crate::peer::{self, Payload, RequestIds};
use crate::protocol::workers::{HeartbeatRequest, HeartbeatResponse};
use crate::scheduler::model::Heartbeat;
use crate::scheduler::{Command, TaskCommand};
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use tokio::sync::oneshot;
use tracing::{debug, warn};

/// The state of heartbeats that are under way, and of this node's shard.
pub(super) struct HeartbeatRouting {
    /// Heartbeats that the scheduler has not answered yet, by the number of the reply.
    pub(super) pending_replies: BTreeMap<u64, ReplyTo>,
    /// Heartbeats that were relayed to the leader.
    relayed: RelayedHeartbeats,
    /// Numbers of replies and of relayed requests.
    request_ids: RequestIds,
    /// The workers whose leases this node renews while another node leads.
    pub(super) shard: Shard,
    pub(super) renewal_counts: RenewalCounts,
    /// When workers sent heartbeats lately.
    pub(super) recent_heartbeats: VecDeque<Timestamp>,
}

/// Where the reply to a heartbeat goes.
pub(super) enum ReplyTo {
    /// To the worker, with stop commands that must be in the reply, whatever the scheduler adds.
    Worker(oneshot::Sender<HeartbeatReply>, Vec<TaskCommand>),
    /// To the leaseholder that relayed it: its node, and its number of the request.
    Leaseholder(usize, u64),
}

impl HeartbeatRouting {
    pub(super) fn new(max_shard_machines: usize, incarnation: u64) -> Self {
        HeartbeatRouting {
            pending_replies: BTreeMap::new(),
            relayed: RelayedHeartbeats::default(),
            request_ids: RequestIds::of(incarnation),
            shard: Shard::new(max_shard_machines, incarnation),
            renewal_counts: RenewalCounts::default(),
            recent_heartbeats: VecDeque::new(),
        }
    }

    /// A reply that renews a worker's lease.
    fn accept<'a>(
        &mut self,
        token: FencingToken,
        renewal: LeaseRenewal,
        task_commands: impl IntoIterator<Item = &'a TaskCommand>,
    ) -> HeartbeatReply {
        self.renewal_counts.count(&renewal);
        HeartbeatReply::Accepted(HeartbeatResponse::new(token, renewal, task_commands))
    }

    /// A reply that sends the worker to the leader, or to any other node.
    fn redirect(&mut self, leader: Option<String>) -> HeartbeatReply {
        self.renewal_counts.count_refused();
        HeartbeatReply::Redirected(leader)
    }
}

fn log_lease_renewal(heartbeat: &Heartbeat, renewal: &LeaseRenewal, token: FencingToken) {
    let Heartbeat { machine, agent_epoch, sequence, .. } = heartbeat;
    debug!(machine, agent_epoch, sequence, %token, basis = ?renewal.basis(), "lease renewed");
}

/// Replies to a worker.
fn reply_to_worker(to: oneshot::Sender<HeartbeatReply>, reply: HeartbeatReply) {
    // The worker's request may have timed out; its next heartbeat is answered again.
    let _ = to.send(reply);
}

/// Whether a frame echoes a recent stamp of this leader. Stamps of other leaders lie outside the window: each clock
/// starts at a random point.
fn is_recent_stamp(now: Timestamp, stamp: Timestamp) -> bool {
    stamp <= now && now < stamp + limits::RELAY_MAX_AGE
}

/// Heartbeats of workers.
impl Controller {
    /// Routes a worker's heartbeat; what is for the scheduler goes to `commands`.
    pub(super) fn route_heartbeat(
        &mut self,
        now: Timestamp,
        request: HeartbeatRequest,
        to: oneshot::Sender<HeartbeatReply>,
        commands: &mut Vec<Command>,
    ) {
        self.routing.recent_heartbeats.push_back(now);
        let heartbeat = match Heartbeat::try_from(request) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                warn!(%error, "heartbeat dropped");
                return reply_to_worker(to, HeartbeatReply::Malformed);
            }
        };
        let authority = self.leadership.authority(now).filter(|_| self.scheduler.is_some());
        if let Some((token, renewal)) = self.renewal_without_scheduler(now, authority) {
            let reply = self.respond_without_scheduler(now, &heartbeat, token, renewal);
            return reply_to_worker(to, reply);
        }
        if authority.is_none() {
            return self.relay_or_redirect(now, heartbeat, to);
        }
        let response_id = self.routing.request_ids.take();
        let stops = self.leadership.cancellations.with_cancellations_applied(Vec::new(), &heartbeat);
        self.routing.pending_replies.insert(response_id, ReplyTo::Worker(to, stops));
        commands.push(Command::Heartbeat { response_id, heartbeat, relayed_by: None });
    }

    /// Whether this node may act as the leader now.
    fn leads(&self, now: Timestamp) -> bool {
        self.scheduler.is_some() && self.leadership.authority(now).is_some()
    }

    /// The token and the basis of renewals that this node makes for every worker without the scheduler: as a leader
    /// that has not loaded the jobs, or in keep-alive mode. Such a leader knows no more than a node in keep-alive mode:
    /// leases are renewed, and tasks only stopped if they are cancelled.
    /// `authority`: the token of this node's leadership, if it may act.
    fn renewal_without_scheduler(
        &self,
        now: Timestamp,
        authority: Option<FencingToken>,
    ) -> Option<(FencingToken, LeaseRenewal)> {
        let loading = self.scheduler.as_ref().is_some_and(|scheduler| !scheduler.loaded);
        if let Some(token) = authority.filter(|_| loading) {
            return Some((token, LeaseRenewal::before_load()));
        }
        let token = self.leadership.keep_alive_token(now)?;
        Some((token, LeaseRenewal::by_keep_alive()))
    }

    fn respond_without_scheduler(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        token: FencingToken,
        renewal: LeaseRenewal,
    ) -> HeartbeatReply {
        let Some(stops) = self.keep_alive_stops(now, heartbeat) else {
            return self.routing.redirect(None);
        };
        log_lease_renewal(heartbeat, &renewal, token);
        self.routing.accept(token, renewal, &stops)
    }

    /// The stop commands that a renewal by this node alone must carry; `None`: this node knows too little of
    /// cancellations to renew the lease.
    fn keep_alive_stops(&self, now: Timestamp, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let cancellations = &self.leadership.cancellations;
        if now + limits::AUTHORITY_MARGIN >= cancellations.may_keep_alive_until() {
            return None;
        }
        cancellations.stop_commands(heartbeat)
    }

    /// A heartbeat at a node that does not lead: answered as the leaseholder, relayed, or redirected.
    fn relay_or_redirect(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        to: oneshot::Sender<HeartbeatReply>,
    ) {
        let followed = self.leadership.followed_leader(now);
        if let Some(leader) = &followed {
            self.routing.shard.follow(leader.token);
        }
        if let Some(reply) = self.respond_as_leaseholder(now, &heartbeat, followed.is_some()) {
            return reply_to_worker(to, reply);
        }
        if let Some(FollowedLeader { node: leader, token, heartbeat_stamp: stamp, .. }) = followed {
            if heartbeat.token <= token && peer::fits_frame(&heartbeat) {
                let id = self.routing.request_ids.take();
                let frame = Payload::RelayedHeartbeat { id, stamp, heartbeat: heartbeat.clone() };
                if self.peers.send(leader, frame) {
                    let relayed = RelayedHeartbeat { reply: to, heartbeat, sent_at: now };
                    self.routing.relayed.insert(id, relayed);
                    return;
                }
            }
        }
        // A node that has lost its state learns the last token from the workers.
        let actions = self.leadership.observe_token(heartbeat.token, now);
        self.apply_actions(actions);
        let leader = self.leadership.leader_name(now).map(str::to_string);
        debug!(machine = heartbeat.machine, leader, "heartbeat redirected");
        reply_to_worker(to, self.routing.redirect(leader));
    }

    /// The reply of this node as a leaseholder; `None`: it may not answer by itself.
    fn respond_as_leaseholder(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        has_leader: bool,
    ) -> Option<HeartbeatReply> {
        let stops = self.keep_alive_stops(now, heartbeat)?;
        match self.routing.shard.respond(now, heartbeat, has_leader) {
            ShardResponse::Renewed(token, renewal) => {
                log_lease_renewal(heartbeat, &renewal, token);
                Some(self.routing.accept(token, renewal, &stops))
            }
            ShardResponse::Duplicate => Some(self.routing.redirect(None)),
            ShardResponse::NotResponsible => None,
        }
    }

    /// Sends the scheduler's response to a heartbeat. `renewal` is `None` if it does not renew the lease.
    pub(super) fn respond(
        &mut self,
        response_id: u64,
        renewal: Option<LeaseRenewal>,
        mut task_commands: Vec<TaskCommand>,
        leaseholder_may_respond: bool,
    ) {
        let Some(to) = self.routing.pending_replies.remove(&response_id) else { return };
        // Checked again at the last moment: the round may have taken long.
        let now = self.clock.now();
        let knows_cancellations = now < self.leadership.cancellations.may_keep_alive_until();
        let entitled = self.leadership.authority(now).filter(|_| knows_cancellations).zip(renewal);
        self.withhold_starts(now, &mut task_commands);
        match to {
            ReplyTo::Worker(to, stops) => {
                let missing = stops.iter().filter(|stop| !task_commands.contains(stop));
                let reply = match entitled {
                    Some((token, renewal)) => {
                        self.routing.accept(token, renewal, task_commands.iter().chain(missing))
                    }
                    None => self.routing.redirect(None),
                };
                reply_to_worker(to, reply);
            }
            ReplyTo::Leaseholder(node, id) => {
                let token = entitled.map(|(token, _)| token);
                self.peers.send(
                    node,
                    Payload::RelayedResponse { id, token, leaseholder_may_respond, task_commands },
                );
            }
        }
    }

    /// Removes starts that must not leave any more: of jobs whose cancellation this node has acknowledged since the
    /// scheduler decided, and all while it may have missed a cancellation. The machine's next heartbeat shows the
    /// scheduler that they were not carried out.
    fn withhold_starts(&self, now: Timestamp, task_commands: &mut Vec<TaskCommand>) {
        let may_start_tasks = self.leadership.may_start_tasks(now);
        let cancellations = &self.leadership.cancellations;
        task_commands.retain(|command| match command {
            TaskCommand::Start { .. } => may_start_tasks && !cancellations.forbids(command),
            TaskCommand::Stop { .. } | TaskCommand::Forget { .. } => true,
        });
    }

    /// Answers what the scheduler has not answered when this node's leadership ends.
    pub(super) fn redirect_pending_replies(&mut self) {
        for (_, to) in std::mem::take(&mut self.routing.pending_replies) {
            match to {
                // Not counted as a refusal.
                ReplyTo::Worker(to, _) => reply_to_worker(to, HeartbeatReply::Redirected(None)),
                ReplyTo::Leaseholder(node, id) => self.refuse_relayed_heartbeat(node, id),
            }
        }
    }

    fn refuse_relayed_heartbeat(&self, node: usize, id: u64) {
        let task_commands = Vec::new();
        self.peers.send(
            node,
            Payload::RelayedResponse { id, token: None, leaseholder_may_respond: false, task_commands },
        );
    }
}
