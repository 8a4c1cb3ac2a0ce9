//! A stand-in for the state service, as far as leadership uses it: epoch, lock, leases and live jobs.

use dockpier::fencing_token::FencingToken;
use dockpier::leadership::{Action, StoreResponse};
use dockpier::protocol::records::Epoch;
use dockpier::scheduler::model::JobId;
use dockpier::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// How long a lease of the lock runs without renewal.
const LOCK_LEASE: u64 = 3 * crate::SECOND;

/// Who asks, and when the request left on its clock.
pub struct Request {
    /// The node's name.
    pub name: &'static str,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// When the request left.
    pub sent: Timestamp,
}

/// The store.
#[derive(Default)]
pub struct KeyValueStore {
    revision: u64,
    epoch: Option<(Epoch, u64)>,
    /// The lease that the lock hangs on.
    lock: Option<u64>,
    leases: BTreeMap<u64, u64>,
    next_lease: u64,
    /// The newest job.
    pub last_job: u64,
    /// Live jobs.
    pub live: BTreeSet<JobId>,
}

impl KeyValueStore {
    /// Carries out what a node asks for.
    pub fn carry_out(&mut self, now: u64, action: Action, request: Request) -> StoreResponse {
        self.expire(now);
        match action {
            Action::Probe => StoreResponse::Probed {
                sent: request.sent,
                epoch: self.epoch.clone(),
                locked: self.lock.is_some(),
            },
            Action::TakeOver { token, version, ignore_lock: over_lock } => {
                self.take_over(now, (token, version, over_lock), request)
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
                StoreResponse::Failed
            }
            _ => StoreResponse::Failed,
        }
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, until| *until > now);
        self.lock = self.lock.filter(|lease| self.leases.contains_key(lease));
    }

    fn take_over(
        &mut self,
        now: u64,
        (token, version, over_lock): (FencingToken, u64, bool),
        request: Request,
    ) -> StoreResponse {
        let at = self.epoch.as_ref().map_or(0, |(_, revision)| *revision);
        if at != version || !over_lock && self.lock.is_some() {
            return StoreResponse::TakeoverFailed { lease: None };
        }
        self.revision += 1;
        self.next_lease += 1;
        let lease = self.next_lease;
        self.leases.insert(lease, now + LOCK_LEASE);
        self.lock = Some(lease);
        let epoch = Epoch { token, node: request.name.into(), incarnation: request.incarnation };
        self.epoch = Some((epoch, self.revision));
        StoreResponse::TakeoverCommitted { lease, version: self.revision, lease_sent: request.sent }
    }

    /// A user submits a job.
    pub fn add_job(&mut self) -> JobId {
        self.last_job += 1;
        self.live.insert(JobId(self.last_job));
        JobId(self.last_job)
    }
}
