//! The controller: the one owner of a process's state.
//!
//! One task takes events from one queue in batches, passes them to leadership and the scheduler, which do no I/O, and
//! carries out what they decide. Every other task of the process talks to it through [`Event`]s only. The modules
//! beside this one each carry out one kind of work for it; `startup` builds it.

mod cloud_driver;
mod cold_start;
mod drain_records;
mod effects;
mod finished_tasks;
mod health;
mod heartbeat_routing;
mod ignored_frames;
mod job_loading;
mod job_watch;
mod leadership_actions;
mod peer_links;
mod record_writer;
mod relayed_heartbeats;
mod startup;

use crate::time::{AtomicTimestamp, Timestamp};
pub use startup::{run, ServeError};

use crate::cloud::Cloud;
use crate::http::{wall_ms, Clock, Http};
use crate::leadership::Leadership;
use crate::lease::cancellation_log::CancellationCommit;
use crate::limits;
use crate::node_events::{Event, HeartbeatReply, LiveJobsUpdate, Types};
use crate::peer::{Payload, Received};
use crate::protocol::workers::HeartbeatRequest;
use crate::scheduler::model::JobId;
use crate::scheduler::{Command, Config, Scheduler, StartPermission};
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use crate::storage::record_versions::RecordVersions;
use cloud_driver::CloudRequest;
use health::Publication;
use heartbeat_routing::HeartbeatRouting;
use peer_links::PeerLinks;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::JoinSet;

/// Longest time between two batches: timers are checked at least this often.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The one owner of this process's state.
struct Controller {
    /// The scheduler's configuration; its token is 0 while this node does not lead.
    config: Config,
    settings: Settings,
    clock: Clock,
    clients: Clients,
    /// The controller's own queue, for the tasks that it starts. When it is full, they wait.
    events: mpsc::Sender<Event>,
    /// Tells this process from earlier ones on the same node.
    incarnation: u64,
    types: Types,
    peers: PeerLinks,
    leadership: Leadership,
    /// `None` while this node does not lead.
    scheduler: Option<Scheduler>,
    term: LeadershipTerm,
    /// Until when rentals, deletions and direct commands may be sent. Read by the tasks that send
    /// them.
    authority_until: Arc<AtomicTimestamp>,
    routing: HeartbeatRouting,
    publication: Publication,
    /// Cancellations that other members must acknowledge before they are confirmed to users.
    pending_confirmations: Vec<PendingConfirmation>,
}

/// The clients of everything outside.
struct Clients {
    store: KeyValueStore,
    cloud: Cloud,
    /// For direct commands to workers' addresses.
    workers: Http,
    /// One for each direct command under way. Without one a command is left to the next heartbeat.
    direct_command_permits: Arc<Semaphore>,
}

/// What belongs to this node's current or last leadership.
#[derive(Default)]
struct LeadershipTerm {
    /// Version of the epoch that every transaction of this leader compares.
    epoch_version: u64,
    record_versions: RecordVersions,
    /// Tasks that run only while this node leads. Dropping the set aborts them.
    tasks: JoinSet<()>,
    /// Filled by the scheduler's effects, emptied at the cloud's pace. Unbounded: the scheduler limits its rentals
    /// under way, and deletions are limited by the number of machines.
    cloud_requests: Option<mpsc::UnboundedSender<CloudRequest>>,
}

/// A user's cancellation that waits until it may be confirmed.
struct PendingConfirmation {
    job_id: JobId,
    reply: oneshot::Sender<()>,
}

/// A heartbeat and where its reply goes.
struct WaitingHeartbeat {
    request: HeartbeatRequest,
    reply: oneshot::Sender<HeartbeatReply>,
}

/// What a batch of events asks for beyond what leadership carried out at once.
#[derive(Default)]
struct Batch {
    /// For the scheduler, in order.
    commands: Vec<Command>,
    /// Routed once leadership has processed the complete batch.
    heartbeats: Vec<WaitingHeartbeat>,
}

impl Controller {
    /// Runs until the process is killed.
    async fn run(mut self, mut queue: mpsc::Receiver<Event>) {
        let mut batch = Vec::with_capacity(limits::MAX_EVENT_BATCH);
        loop {
            // After a timeout the batch is empty, and only what is due is done.
            let _ = tokio::time::timeout(TICK_INTERVAL, queue.recv_many(&mut batch, limits::MAX_EVENT_BATCH))
                .await;
            self.process_batch(std::mem::take(&mut batch));
        }
    }

    /// Processes a batch of events and does what is due.
    fn process_batch(&mut self, events: Vec<Event>) {
        let now = self.clock.now();
        let mut batch = Batch::default();
        for event in events {
            self.handle_event(now, event, &mut batch);
        }
        let status = self.status(now);
        let actions = self.leadership.tick(now, status);
        self.apply_actions(actions);
        self.authority_until.store(self.leadership.authority_until(now));
        self.update_health(now);
        self.answer_pending_confirmations(now);
        let Batch { mut commands, heartbeats } = batch;
        for WaitingHeartbeat { request, reply } in heartbeats {
            self.route_heartbeat(now, request, reply, &mut commands);
        }
        self.run_scheduler(now, commands);
        self.maintain_shard(now);
    }

