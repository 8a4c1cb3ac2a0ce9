//! Makes responses to heartbeats, requests to leaseholders to relay a heartbeat, and direct commands. Called
//! by `Scheduler` and by its modules that have commands for workers.
//!
//! Every response that may renew a worker's lease is recorded before it is made
//! ([`Scheduler::record_renewal`]).
//!
//! A shard heartbeat is a leaseholder's periodic message to the leader that names the machines to which the
//! leaseholder responded itself.

use super::model::{ExitReason, Job, JobId, Machine, MachineState, TaskCommand};
use super::{Effect, Scheduler};
use crate::lease::renewal::LeaseRenewal;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::debug;

/// Stop commands for the machine's placements and, without a grace period, for its orphaned tasks.
fn stop_commands(machine: &Machine) -> impl Iterator<Item = TaskCommand> + '_ {
    let placed = machine.tasks.iter().filter_map(|(id, placement)| {
        let stop = placement.stopping?;
        Some(TaskCommand::Stop { id: *id, attempt: placement.attempt, grace_s: stop.grace_s })
    });
    let orphaned = machine.unplaced_tasks.orphaned.iter().map(|orphan| TaskCommand::Stop {
        id: orphan.task,
        attempt: orphan.attempt,
        grace_s: 0.0,
    });
    placed.chain(orphaned)
}

/// Forget commands for exited tasks. The worker keeps the result of a succeeded task until the leader has
/// stored it, since until then there is no other copy.
fn forget_commands<'a>(
    machine: &'a Machine,
    jobs: &'a BTreeMap<JobId, Job>,
) -> impl Iterator<Item = TaskCommand> + 'a {
    let is_unstored = |job: &Job, task: u32| job.progress.unstored.contains(&task);
    machine
        .unplaced_tasks
        .exited
        .iter()
        .filter(move |(exited, reason)| {
            let job = jobs.get(&exited.task.job_id);
            **reason != ExitReason::Done || !job.is_some_and(|job| is_unstored(job, exited.task.task))
        })
        .map(|(exited, _)| TaskCommand::Forget { id: exited.task, attempt: exited.attempt })
}

/// Start commands that have not been sent, without those of `held_jobs`. Marks each as sent in the response to the
/// newest heartbeat.
fn take_start_commands<'a>(
    machine: &'a mut Machine,
    held_jobs: &'a BTreeSet<JobId>,
) -> impl Iterator<Item = TaskCommand> + 'a {
    let newest = machine.heartbeats.newest;
    let unsent = machine.tasks.iter_mut().filter(|(id, placement)| {
        placement.is_unsent() && placement.stopping.is_none() && !held_jobs.contains(&id.job_id)
    });
    unsent.map(move |(id, placement)| {
        placement.start_sent_in_response_to = Some(newest);
        TaskCommand::Start { id: *id, attempt: placement.attempt }
    })
}

impl Scheduler {
    /// Records that the response to a heartbeat renews the machine's lease. Returns None if the machine is
    /// gone: the response must not renew a lease.
    pub(super) fn record_renewal(&mut self, name: &str) -> Option<LeaseRenewal> {
        let Some(machine) = self.machines.get_mut(name) else {
            // Before `Scheduler::load`, no machine is known, and expiry counts every lease from `loaded_at`
            // or later. After it, an unknown machine is gone.
            return (!self.loaded).then(LeaseRenewal::before_load);
        };
        debug!(
            machine = name,
            agent_epoch = machine.heartbeats.newest.agent_epoch,
            sequence = machine.heartbeats.last_periodic_sequence,
            "lease renewed"
        );
        Some(machine.last_renewal.record(self.now))
    }

    /// Responds to a heartbeat with all commands for its machine.
    pub(super) fn respond(&mut self, response_id: u64, name: &str, renewal: Option<LeaseRenewal>) {
        let task_commands = self.take_commands(name);
        let leaseholder_may_respond = self.update_leaseholder_may_respond(name, &task_commands);
        self.effects.push(Effect::HeartbeatResponse {
            response_id,
            renewal,
            task_commands,
            leaseholder_may_respond,
        });
    }

