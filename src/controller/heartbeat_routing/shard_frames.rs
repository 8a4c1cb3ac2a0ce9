//! Frames between the leader and leaseholders, one function for each payload.

use super::super::ignored_frames::IgnoredFrame;
use super::super::Controller;
use super::{is_recent_stamp, reply_to_worker, RelayedHeartbeat, ReplyTo};
use crate::fencing_token::FencingToken;
use crate::lease::renewal::LeaseRenewal;
use crate::lease::shard::ShardHeartbeat;
use crate::peer::Payload;
use crate::scheduler::model::Heartbeat;
use crate::scheduler::{Command, TaskCommand};
use crate::time::{to_millis, Timestamp};
use std::time::Duration;

impl Controller {
    /// As the leader: a leaseholder relays a heartbeat.
    pub(in crate::controller) fn handle_relayed_heartbeat(
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
    pub(in crate::controller) fn handle_shard_heartbeat(
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
    pub(in crate::controller) fn handle_relayed_response(
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
    pub(in crate::controller) fn handle_shard_heartbeat_ack(&mut self, from: usize, id: u64, lease_ms: u32) {
        let lease = Duration::from_millis(u64::from(lease_ms)).min(self.config.shard_lease);
        if !self.routing.shard.acknowledge(id, lease) {
            self.peers.count_ignored(from, IgnoredFrame::Unsolicited);
        }
    }

    /// As a leaseholder: sends the shard heartbeat that is due, and answers relayed heartbeats that timed out.
    pub(in crate::controller) fn maintain_shard(&mut self, now: Timestamp) {
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
