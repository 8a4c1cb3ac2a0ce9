//! Final states that this node has read or written. A final state never changes, so that a cached one is never stale.

use crate::protocol::users::JobState;
use crate::scheduler::model::JobId;
use std::collections::{HashMap, VecDeque};

/// A bounded cache of final states: when it is full, the entry that was added first is removed.
pub(super) struct FinalStateCache {
    states: HashMap<JobId, JobState>,
    insertion_order: VecDeque<JobId>,
    capacity: usize,
}

impl FinalStateCache {
    /// An empty cache for `capacity` states.
    pub(super) fn new(capacity: usize) -> Self {
        FinalStateCache { states: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// The job's final state, if it is cached.
    pub(super) fn get(&self, job_id: JobId) -> Option<JobState> {
        self.states.get(&job_id).cloned()
    }

    /// Adds a final state; one that is cached already keeps its place in the order.
    pub(super) fn insert(&mut self, job_id: JobId, state: &JobState) {
        if self.states.insert(job_id, state.clone()).is_some() {
            return;
        }
        self.insertion_order.push_back(job_id);
        if self.insertion_order.len() > self.capacity {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.states.remove(&oldest);
            }
        }
    }
}
