//! The owner of a controller's state: one queue of events, taken in batches, into leadership and scheduler; their effects
//! out. Each module beside this one carries out one kind of work for it.

mod cloud_driver;
mod cold_start;
mod drain_records;
mod effects;
mod finished_tasks;
mod health;
mod heartbeat_routing;
mod ignored_frames;
mod job_watch;
mod leadership_actions;
mod startup;

pub use startup::{run, ServeError};

use crate::cloud::Cloud;
use crate::fleet_limits::LimitWarnings;
use crate::http::{wall_ms, Clock, Http};
use crate::leadership::Leadership;
use crate::lease::renewal::RenewalCounts;
use crate::lease::shard::Shard;
use crate::limits;
use crate::node_events::{Event, Health, HeartbeatReply, LiveJobsUpdate, Summary, Types};
use crate::peer::{Payload, Received, RequestIds};
use crate::protocol::workers::HeartbeatRequest;
use crate::scheduler::model::JobId;
use crate::scheduler::{Command, Config, Scheduler};
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::record_versions::RecordVersions;
use cloud_driver::CloudRequest;
use heartbeat_routing::{RelayedHeartbeat, ReplyTo};
use ignored_frames::FramesIgnored;
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::JoinHandle;
use tracing::info;

/// The one owner of this process's state.
pub(crate) struct Controller {
    config: Config,
    settings: Settings,
    clock: Clock,
    /// For commands to workers' addresses.
    worker_client: Http,
    direct_command_permits: Arc<Semaphore>,
    store: KeyValueStore,
    cloud: Cloud,
    events: mpsc::Sender<Event>,
    leadership: Leadership,
    incarnation: u64,
    peer_queues: Vec<Option<mpsc::Sender<Payload>>>,
    scheduler: Option<Scheduler>,
    /// Version of the epoch that every transaction of this leader rests on.
    epoch_version: u64,
    record_versions: RecordVersions,
    pending_replies: BTreeMap<u64, ReplyTo>,
    request_ids: RequestIds,
    frames_ignored: FramesIgnored,
    renewal_counts: RenewalCounts,
    /// The workers that heartbeat here while another node leads.
    shard: Shard,
    relayed_heartbeats: BTreeMap<u64, RelayedHeartbeat>,
    /// Tasks that only run while this node leads.
    leadership_tasks: Vec<JoinHandle<()>>,
    cloud_requests: Option<mpsc::UnboundedSender<CloudRequest>>,
    summary: watch::Sender<Summary>,
    health: Arc<Health>,
    types: Types,
    /// When workers sent a heartbeat lately.
    recent_heartbeats: VecDeque<u64>,
    /// Until when rentals, deletions and orders may leave.
    authority_until: Arc<AtomicU64>,
    next_summary_at: u64,
    next_usage_log_at: u64,
    limit_warnings: LimitWarnings,
    /// Cancellations that members must hold before they are told.
    pending_confirmations: Vec<(JobId, oneshot::Sender<bool>)>,
}

/// A heartbeat and where its answer goes.
type WaitingHeartbeat = (HeartbeatRequest, oneshot::Sender<HeartbeatReply>);

/// What a batch of events asks for beyond what leadership carried out at once.
#[derive(Default)]
struct Batch {
    /// For the scheduler, in order.
    commands: Vec<Command>,
    /// Answered once leadership has taken in the whole batch.
    heartbeats: Vec<WaitingHeartbeat>,
}

