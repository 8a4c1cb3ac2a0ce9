//! What workers are told: answers to their heartbeats, and direct stops.

use super::model::*;
use super::{Effect, Scheduler, TaskCommand};
use crate::lease::renewal::LeaseRenewal;
use tracing::debug;

impl Scheduler {
    pub(super) fn stop_commands(machine: &Machine) -> impl Iterator<Item = TaskCommand> + '_ {
        let own = machine.tasks.iter().filter_map(|(id, t)| {
            t.stopping.map(|(_, grace_s)| TaskCommand::Stop { id: *id, attempt: t.attempt, grace_s })
        });
        let foreign = machine.reported.orphaned.iter().map(|(id, attempt)| TaskCommand::Stop {
            id: *id,
            attempt: *attempt,
            grace_s: 0.0,
        });
        own.chain(foreign)
    }

    /// Notes that a heartbeat will be answered, which renews the machine's lease. None: the machine is gone.
    pub(super) fn record_renewal(&mut self, name: &str) -> Option<LeaseRenewal> {
        match self.machines.get_mut(name) {
            Some(machine) => {
                debug!(
                    machine = name,
                    agent_epoch = machine.heartbeats.agent_epoch,
                    sequence = machine.heartbeats.last_sequence,
                    "lease renewed"
                );
                Some(machine.last_renewal.record(self.now))
            }
            // A leader that has not loaded knows no machines; one that has knows that it is gone.
            None => (!self.loaded).then(LeaseRenewal::before_load),
        }
    }

    /// Answers a heartbeat.
    pub(super) fn answer(&mut self, reply: u64, name: &str, renewal: Option<LeaseRenewal>) {
        let (task_commands, keep) = self.commands_for(name);
        self.effects.push(Effect::HeartbeatResponse { reply, renewal, task_commands, cacheable: keep });
    }

    /// What the answer to a heartbeat tells the machine; and whether the node that it came through may answer by itself
    /// what says nothing new.
    fn commands_for(&mut self, name: &str) -> (Vec<TaskCommand>, bool) {
        let reconciled_and_recorded;
        let mut task_commands: Vec<TaskCommand>;
        {
            let Some(machine) = self.machines.get_mut(name) else { return (Vec::new(), false) };
            machine.route.wake_requested = false;
            machine.commands.token_unacknowledged = machine.route.via.is_none() && !machine.reconciled;
            task_commands = Self::stop_commands(machine).collect();
            reconciled_and_recorded = machine.reconciled && machine.recorded;
        }
        let machine = &self.machines[name];
        for ((id, attempt), reason) in &machine.reported.exited {
            // The result on the worker is the only one until ours is committed.
            let job = self.jobs.get(&id.job_id);
            let kept =
                *reason == ExitReason::Done && job.is_some_and(|j| j.progress.unrecorded.contains(&id.task));
            if !kept {
                task_commands.push(TaskCommand::Forget { id: *id, attempt: *attempt });
            }
        }
        if let Some(machine) = self.machines.get_mut(name).filter(|_| reconciled_and_recorded) {
            let newest = (machine.heartbeats.agent_epoch, machine.heartbeats.sequence);
            for (id, placed) in &mut machine.tasks {
                if placed.start_sent_in.is_none() && !placed.confirmed && placed.stopping.is_none() {
                    placed.start_sent_in = Some(newest);
                    task_commands.push(TaskCommand::Start { id: *id, attempt: placed.attempt });
                }
            }
            // What goes through a leaseholder may be lost between it and us; that says nothing of the machine.
            if machine.route.via.is_none() {
                machine.commands.unacknowledged.clone_from(&task_commands);
            }
        }
        let shard = self.config.shard_lease > 0;
        let Some(machine) = self.machines.get_mut(name) else { return (task_commands, false) };
        machine.route.cached_by_leaseholder = shard
            && machine.route.via.is_some()
            && task_commands.is_empty()
            && machine.is_settled()
            && machine.reported.exited.is_empty();
        (task_commands, machine.route.cached_by_leaseholder)
    }

    /// A leaseholder has answered these machines by itself, and nobody else before `covers`. Their leases run on;
    /// one that there is something to tell is to be passed on, whether or not its leaseholder was told so before.
    pub fn apply_shard_heartbeat(&mut self, node: usize, names: Vec<String>, covers: Option<u64>) {
        let now = self.now;
        let leaseholder = self.leaseholders.entry(node).or_default();
        leaseholder.covered_until = leaseholder.covered_until.max(covers.unwrap_or(0));
        leaseholder.last_heartbeat_at = now;
        for name in names {
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            machine.last_renewal.record_by_leaseholder(now);
            machine.heartbeats.last_at = now;
            // Come back to a leaseholder that still knew it, it says nothing new there, and was taken for silent on
            // the way that it had left; what it did elsewhere meanwhile the leaseholder can't tell.
            let came = machine.set_route(Some(node), now);
            if came || !machine.is_settled() {
                (machine.route.wake_requested, machine.route.cached_by_leaseholder) = (false, true);
                self.request_wake(&name);
            }
        }
    }

    /// There is something to tell this machine: its leaseholder is to pass its next heartbeat on.
    pub fn request_wake(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else { return };
        if let (Some(node), false, true) =
            (machine.route.via, machine.route.wake_requested, machine.route.cached_by_leaseholder)
        {
            machine.route.wake_requested = true;
            self.effects.push(Effect::RequestWake { node, machine: name.to_string() });
        }
    }

    /// Stops go straight to the worker too, since its next heartbeat may be seconds away.
    pub fn direct_stops(&mut self) {
        for name in std::mem::take(&mut self.fleet.direct) {
            let Some(machine) = self.machines.get(&name) else { continue };
            let task_commands: Vec<TaskCommand> = Self::stop_commands(machine).collect();
            if machine.state == MachineState::Ready && !task_commands.is_empty() {
                self.effects.push(Effect::DirectCommands {
                    machine: name,
                    address: machine.address.clone(),
                    agent_epoch: machine.heartbeats.agent_epoch,
                    task_commands,
                });
            }
        }
    }
}
