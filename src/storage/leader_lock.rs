//! The two operations of a leader election in the state service: reading the lock and the epoch, and the takeover.
//! Called by `controller` as leadership decides.

use crate::limits;
use crate::protocol::records::Epoch;
use crate::protocol::state_service::Change;
use crate::storage::key_value_store::{
    compare_version, CommitOutcome, KeyValueStore, StoreError, VersionedValue,
};
use crate::storage::keys;
use crate::time::Timestamp;
use thiserror::Error;

/// The epoch of the last leader, as it is stored.
#[derive(Debug, PartialEq)]
pub struct StoredEpoch {
    /// Its value.
    pub epoch: Epoch,
    /// The version of its key.
    pub version: u64,
}

/// What a candidate reads before a takeover.
#[derive(Debug, PartialEq)]
pub struct LockState {
    /// `None`: no leader has ever been elected.
    pub epoch: Option<StoredEpoch>,
    /// Whether the leader's lock existed. It was read before the epoch.
    pub locked: bool,
}

/// Whether a takeover needs the lock to be free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LockCondition {
    /// The transaction fails while the lock exists.
    Absent,
    /// The lock may exist: the takeover has another proof that its holder no longer acts.
    Ignored,
}

/// A takeover that was committed.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    /// The lease that the lock hangs on.
    pub lease: u64,
    /// The version of the new epoch.
    pub version: u64,
    /// When the lease was requested: it runs from then at the earliest.
    pub requested_at: Timestamp,
}

/// A takeover that was not committed, or is not known to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("takeover not committed")]
pub struct TakeoverError {
    /// The lease that was created for it and is to be revoked.
    pub lease: Option<u64>,
}

impl KeyValueStore {
    /// Reads the lock and the epoch of the last leader.
    ///
    /// # Errors
    /// As [`KeyValueStore::get`], for either key.
    pub async fn read_lock_state(&self) -> Result<LockState, StoreError> {
        // The lock first: an epoch read after an absent lock is at least as new as its end.
        let locked = self.get(keys::LEADER_LOCK, limits::STORE_TIMEOUT).await?.is_some();
        let Some(VersionedValue { value, version }) =
            self.get(keys::LEADER_EPOCH, limits::STORE_TIMEOUT).await?
        else {
            return Ok(LockState { epoch: None, locked });
        };
        let epoch =
            serde_json::from_value(value).map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(LockState { epoch: Some(StoredEpoch { epoch, version }), locked })
    }

    /// Writes a new epoch over the one at `version`, and the lock under a new lease, in one transaction.
    ///
    /// # Errors
    /// Not committed, or not known to be. The error carries the lease that is to be revoked, if there is one.
    pub async fn take_over(
        &self,
        epoch: &Epoch,
        version: u64,
        lock_condition: LockCondition,
    ) -> Result<Takeover, TakeoverError> {
        let requested_at = self.now();
        let lease = self.create_lease(limits::LOCK_LEASE).await.map_err(|_| TakeoverError { lease: None })?;
        let failed = TakeoverError { lease: Some(lease) };
        let mut conditions = vec![compare_version(keys::LEADER_EPOCH, version)];
        match lock_condition {
            LockCondition::Absent => conditions.push(compare_version(keys::LEADER_LOCK, 0)),
            LockCondition::Ignored => {}
        }
        let value = serde_json::to_value(epoch).map_err(|_| failed)?;
        let changes = vec![
            Change::Write { key: keys::LEADER_EPOCH.into(), value: value.clone(), lease: None },
            Change::Write { key: keys::LEADER_LOCK.into(), value, lease: Some(lease) },
        ];
        match self.commit(conditions, changes).await {
            CommitOutcome::Committed { version } => Ok(Takeover { lease, version, requested_at }),
            CommitOutcome::Conflict | CommitOutcome::Refused | CommitOutcome::Unknown => Err(failed),
        }
    }
}
