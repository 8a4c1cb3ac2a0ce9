//! Workers' heartbeats: answered by the leader's scheduler, by this node as the leaseholder of a shard, by a node in keep-alive mode, or
//! sent elsewhere; and the frames about them between leader and leaseholders.

use super::ignored_frames::IgnoredFrame;
use super::Controller;
use crate::leadership::FollowedLeader;
use crate::lease::renewal::LeaseRenewal;
use crate::lease::shard::{ShardHeartbeat, ShardResponse};
use crate::limits;
use crate::node_events::HeartbeatReply;
use crate::peer::{self, Payload};
use crate::protocol::workers::{HeartbeatRequest, HeartbeatResponse};
use crate::scheduler::model::Heartbeat;
use crate::scheduler::{Command, TaskCommand};
use tokio::sync::oneshot;
use tracing::{debug, warn};

/// Where the answer to a heartbeat goes.
pub(super) enum ReplyTo {
    /// With the stops that it must not leave without.
    Worker(oneshot::Sender<HeartbeatReply>, Vec<TaskCommand>),
    /// To the leaseholder that passed it on, under its number.
    Leaseholder(usize, u64),
}

/// An answer that this node gives without the leader, as far as it knows.
fn log_lease_renewal(heartbeat: &Heartbeat, renewal: &LeaseRenewal, token: u64) {
    let Heartbeat { machine, agent_epoch, sequence, .. } = heartbeat;
    debug!(machine, agent_epoch, sequence, token, basis = ?renewal.basis(), "lease renewed");
}

/// A heartbeat on its way to the leader.
pub(super) struct RelayedHeartbeat {
    pub(super) to: oneshot::Sender<HeartbeatReply>,
    pub(super) heartbeat: Heartbeat,
    pub(super) sent: u64,
}

impl Controller {
    /// An answer of this node's own that keeps a worker alive: the stops that it bears, or None if it may not.
    pub(super) fn keep_alive_stops(&self, now: u64, heartbeat: &Heartbeat) -> Option<Vec<TaskCommand>> {
        let cancellations = &self.leadership.cancellations;
        (now + limits::AUTHORITY_MARGIN < cancellations.keep_alive_until())
            .then(|| cancellations.stop_commands(heartbeat))
            .flatten()
    }

    /// A frame of the leader's to a leaseholder, or of a leaseholder's to the leader.
    pub(super) fn handle_shard_frame(
        &mut self,
        now: u64,
        from: usize,
        payload: Payload,
        commands: &mut Vec<Command>,
    ) {
        let leads = self.leadership.authority(now).is_some() && self.scheduler.is_some();
        // Stamps of other leaders' heartbeats lie outside every window: clocks start at random points.
        let fresh = |stamp: u64| stamp <= now && now < stamp + limits::RELAY_MAX_AGE;
        match payload {
            Payload::RelayedHeartbeat { id, stamp, heartbeat } => {
                if !leads || !fresh(stamp) || now >= self.leadership.cancellations.keep_alive_until() {
                    self.frames_ignored.note(from, IgnoredFrame::Stale);
                    // A node in keep-alive mode keeps workers alive whichever way they come.
                    let care =
                        self.leadership.keep_alive_token(now).zip(self.keep_alive_stops(now, &heartbeat));
                    let (token, task_commands) = care.unzip();
                    let task_commands = task_commands.unwrap_or_default();
                    self.send(from, Payload::RelayedResponse { id, token, cacheable: false, task_commands });
                    return;
                }
                self.recent_heartbeats.push_back(now);
                let reply = self.request_ids.take();
                self.pending_replies.insert(reply, ReplyTo::Leaseholder(from, id));
                commands.push(Command::Heartbeat { reply, heartbeat, via: Some(from) });
            }
            Payload::ShardHeartbeat { id, stamp, complete: whole, first_of_incarnation: anew, machines }
                if leads && fresh(stamp) =>
            {
                self.recent_heartbeats.push_back(now);
                let covers = whole.then_some(stamp);
                commands.push(Command::ShardHeartbeat {
                    node: from,
                    machines,
                    covers_until: covers,
                    first_of_incarnation: anew,
                });
                let lease_ms = (self.leadership.shard_lease(now) / 1_000) as u32;
                self.send(from, Payload::ShardHeartbeatAck { id, lease_ms });
            }
            Payload::RelayedResponse { id, token, cacheable: keep, task_commands } => {
                let Some(RelayedHeartbeat { to, heartbeat, .. }) = self.relayed_heartbeats.remove(&id) else {
                    return self.frames_ignored.note(from, IgnoredFrame::Unasked);
                };
                let reply = match token {
                    Some(token) => {
                        let task_commands =
                            self.leadership.cancellations.with_stop_commands(task_commands, &heartbeat);
                        self.shard.record_relayed_response(now, heartbeat, token, keep);
                        self.accept_heartbeat(token, LeaseRenewal::relayed(), &task_commands)
                    }
                    None => self.redirect_heartbeat(None),
                };
                let _ = to.send(reply);
            }
            Payload::WakeRequest(machines) => self.shard.request_wake(&machines),
            Payload::ShardHeartbeatAck { id, lease_ms } => {
                let lease = (u64::from(lease_ms) * 1_000).min(self.config.shard_lease);
                if !self.shard.acknowledge(id, lease) {
                    self.frames_ignored.note(from, IgnoredFrame::Unasked);
                }
            }
            Payload::ShardHeartbeat { .. } => self.frames_ignored.note(from, IgnoredFrame::Stale),
            _ => {}
        }
    }

