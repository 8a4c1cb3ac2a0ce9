//! An in-memory substitute for the key-value store with what leadership uses: epoch, lock, leases and live
//! jobs.

use super::NODE_NAMES;
use crate::fencing_token::FencingToken;
use crate::leadership::{Action, StoreResponse};
use crate::limits;
use crate::protocol::records::Epoch;
use crate::scheduler::model::JobId;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LOCK_LEASE: Duration = limits::LOCK_LEASE;

#[derive(Default)]
pub(super) struct KeyValueStore {
    revision: u64,
    /// The epoch and the revision that wrote it.
    pub(super) epoch: Option<(Epoch, u64)>,
    /// Id of the lease that the lock is attached to.
    lock: Option<u64>,
    /// By lease id, the time at which the lease expires.
    leases: BTreeMap<u64, Timestamp>,
    last_lease: u64,
    pub(super) live_jobs: BTreeSet<JobId>,
    pub(super) last_job: u64,
}

/// The sender and the send time of a request.
pub(super) struct Request {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    /// Send time on the node's clock.
    pub(super) sent: Timestamp,
}

impl KeyValueStore {
    pub(super) fn new() -> Self {
        KeyValueStore { revision: 1, ..KeyValueStore::default() }
    }

    /// Carries out a request of a node.
    pub(super) fn apply(&mut self, now: Timestamp, action: Action, request: Request) -> StoreResponse {
        self.expire_leases(now);
        match action {
            Action::Probe => StoreResponse::Probed {
                sent: request.sent,
                epoch: self.epoch.clone(),
                locked: self.lock.is_some(),
            },
            Action::TakeOver { token, version, ignore_lock } => {
                let current_version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
                if current_version != version || !ignore_lock && self.lock.is_some() {
                    return StoreResponse::TakeoverFailed { lease: None };
                }
                self.take_over(now, token, request)
            }
            Action::Renew { lease } => {
                let alive = self.leases.contains_key(&lease);
                if alive {
                    self.leases.insert(lease, now + LOCK_LEASE);
                }
                StoreResponse::Renewed { lease, sent: request.sent, alive }
            }
            Action::RevokeLease { lease } => {
                self.leases.remove(&lease);
                // A revocation has no response of its own. `Failed` only ends a probe that is under way.
                StoreResponse::Failed
            }
            Action::Send(..) | Action::Attest(..) | Action::Elected { .. } | Action::Deposed { .. } => {
                unreachable!("not a request to the store: {action:?}")
            }
        }
    }

    fn take_over(&mut self, now: Timestamp, token: FencingToken, request: Request) -> StoreResponse {
        self.revision += 1;
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, now + LOCK_LEASE);
        self.lock = Some(lease);
        let epoch = Epoch { token, node: NODE_NAMES[request.node].into(), incarnation: request.incarnation };
        self.epoch = Some((epoch, self.revision));
        StoreResponse::TakeoverCommitted { lease, version: self.revision, lease_sent: request.sent }
    }

    fn expire_leases(&mut self, now: Timestamp) {
        self.leases.retain(|_, until| *until > now);
        if self.lock.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            self.lock = None;
        }
    }
}
