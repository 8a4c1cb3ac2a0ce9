//! The way of a heartbeat through a controller.
//!
//! A worker's heartbeat is answered by the leader's scheduler, by this node as the leaseholder of a shard, or by this
//! node in keep-alive mode; it is relayed to the leader, or the worker is redirected. The second half of the file
//! handles the frames between leader and leaseholders, one function for each payload.

use super::ignored_frames::IgnoredFrame;
use super::relayed_heartbeats::{RelayedHeartbeat, RelayedHeartbeats};
use super::Controller;
use crate::fencing_token::FencingToken;
use crate::leadership::FollowedLeader;
use crate::lease::renewal::{LeaseRenewal, RenewalCounts};
use crate::lease::shard::{Shard, ShardHeartbeat, ShardResponse};
use crate::limits;
use crate::node_events::HeartbeatReply;
use crate::peer::{self, Payload, RequestIds};
use crate::protocol::workers::{HeartbeatRequest, HeartbeatResponse};
use crate::scheduler::model::Heartbeat;
use crate::scheduler::{Command, TaskCommand};
use crate::time::{to_millis, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
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

/// Frames between the leader and leaseholders.
impl Controller {
    /// As the leader: a leaseholder relays a heartbeat.
    pub(super) fn handle_relayed_heartbeat(
        &mut self,
        now: Timestamp,
        from: usize,
        id: u64,
        stamp: Timestamp,
        heartbeat: Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let knows_cancellations = now < self.leadership.cancellations.may_keep_alive_until();
        if !self.leads(now) || !is_recent_stamp(now, stamp) || !knows_cancellations {
            self.peers.count_ignored(from, IgnoredFrame::Stale);
            return self.respond_to_stale_relay(now, from, id, &heartbeat);
        }
        self.routing.recent_heartbeats.push_back(now);
        let response_id = self.routing.request_ids.take();
        self.routing.pending_replies.insert(response_id, ReplyTo::Leaseholder(from, id));
        commands.push(Command::Heartbeat { response_id, heartbeat, relayed_by: Some(from) });
    }

    /// A node in keep-alive mode renews leases whichever way heartbeats arrive; any other refuses.
    fn respond_to_stale_relay(&mut self, now: Timestamp, from: usize, id: u64, heartbeat: &Heartbeat) {
        let keep_alive = self.leadership.keep_alive_token(now).zip(self.keep_alive_stops(now, heartbeat));
        match keep_alive {
            Some((token, task_commands)) => {
                let token = Some(token);
                self.peers.send(
                    from,
                    Payload::RelayedResponse { id, token, leaseholder_may_respond: false, task_commands },
                );
            }
            None => self.refuse_relayed_heartbeat(from, id),
        }
    }

    /// As the leader: a leaseholder names the machines whose leases it renewed. `command` holds them.
    pub(super) fn handle_shard_heartbeat(
        &mut self,
        now: Timestamp,
        from: usize,
        id: u64,
        stamp: Timestamp,
        command: Command,
        commands: &mut Vec<Command>,
    ) {
        if !self.leads(now) || !is_recent_stamp(now, stamp) {
            return self.peers.count_ignored(from, IgnoredFrame::Stale);
        }
        self.routing.recent_heartbeats.push_back(now);
        commands.push(command);
        let lease_ms = to_millis(self.leadership.shard_lease(now)) as u32;
        self.peers.send(from, Payload::ShardHeartbeatAck { id, lease_ms });
    }

    /// As a leaseholder: the leader's response to a heartbeat that this node relayed.
    pub(super) fn handle_relayed_response(
        &mut self,
        now: Timestamp,
        from: usize,
        id: u64,
        token: Option<FencingToken>,
        leaseholder_may_respond: bool,
        task_commands: Vec<TaskCommand>,
    ) {
        // A node that stood still reads the response before it notices the timeout. A cancellation may have been
        // confirmed by then to a user without this node (`OwnConfirmation::is_safe_from_starts`).
        self.answer_timed_out_relays(now);
        let Some(RelayedHeartbeat { reply: to, heartbeat, .. }) = self.routing.relayed.take_answered(id)
        else {
            return self.peers.count_ignored(from, IgnoredFrame::Unsolicited);
        };
        let reply = match token {
            Some(token) => {
                let task_commands =
                    self.leadership.cancellations.with_cancellations_applied(task_commands, &heartbeat);
                self.routing.shard.record_relayed_response(now, heartbeat, token, leaseholder_may_respond);
                self.routing.accept(token, LeaseRenewal::relayed(), &task_commands)
            }
            None => self.routing.redirect(None),
        };
        reply_to_worker(to, reply);
    }

    /// As a leaseholder: the leader acknowledges a shard heartbeat, which extends the shard lease.
    pub(super) fn handle_shard_heartbeat_ack(&mut self, from: usize, id: u64, lease_ms: u32) {
        let lease = Duration::from_millis(u64::from(lease_ms)).min(self.config.shard_lease);
        if !self.routing.shard.acknowledge(id, lease) {
            self.peers.count_ignored(from, IgnoredFrame::Unsolicited);
        }
    }

    /// As a leaseholder: sends the shard heartbeat that is due, and answers relayed heartbeats that timed out.
    pub(super) fn maintain_shard(&mut self, now: Timestamp) {
        self.send_shard_heartbeat(now);
        self.answer_timed_out_relays(now);
    }

    fn answer_timed_out_relays(&mut self, now: Timestamp) {
        while let Some(timed_out) = self.routing.relayed.take_timed_out(now) {
            let RelayedHeartbeat { reply: to, heartbeat, .. } = timed_out;
            let reply = self.respond_as_leaseholder(now, &heartbeat, false);
            let reply = reply.unwrap_or_else(|| self.routing.redirect(None));
            reply_to_worker(to, reply);
        }
    }

    fn send_shard_heartbeat(&mut self, now: Timestamp) {
        let Some(leader) = self.leadership.followed_leader(now) else { return };
        self.routing.shard.follow(leader.token);
        let Some(heartbeat) = self.routing.shard.next_heartbeat(now) else { return };
        let ShardHeartbeat { id, complete, without_lease, machines } = heartbeat;
        let stamp = leader.heartbeat_stamp;
        let frame = Payload::ShardHeartbeat { id, stamp, complete, without_lease, machines };
        self.peers.send(leader.node, frame);
    }
}