impl Controller {
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut batch = Vec::with_capacity(limits::MAX_EVENT_BATCH);
        loop {
            let wait = Duration::from_millis(100);
            // A timeout is a tick without news.
            let _ = tokio::time::timeout(wait, queue.recv_many(&mut batch, limits::MAX_EVENT_BATCH)).await;
            self.process_batch(std::mem::take(&mut batch));
        }
    }

    /// Takes a batch of events and does what is due.
    fn process_batch(&mut self, events: Vec<Event>) {
        let now = self.clock.now();
        let mut batch = Batch::default();
        for event in events {
            self.handle_event(now, event, &mut batch);
        }
        let status = self.status(now);
        let actions = self.leadership.tick(now, status);
        self.apply_actions(actions);
        self.authority_until.store(self.leadership.authority_until(now), Ordering::Relaxed);
        self.judge_health(now);
        self.answer_pending_confirmations(now);
        let Batch { mut commands, heartbeats } = batch;
        for (heartbeat_request, to) in heartbeats {
            self.route_heartbeat(now, heartbeat_request, to, &mut commands);
        }
        self.run_scheduler(now, commands);
        self.maintain_shard(now);
    }

    fn handle_event(&mut self, now: u64, event: Event, batch: &mut Batch) {
        match event {
            Event::Heartbeat(heartbeat_request, to) => batch.heartbeats.push((heartbeat_request, to)),
            Event::Overview(start, to) => {
                let _ = to.send(self.view(now, &start));
            }
            Event::Peer(received) => self.handle_frame(now, received, batch),
            Event::LiveJobs(reading) => {
                let LiveJobsUpdate { requested_at: sent, complete: whole, added, removed } = reading;
                let over = self.leadership.cancellations.apply_live_jobs(now, sent, whole, &added, &removed);
                batch.commands.extend(over.into_iter().map(Command::JobRemoved));
            }
            Event::Cancelled(job_id, to) => {
                let outcome = self.leadership.confirm_cancellation(now, job_id);
                self.apply_actions(outcome.actions);
                if outcome.is_new {
                    batch.commands.push(Command::JobRemoved(job_id));
                }
                self.pending_confirmations.push((job_id, to));
            }
            Event::Store(answer) => {
                let actions = self.leadership.handle_store_response(now, answer);
                self.apply_actions(actions);
            }
            Event::Scheduler(token, command) => {
                if token == self.config.token {
                    batch.commands.extend(self.unless_terminated(command));
                }
            }
            Event::Types(types) => {
                batch.commands.push(Command::Types(types.values().cloned().collect()));
                self.types = types;
            }
        }
    }

    fn handle_frame(&mut self, now: u64, received: Received, batch: &mut Batch) {
        let Received { from, incarnation, payload } = received;
        match payload {
            Payload::Leadership(status, message) => {
                let actions = self.leadership.handle_message(now, from, incarnation, status, message);
                self.apply_actions(actions);
            }
            Payload::Attestation(attestation) => {
                let outcome = self.leadership.handle_attestation(now, from, incarnation, &attestation);
                self.apply_actions(outcome.actions);
                batch.commands.extend(outcome.terminated.into_iter().map(Command::JobRemoved));
            }
            Payload::Summary(lines) => {
                if !self.leadership.is_leader() {
                    let lines = lines.into_iter().map(|(job, done, running)| (JobId(job), (done, running)));
                    self.summary.send_replace(Arc::new(lines.collect()));
                }
            }
            payload => self.handle_shard_frame(now, from, payload, &mut batch.commands),
        }
    }

    /// What the state service says of a job may come later than a member's word that it is cancelled.
    fn unless_terminated(&self, command: Command) -> Option<Command> {
        let cancellations = &self.leadership.cancellations;
        match command {
            Command::JobAdded(job) if cancellations.is_terminated(job.spec.job_id) => None,
            Command::Load { mut jobs, records } => {
                jobs.retain(|job| !cancellations.is_terminated(job.spec.job_id));
                Some(Command::Load { jobs, records })
            }
            command => Some(command),
        }
    }

    /// Answers those who want to tell a user of a cancellation, as soon as it may be told.
    fn answer_pending_confirmations(&mut self, now: u64) {
        for (job_id, to) in std::mem::take(&mut self.pending_confirmations) {
            if self.leadership.cancellations.confirm(now, job_id).is_permitted {
                let _ = to.send(true);
            } else if !to.is_closed() {
                self.pending_confirmations.push((job_id, to));
            }
        }
    }

    pub(super) fn send(&self, node: usize, payload: Payload) -> bool {
        // A full queue means a peer that does not answer; later frames make up for this one.
        self.peer_queues
            .get(node)
            .is_some_and(|to| to.as_ref().is_some_and(|to| to.try_send(payload).is_ok()))
    }

    fn run_scheduler(&mut self, now: u64, commands: Vec<Command>) {
        let Some(scheduler) = &mut self.scheduler else { return };
        scheduler.record_kept_alive_until(self.leadership.autonomous_until(now));
        scheduler.out_of_touch(now, self.leadership.unreachable_peers(now));
        scheduler.time_of_day(now, wall_ms());
        let effects = scheduler.step(now, commands);
        if now >= self.next_summary_at {
            self.next_summary_at = now + limits::SECOND;
            let lines = scheduler.summary();
            let own = lines.iter().map(|(u, d, r)| (*u, (*d, *r))).collect();
            self.summary.send_replace(Arc::new(own));
            // A job that is not named counts as without a task; a frame holds some four thousand.
            let begun = lines.into_iter().filter(|(_, done, running)| done + running > 0);
            let lines: Vec<_> = begun.map(|(job_id, done, running)| (job_id.0, done, running)).collect();
            for to in self.peer_queues.iter().flatten() {
                let _ = to.try_send(Payload::Summary(lines.clone()));
            }
        }
        if now >= self.next_usage_log_at {
            self.next_usage_log_at = now + 10 * limits::SECOND;
            info!(token = self.config.token, "{}", scheduler.fleet_line());
            self.limit_warnings.judge(scheduler.machines.len(), &self.settings.deployment);
        }
        for effect in effects {
            self.apply_effect(effect);
        }
    }
}