    fn handle_event(&mut self, now: Timestamp, event: Event, batch: &mut Batch) {
        match event {
            Event::Heartbeat(request, reply) => batch.heartbeats.push(WaitingHeartbeat { request, reply }),
            Event::Overview(start, reply) => {
                // The operator's request may have timed out.
                let _ = reply.send(self.view(now, &start));
            }
            Event::Peer(received) => self.handle_frame(now, received, batch),
            Event::LiveJobs(update) => {
                let LiveJobsUpdate { requested_at, complete, added, removed } = update;
                let cancellations = &mut self.leadership.cancellations;
                let terminated = cancellations.apply_live_jobs(now, requested_at, complete, &added, &removed);
                batch.remove_jobs(terminated);
            }
            Event::CancellationRequested(job_id, epoch_version) => {
                let actions = self.leadership.request_cancellation(now, job_id, epoch_version);
                self.apply_actions(actions);
            }
            Event::Cancelled(job_id, commit, reply) => {
                self.handle_cancellation(now, job_id, commit, reply, batch);
            }
            Event::Store(response) => {
                let actions = self.leadership.handle_store_response(now, response);
                self.apply_actions(actions);
            }
            Event::Scheduler(token, command) => {
                if token == self.config.token {
                    batch.commands.extend(self.unless_terminated(command));
                }
            }
            Event::Types(types) => {
                batch.commands.push(Command::MachineTypes(types.values().cloned().collect()));
                self.types = types;
            }
        }
    }

    fn handle_cancellation(
        &mut self,
        now: Timestamp,
        job_id: JobId,
        commit: CancellationCommit,
        reply: oneshot::Sender<()>,
        batch: &mut Batch,
    ) {
        let outcome = self.leadership.request_confirmation(now, job_id, commit);
        self.apply_actions(outcome.actions);
        if outcome.is_new {
            batch.commands.push(Command::JobRemoved(job_id));
        }
        // Answered at the end of this batch at the earliest.
        self.pending_confirmations.push(PendingConfirmation { job_id, reply });
    }

    fn handle_frame(&mut self, now: Timestamp, received: Received, batch: &mut Batch) {
        let Received { from, incarnation, payload } = received;
        let commands = &mut batch.commands;
        match payload {
            Payload::Leadership(status, message) => {
                let actions = self.leadership.handle_message(now, from, incarnation, status, message);
                self.apply_actions(actions);
            }
            Payload::Attestation(attestation) => {
                let outcome = self.leadership.handle_attestation(now, from, incarnation, &attestation);
                self.apply_actions(outcome.actions);
                batch.remove_jobs(outcome.cancelled_jobs);
            }
            Payload::Summary(jobs) => {
                if !self.leadership.is_leader() {
                    self.publication.replace_summary(jobs);
                }
            }
            Payload::RelayedHeartbeat { id, stamp, heartbeat } => {
                self.handle_relayed_heartbeat(now, from, id, stamp, heartbeat, commands);
            }
            Payload::RelayedResponse { id, token, leaseholder_may_respond, task_commands } => {
                self.handle_relayed_response(now, from, id, token, leaseholder_may_respond, task_commands);
            }
            Payload::ShardHeartbeat { id, stamp, complete, without_lease, machines } => {
                let covers_until = complete.then_some(stamp);
                let command = Command::ShardHeartbeat { node: from, machines, covers_until, without_lease };
                self.handle_shard_heartbeat(now, from, id, stamp, command, commands);
            }
            Payload::ShardHeartbeatAck { id, lease_ms } => {
                self.handle_shard_heartbeat_ack(from, id, lease_ms)
            }
            Payload::WakeRequest(machines) => self.routing.shard.require_relay(&machines),
        }
    }

    /// Drops jobs that are known as cancelled: a read of the state service may be older than a member's attestation.
    fn unless_terminated(&self, command: Command) -> Option<Command> {
        let cancellations = &self.leadership.cancellations;
        match command {
            Command::JobAdded(job) if cancellations.is_terminated(job.spec.job_id) => None,
            Command::StateLoaded { mut jobs, records } => {
                jobs.retain(|job| !cancellations.is_terminated(job.spec.job_id));
                Some(Command::StateLoaded { jobs, records })
            }
            command => Some(command),
        }
    }

    /// Confirms cancellations to users as soon as that is safe; forgets those whose user has given up.
    fn answer_pending_confirmations(&mut self, now: Timestamp) {
        if self.pending_confirmations.is_empty() {
            return;
        }
        self.leadership.rule_out_starts(now);
        for pending in std::mem::take(&mut self.pending_confirmations) {
            if self.leadership.cancellations.is_confirmation_permitted(now, pending.job_id) {
                // The user's request may have timed out.
                let _ = pending.reply.send(());
            } else if !pending.reply.is_closed() {
                self.pending_confirmations.push(pending);
            }
        }
    }

    fn run_scheduler(&mut self, now: Timestamp, commands: Vec<Command>) {
        let Some(scheduler) = &mut self.scheduler else { return };
        scheduler.record_others_may_have_renewed_until(self.leadership.others_kept_alive_until(now));
        scheduler.record_unreachable_nodes(now, self.leadership.unreachable_peers(now));
        scheduler.record_start_permission(StartPermission {
            may_start_tasks: self.leadership.may_start_tasks(now),
            held_jobs: self.leadership.cancellations.held_jobs().collect(),
        });
        scheduler.time_of_day(now, wall_ms());
        let effects = scheduler.step(now, commands);
        self.publication.publish_summary(now, scheduler, &self.peers);
        self.publication.log_usage(now, self.config.token, scheduler, &self.settings.deployment);
        for effect in effects {
            self.apply_effect(effect);
        }
    }
}

impl Batch {
    /// Tells the scheduler that these jobs are cancelled.
    fn remove_jobs(&mut self, terminated: Vec<JobId>) {
        self.commands.extend(terminated.into_iter().map(Command::JobRemoved));
    }
}
