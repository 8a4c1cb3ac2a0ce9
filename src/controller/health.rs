//! What this node tells of itself: to the load balancer, to its peers and to operators.

use super::Controller;
use crate::leadership::Status;
use crate::limits;
use crate::node_events::NodeView;
use crate::scheduler::overview::PageStart;
use crate::scheduler::Scheduler;
use std::sync::atomic::Ordering;
use tracing::info;

impl Controller {
    pub(super) fn status(&mut self, now: u64) -> Status {
        let window = limits::reach_window(self.config.workers.report_s);
        while self.recent_heartbeats.front().is_some_and(|at| at + window < now) {
            self.recent_heartbeats.pop_front();
        }
        Status {
            state_age: now.saturating_sub(self.store.last_response_at()),
            workers: self.recent_heartbeats.len() as u32,
            machines: self.scheduler.as_ref().map_or(0, Scheduler::machines_up),
            attests: true,
        }
    }

    pub(super) fn judge_health(&mut self, now: u64) {
        let lost = now.saturating_sub(self.store.last_response_at()) >= limits::STORE_LOST_TIMEOUT;
        // In an outage that everybody shares nobody serves users better than we do. A node that hears no
        // peer either is more likely alone in it.
        let shared = self.leadership.has_live_peer(now) && !self.leadership.peer_has_state(now);
        self.health.cut_off.store(lost && !shared, Ordering::Relaxed);
        let healthy = !self.types.is_empty() && (!lost || shared);
        if self.health.healthy.swap(healthy, Ordering::Relaxed) != healthy {
            info!(healthy, "health");
        }
    }

    /// What operators see of this node.
    pub(super) fn view(&self, now: u64, start: &PageStart) -> NodeView {
        let node = self.settings.node_name.clone();
        let leader = match self.leadership.is_leader() {
            true => Some(node.clone()),
            false => self.leadership.leader_name(now).map(str::to_string),
        };
        let scheduler = self.scheduler.as_ref().map(|scheduler| scheduler.overview(start));
        NodeView {
            node,
            leader,
            token: self.config.token,
            renewals: self.renewal_counts,
            frames_ignored: self.frames_ignored.counts(),
            scheduler,
        }
    }
}