    /// Responds to a heartbeat whose task list was ignored.
    pub(super) fn respond_without_commands(&mut self, response_id: u64, renewal: Option<LeaseRenewal>) {
        let task_commands = Vec::new();
        self.effects.push(Effect::HeartbeatResponse {
            response_id,
            renewal,
            task_commands,
            leaseholder_may_respond: false,
        });
    }

    /// Returns the commands for a machine and marks them as sent.
    fn take_commands(&mut self, name: &str) -> Vec<TaskCommand> {
        let Some(machine) = self.machines.get_mut(name) else { return Vec::new() };
        let came_without_relay = machine.route.relayed_by.is_none();
        machine.route.relay_requested = false;
        machine.commands.awaits_token_echo = came_without_relay && !machine.accounted_for;
        let mut task_commands: Vec<TaskCommand> = stop_commands(machine).collect();
        task_commands.extend(forget_commands(machine, &self.jobs));
        if machine.accounted_for && machine.recorded && self.start_permission.may_start_tasks {
            task_commands.extend(take_start_commands(machine, &self.start_permission.held_jobs));
            // A response may be lost on the way to the leaseholder that relays it. So its missing effect does
            // not show that the machine is unreachable.
            if came_without_relay {
                machine.commands.unacknowledged.clone_from(&task_commands);
            }
        }
        task_commands
    }

    /// Decides and records whether the leaseholder that relayed the machine's heartbeat may respond to
    /// unchanged ones without the leader.
    fn update_leaseholder_may_respond(&mut self, name: &str, task_commands: &[TaskCommand]) -> bool {
        let has_leaseholders = self.config.shard_lease > Duration::ZERO;
        let Some(machine) = self.machines.get_mut(name) else { return false };
        machine.route.leaseholder_may_respond = has_leaseholders
            && machine.route.relayed_by.is_some()
            && task_commands.is_empty()
            && machine.is_settled()
            && machine.unplaced_tasks.exited.is_empty();
        machine.route.leaseholder_may_respond
    }

    /// Records that the leaseholder `node` renewed the leases of the machines `names` without the leader. For
    /// a machine with a command or a new route, asks the leaseholder to relay the next heartbeat, even if it
    /// was asked before. `covers_until`: see `PeerNodes::record_shard_heartbeat`.
    pub(super) fn apply_shard_heartbeat(
        &mut self,
        node: usize,
        names: Vec<String>,
        covers_until: Option<Timestamp>,
    ) {
        let now = self.now;
        self.peers.record_shard_heartbeat(node, covers_until, now);
        for name in names {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            machine.last_renewal.record_by_leaseholder(now);
            machine.heartbeats.last_at = now;
            // A machine may return to a leaseholder that still has its heartbeat cached and therefore relays
            // nothing. Unless the new route is recorded here, the machine is taken for silent on the route
            // that it left.
            let changed_route = machine.route.record(Some(node), now);
            if changed_route || !machine.is_settled() {
                // The leaseholder does not know what changed while the machine was on another route, so it
                // has to relay the next heartbeat. `request_relay` asks only a leaseholder that may respond,
                // and this one did respond without the leader.
                machine.route.relay_requested = false;
                machine.route.leaseholder_may_respond = true;
                self.request_relay(&name);
            }
        }
    }

    /// Asks a leaseholder that may respond without the leader to relay the machine's next heartbeat, so that
    /// the leader can respond with its commands. Has no effect if the leaseholder has been asked already.
    pub(super) fn request_relay(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        let Some(node) = machine.route.relayed_by else { return };
        if machine.route.leaseholder_may_respond && !machine.route.relay_requested {
            machine.route.relay_requested = true;
            self.effects.push(Effect::RequestRelay { node, machine: name.to_string() });
        }
    }

    /// Sends stops directly to the workers as well, since their next heartbeats may be seconds away.
    pub(super) fn send_direct_stops(&mut self) {
        for name in std::mem::take(&mut self.autoscaler.machines_with_direct_stops) {
            let Some(machine) = self.machines.get(&name) else { continue };
            let task_commands: Vec<TaskCommand> = stop_commands(machine).collect();
            if machine.state == MachineState::Ready && !task_commands.is_empty() {
                self.effects.push(Effect::DirectCommands {
                    machine: name,
                    address: machine.address.clone(),
                    agent_epoch: machine.heartbeats.newest.agent_epoch,
                    task_commands,
                });
            }
        }
    }
}