    /// What a leaseholder does as time passes: tells the leader whom it answered, and gives up waiting for it.
    pub(super) fn maintain_shard(&mut self, now: u64) {
        let followed = self.leadership.followed_leader(now);
        if let Some(FollowedLeader { node: leader, token, heartbeat_stamp: stamp, .. }) = followed {
            self.shard.follow(token);
            if let Some(ShardHeartbeat { id, complete: whole, first_of_incarnation: fresh, machines }) =
                self.shard.next_heartbeat(now)
            {
                self.send(
                    leader,
                    Payload::ShardHeartbeat {
                        id,
                        stamp,
                        complete: whole,
                        first_of_incarnation: fresh,
                        machines,
                    },
                );
            }
        }
        while let Some(entry) = self.relayed_heartbeats.first_entry() {
            if now < entry.get().sent + limits::RELAY_TIMEOUT {
                return;
            }
            let RelayedHeartbeat { to, heartbeat, .. } = entry.remove();
            let reply = self.respond_as_leaseholder(now, &heartbeat, false);
            let reply = reply.unwrap_or_else(|| self.redirect_heartbeat(None));
            let _ = to.send(reply);
        }
    }

    /// An answer that renews a worker's lease.
    fn accept_heartbeat<'a>(
        &mut self,
        token: u64,
        renewal: LeaseRenewal,
        task_commands: impl IntoIterator<Item = &'a TaskCommand>,
    ) -> HeartbeatReply {
        self.renewal_counts.count(&renewal);
        HeartbeatReply::Accepted(HeartbeatResponse::new(token, renewal, task_commands))
    }

    /// No answer here: the worker is to ask another node.
    fn redirect_heartbeat(&mut self, leader: Option<String>) -> HeartbeatReply {
        self.renewal_counts.count_refused();
        HeartbeatReply::Redirected(leader)
    }

    /// The answer of this node as a leaseholder, if it may answer by itself.
    pub(super) fn respond_as_leaseholder(
        &mut self,
        now: u64,
        heartbeat: &Heartbeat,
        leader_heard: bool,
    ) -> Option<HeartbeatReply> {
        let stops = self.keep_alive_stops(now, heartbeat)?;
        match self.shard.respond(now, heartbeat, leader_heard) {
            ShardResponse::Renewed(token, renewal) => {
                log_lease_renewal(heartbeat, &renewal, token);
                Some(self.accept_heartbeat(token, renewal, &stops))
            }
            ShardResponse::Duplicate => Some(self.redirect_heartbeat(None)),
            ShardResponse::NotResponsible => None,
        }
    }

    /// A heartbeat at a node that does not lead: answered by itself, passed on, or sent elsewhere.
    pub(super) fn relay_or_redirect(
        &mut self,
        now: u64,
        heartbeat: Heartbeat,
        to: oneshot::Sender<HeartbeatReply>,
    ) {
        let followed = self.leadership.followed_leader(now);
        if let Some(leader) = followed {
            self.shard.follow(leader.token);
        }
        if let Some(reply) = self.respond_as_leaseholder(now, &heartbeat, followed.is_some()) {
            let _ = to.send(reply);
            return;
        }
        if let Some(FollowedLeader { node: leader, token, heartbeat_stamp: stamp, .. }) = followed {
            if heartbeat.token <= token && peer::fits_frame(&heartbeat) {
                let id = self.request_ids.take();
                if self.send(leader, Payload::RelayedHeartbeat { id, stamp, heartbeat: heartbeat.clone() }) {
                    self.relayed_heartbeats.insert(id, RelayedHeartbeat { to, heartbeat, sent: now });
                    return;
                }
            }
        }
        // A node that has forgotten everything learns the last token from the workers.
        let actions = self.leadership.observe_token(heartbeat.token, now);
        self.apply_actions(actions);
        let leader = self.leadership.leader_name(now).map(str::to_string);
        debug!(machine = heartbeat.machine, leader, "heartbeat redirected");
        let _ = to.send(self.redirect_heartbeat(leader));
    }

    pub(super) fn route_heartbeat(
        &mut self,
        now: u64,
        heartbeat_request: HeartbeatRequest,
        to: oneshot::Sender<HeartbeatReply>,
        commands: &mut Vec<Command>,
    ) {
        self.recent_heartbeats.push_back(now);
        let heartbeat = match Heartbeat::try_from(heartbeat_request) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                warn!(%error, "heartbeat dropped");
                let _ = to.send(HeartbeatReply::Malformed);
                return;
            }
        };
        let leads = self.leadership.authority(now).filter(|_| self.scheduler.is_some());
        // Before the jobs are loaded a leader knows no more than a node in keep-alive mode: the worker's lease runs on, and
        // there is nobody to say what it should do but stop what is cancelled.
        let loaded = self.scheduler.as_ref().is_some_and(|scheduler| scheduler.loaded);
        let unloaded = leads.filter(|_| !loaded).map(|token| (token, LeaseRenewal::before_load()));
        let keeper = || Some((self.leadership.keep_alive_token(now)?, LeaseRenewal::by_keep_alive()));
        if let Some((token, renewal)) = unloaded.or_else(keeper) {
            let reply = match self.keep_alive_stops(now, &heartbeat) {
                Some(stops) => {
                    log_lease_renewal(&heartbeat, &renewal, token);
                    self.accept_heartbeat(token, renewal, &stops)
                }
                None => self.redirect_heartbeat(None),
            };
            // The worker may have given up meanwhile.
            let _ = to.send(reply);
            return;
        }
        if leads.is_none() {
            return self.relay_or_redirect(now, heartbeat, to);
        }
        let reply = self.request_ids.take();
        let stops = self.leadership.cancellations.with_stop_commands(Vec::new(), &heartbeat);
        self.pending_replies.insert(reply, ReplyTo::Worker(to, stops));
        commands.push(Command::Heartbeat { reply, heartbeat, via: None });
    }

    /// Gives the leader's answer to a heartbeat.
    pub(super) fn respond(
        &mut self,
        reply: u64,
        renewal: Option<LeaseRenewal>,
        task_commands: Vec<TaskCommand>,
        keep: bool,
    ) {
        let Some(to) = self.pending_replies.remove(&reply) else { return };
        // Checked again at the last moment: the round may have taken long.
        let now = self.clock.now();
        let known = now < self.leadership.cancellations.keep_alive_until();
        let entitled = self.leadership.authority(now).filter(|_| known).zip(renewal);
        let (to, stops) = match to {
            ReplyTo::Worker(to, stops) => (to, stops),
            ReplyTo::Leaseholder(node, id) => {
                let token = entitled.map(|(token, _)| token);
                self.send(node, Payload::RelayedResponse { id, token, cacheable: keep, task_commands });
                return;
            }
        };
        let missing = stops.iter().filter(|stop| !task_commands.contains(stop));
        let reply = match entitled {
            Some((token, renewal)) => {
                self.accept_heartbeat(token, renewal, task_commands.iter().chain(missing))
            }
            None => self.redirect_heartbeat(None),
        };
        let _ = to.send(reply);
    }
}
