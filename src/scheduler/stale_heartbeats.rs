//! Handles heartbeats whose task list is ignored: duplicates, late ones, and those overtaken by the heartbeat
//! that their worker returned for a direct command. Called by `heartbeats`. Owns the counts of them in the
//! operators' overview.

use super::model::{Heartbeat, HeartbeatSource, MachineState};
use super::{HeartbeatOutcome, Scheduler};
use serde::Serialize;
use tracing::{debug, info};

/// Number of heartbeats ignored since this leader began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IgnoredHeartbeats {
    /// Overtaken by the heartbeat that the worker returned for a direct command.
    pub overtaken: u64,
    /// Duplicates, and heartbeats of agent epochs or machines that are gone.
    pub stale: u64,
}

impl Scheduler {
    /// Ignores the task list of a heartbeat that is not newer than the newest one applied.
    ///
    /// A periodic heartbeat may have been overtaken by the one that its worker returned for a direct command.
    /// The worker still waits for the response to the periodic one, which renews the lease, so the renewal
    /// must be recorded. Otherwise tasks would be started elsewhere seconds before their lease ends.
    pub(super) fn ignore_old_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
    ) -> HeartbeatOutcome {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatOutcome::Stale };
        let periodic = source == HeartbeatSource::Periodic;
        let overtaken = periodic
            && heartbeat.agent_epoch == machine.heartbeats.newest.agent_epoch
            && heartbeat.sequence > machine.heartbeats.last_periodic_sequence
            && machine.state != MachineState::Lost;
        let name = &heartbeat.machine;
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        let newest = machine.heartbeats.newest.sequence;
        if overtaken {
            debug!(machine = name, agent_epoch, sequence, newest, "heartbeat overtaken by a direct response");
            machine.heartbeats.record_periodic_arrival(sequence, now);
            self.ignored_heartbeats.overtaken += 1;
            return HeartbeatOutcome::Overtaken;
        }
        debug!(machine = name, agent_epoch, sequence, newest, periodic, "stale heartbeat ignored");
        if !periodic {
            return HeartbeatOutcome::Stale;
        }
        if !machine.heartbeats.stale_logged {
            machine.heartbeats.stale_logged = true;
            info!(
                machine = name,
                agent_epoch,
                sequence,
                newest,
                "late or duplicate heartbeat ignored, lease not renewed; further ones are only counted"
            );
        }
        self.ignored_heartbeats.stale += 1;
        HeartbeatOutcome::Stale
    }
}
