//! The other controllers: the grants and votes that they gave this node, when they were last in contact, and
//! their last reported status.
//!
//! Owned by [`super::Leadership`]. Nodes are numbered in the order of the settings.

use super::Status;
use crate::limits::{self, minus_clock_drift};
use crate::time::Timestamp;
use std::time::Duration;

/// All nodes of the cluster by number. The local node's own entry is unused.
#[derive(Debug)]
pub(super) struct Peers {
    local_node: usize,
    names: Vec<String>,
    peers: Vec<Peer>,
}

/// One other controller.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Peer {
    /// When its grant to this node expires; zero: none.
    grant_until: Timestamp,
    /// When its vote for this node expires; zero: none.
    vote_until: Timestamp,
    /// When its last message arrived; zero: never.
    last_message_at: Timestamp,
    /// When its last heartbeat arrived; zero: never.
    last_heartbeat_at: Timestamp,
    status: Status,
}

impl Peer {
    /// Whether it is in contact: a message arrived from it within `limits::PEER_TIMEOUT`.
    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now < self.last_message_at + limits::PEER_TIMEOUT && self.last_message_at > Timestamp::ZERO
    }

    /// Whether it is in contact, and the key-value store answered it less than `age` before its last message.
    pub(super) fn reaches_store_within(&self, now: Timestamp, age: Duration) -> bool {
        self.is_alive(now) && self.status.store_answer_age < age
    }

    /// When its last heartbeat arrived; zero: never.
    pub(super) fn last_heartbeat_at(&self) -> Timestamp {
        self.last_heartbeat_at
    }

    /// Its last reported status.
    pub(super) fn status(&self) -> &Status {
        &self.status
    }
}

impl Peers {
    pub(super) fn new(names: Vec<String>, local_node: usize) -> Self {
        Peers { local_node, peers: vec![Peer::default(); names.len()], names }
    }

    pub(super) fn local_node(&self) -> usize {
        self.local_node
    }

    pub(super) fn local_name(&self) -> &str {
        &self.names[self.local_node]
    }

    pub(super) fn name(&self, node: usize) -> &str {
        &self.names[node]
    }

    pub(super) fn get(&self, node: usize) -> &Peer {
        &self.peers[node]
    }

    /// Whether `node` is the number of another node of the cluster.
    pub(super) fn is_peer(&self, node: usize) -> bool {
        node < self.names.len() && node != self.local_node
    }

    /// The numbers of all other nodes.
    pub(super) fn others(&self) -> impl Iterator<Item = usize> {
        let local_node = self.local_node;
        (0..self.names.len()).filter(move |node| *node != local_node)
    }

    /// The first other node in contact.
    pub(super) fn first_alive(&self, now: Timestamp) -> Option<usize> {
        self.others().find(|node| self.peers[*node].is_alive(now))
    }

    /// Whether this is the only node of the cluster.
    pub(super) fn is_empty(&self) -> bool {
        self.names.len() == 1
    }

    /// The other node in contact to which most workers send heartbeats. None: no worker sends any to a node
    /// in contact.
    pub(super) fn reached_by_most_workers(&self, now: Timestamp) -> Option<usize> {
        self.others()
            .filter(|node| self.peers[*node].is_alive(now) && self.peers[*node].status.worker_heartbeats > 0)
            .max_by_key(|node| self.peers[*node].status.worker_heartbeats)
    }

    /// The first other node in contact that reported an answer of the key-value store less than `age` old.
    pub(super) fn first_reaching_store(&self, now: Timestamp, age: Duration) -> Option<usize> {
        self.others().find(|node| self.peers[*node].reaches_store_within(now, age))
    }

    /// The other nodes without a running grant to this node.
    pub(super) fn without_grant(&self, now: Timestamp) -> impl Iterator<Item = usize> + '_ {
        self.others().filter(move |node| self.peers[*node].grant_until <= now)
    }

    /// Records the arrival of a message from a node, with its status.
    pub(super) fn observe_message(&mut self, now: Timestamp, from: usize, status: Status) {
        self.peers[from].last_message_at = now;
        self.peers[from].status = status;
    }

    /// Records the arrival of a heartbeat from a node.
    pub(super) fn observe_heartbeat(&mut self, now: Timestamp, from: usize) {
        self.peers[from].last_heartbeat_at = now;
    }

    /// Records a grant from a node. It counts from when the heartbeat that it answers was sent.
    pub(super) fn record_grant(&mut self, from: usize, heartbeat_sent: Timestamp) {
        let until = heartbeat_sent + minus_clock_drift(limits::GRANT_DURATION);
        self.peers[from].grant_until = self.peers[from].grant_until.max(until);
    }

    /// Records a vote from a node. It counts from when the request that it answers was sent.
    pub(super) fn record_vote(&mut self, from: usize, request_sent: Timestamp) {
        let until = request_sent + minus_clock_drift(limits::GRANT_DURATION);
        self.peers[from].vote_until = self.peers[from].vote_until.max(until);
    }

    pub(super) fn clear_grants(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.grant_until = Timestamp::ZERO);
    }

    pub(super) fn clear_grants_and_votes(&mut self) {
        self.peers
            .iter_mut()
            .for_each(|peer| (peer.grant_until, peer.vote_until) = (Timestamp::ZERO, Timestamp::ZERO));
    }

    /// Until when a majority grants this node leadership. `counts_itself`: the node is part of the majority
    /// itself.
    pub(super) fn granted_until(&self, counts_itself: bool) -> Timestamp {
        self.majority_until(counts_itself, |peer| peer.grant_until)
    }

    /// Until when a majority votes for this node. `counts_itself`: the node is part of the majority itself.
    pub(super) fn voted_until(&self, counts_itself: bool) -> Timestamp {
        self.majority_until(counts_itself, |peer| peer.vote_until)
    }

    fn majority_until(&self, counts_itself: bool, deadline: impl Fn(&Peer) -> Timestamp) -> Timestamp {
        let majority = self.names.len() / 2 + 1;
        let needed = majority - usize::from(counts_itself);
        if needed == 0 {
            return Timestamp::MAX;
        }
        let mut deadlines: Vec<Timestamp> = self.others().map(|node| deadline(&self.peers[node])).collect();
        deadlines.sort_unstable_by(|a, b| b.cmp(a));
        deadlines.get(needed - 1).copied().unwrap_or_default()
    }
}
