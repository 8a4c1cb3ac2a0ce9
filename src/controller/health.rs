//! What this node publishes about itself: health for the load balancer, its status for peers, the summary of jobs for
//! its own API, and the overview for operators.

use super::peer_links::PeerLinks;
use super::Controller;
use crate::fencing_token::FencingToken;
use crate::fleet_limits::LimitWarnings;
use crate::leadership::Status;
use crate::limits;
use crate::node_events::{Health, NodeView, Summary};
use crate::peer::Payload;
use crate::scheduler::model::JobSummary;
use crate::scheduler::overview::PageStart;
use crate::scheduler::Scheduler;
use crate::settings::Deployment;
use crate::time::Timestamp;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tracing::info;

/// Time between two summaries of the leader.
const SUMMARY_INTERVAL: Duration = limits::SECOND;
/// Time between two `usage` lines of the leader.
const FLEET_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the controller publishes, and when next.
pub(super) struct Publication {
    /// Read by this node's API.
    summary: watch::Sender<Summary>,
    /// Read by this node's API.
    health: Arc<Health>,
    next_summary_at: Timestamp,
    next_fleet_log_at: Timestamp,
    limit_warnings: LimitWarnings,
}

impl Publication {
    pub(super) fn new(summary: watch::Sender<Summary>, health: Arc<Health>) -> Self {
        Publication {
            summary,
            health,
            next_summary_at: Timestamp::ZERO,
            next_fleet_log_at: Timestamp::ZERO,
            limit_warnings: LimitWarnings::default(),
        }
    }

    /// Publishes the counts of a peer that leads.
    pub(super) fn replace_summary(&self, jobs: Vec<JobSummary>) {
        let counts = jobs.into_iter().map(|job| (job.job_id, job.counts));
        self.summary.send_replace(Arc::new(counts.collect()));
    }

    /// Publishes the leader's counts here and to all peers, if they are due.
    pub(super) fn publish_summary(&mut self, now: Timestamp, scheduler: &Scheduler, peers: &PeerLinks) {
        if now < self.next_summary_at {
            return;
        }
        self.next_summary_at = now + SUMMARY_INTERVAL;
        let mut jobs = scheduler.summary();
        self.replace_summary(jobs.clone());
        // A job that is not named counts as without a task; a frame holds some four thousand.
        jobs.retain(|job| job.counts.succeeded + job.counts.running > 0);
        peers.broadcast(&Payload::Summary(jobs));
    }

    /// Logs the use of the fleet, and limits that are small for it, if that is due.
    pub(super) fn log_usage(
        &mut self,
        now: Timestamp,
        token: FencingToken,
        scheduler: &Scheduler,
        deployment: &Deployment,
    ) {
        if now < self.next_fleet_log_at {
            return;
        }
        self.next_fleet_log_at = now + FLEET_LOG_INTERVAL;
        info!(%token, "{}", scheduler.usage_line());
        self.limit_warnings.warn_of_new(scheduler.machines.len(), deployment);
    }
}

impl Controller {
    /// What this node reports to its peers. Forgets heartbeats that are older than the window.
    pub(super) fn status(&mut self, now: Timestamp) -> Status {
        let window = limits::reach_window(self.config.workers.report_s);
        let recent = &mut self.routing.recent_heartbeats;
        while recent.front().is_some_and(|at| *at + window < now) {
            recent.pop_front();
        }
        Status {
            store_answer_age: now.since(self.clients.store.last_response_at()),
            worker_heartbeats: recent.len() as u32,
            ready_machines: self.scheduler.as_ref().map_or(0, Scheduler::ready_machine_count),
            gives_attestations: true,
        }
    }

    /// Judges whether users are served better here than elsewhere.
    pub(super) fn update_health(&mut self, now: Timestamp) {
        let store_lost = now.since(self.clients.store.last_response_at()) >= limits::STORE_LOST_TIMEOUT;
        // In an outage of the state service for all nodes, no other node serves users better. A node that
        // receives nothing from any peer is more likely the only one that is cut off.
        let outage_shared =
            self.leadership.has_peer_in_contact(now) && !self.leadership.peer_reaches_store(now);
        let health = &self.publication.health;
        let epoch_version = self.leadership.known_epoch_version().unwrap_or_default();
        health.epoch_version.store(epoch_version, Ordering::Relaxed);
        health.cut_off.store(store_lost && !outage_shared, Ordering::Relaxed);
        let healthy = !self.types.is_empty() && (!store_lost || outage_shared);
        if health.healthy.swap(healthy, Ordering::Relaxed) != healthy {
            info!(healthy, "health");
        }
    }

    /// The overview for operators.
    pub(super) fn view(&self, now: Timestamp, start: &PageStart) -> NodeView {
        let node = self.settings.node_name.clone();
        let leader = match self.leadership.is_leader() {
            true => Some(node.clone()),
            false => self.leadership.leader_name(now).map(str::to_string),
        };
        NodeView {
            node,
            leader,
            token: self.config.token,
            renewals: self.routing.renewal_counts,
            frames_ignored: self.peers.ignored_counts(),
            scheduler: self.scheduler.as_ref().map(|scheduler| scheduler.overview(start)),
        }
    }
}
