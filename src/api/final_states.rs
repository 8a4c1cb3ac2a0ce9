//! Final states that this node has read or written. They never change, so that they may be told from memory.

use crate::protocol::users::JobState;
use crate::scheduler::model::JobId;
use std::collections::{HashMap, VecDeque};

/// A bounded cache of final states; the oldest entry goes first.
pub(super) struct FinalStateCache {
    states: HashMap<JobId, JobState>,
    insertion_order: VecDeque<JobId>,
    capacity: usize,
}

impl FinalStateCache {
    /// An empty cache for so many states.
    pub(super) fn new(capacity: usize) -> Self {
        FinalStateCache { states: HashMap::new(), insertion_order: VecDeque::new(), capacity }
    }

    /// The final state of the job, if it is known here.
    pub(super) fn get(&self, job_id: JobId) -> Option<JobState> {
        self.states.get(&job_id).cloned()
    }

    /// Remembers a final state.
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
