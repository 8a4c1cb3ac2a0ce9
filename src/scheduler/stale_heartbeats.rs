//! Heartbeats of which nothing is taken in: copies, late ones, and heartbeats that direct answers have overtaken.

use super::model::*;
use super::{HeartbeatOutcome, Scheduler};
use serde::Serialize;
use tracing::{debug, info};

/// heartbeats of which nothing was taken in, since this leader began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IgnoredHeartbeats {
    /// Overtaken by the answer to direct commands.
    pub overtaken: u64,
    /// Copies, and heartbeats of agent epochs or machines that are gone.
    pub stale: u64,
}

impl Scheduler {
    /// A heartbeat older than the newest: its list says nothing. The answer to direct commands may have overtaken a
    /// heartbeat whose worker waits, and an answer to that renews the worker's lease. While such answers were given
    /// without being noted, tasks were started elsewhere seconds before the lease that they ran under had ended.
    pub(super) fn ignore_late_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        periodic: bool,
    ) -> HeartbeatOutcome {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else { return HeartbeatOutcome::Stale };
        let overtaken = periodic
            && heartbeat.agent_epoch == machine.heartbeats.agent_epoch
            && heartbeat.sequence > machine.heartbeats.last_sequence
            && machine.state != MachineState::Lost;
        let (agent_epoch, sequence, newest) =
            (heartbeat.agent_epoch, heartbeat.sequence, machine.heartbeats.sequence);
        if overtaken {
            debug!(
                machine = heartbeat.machine,
                agent_epoch, sequence, newest, "heartbeat overtaken by a direct response"
            );
            machine.heartbeats.last_sequence = heartbeat.sequence;
            machine.heartbeats.last_at = now;
            self.ignored_heartbeats.overtaken += 1;
            return HeartbeatOutcome::Overtaken;
        }
        debug!(
            machine = heartbeat.machine,
            agent_epoch, sequence, newest, periodic, "late heartbeat ignored"
        );
        if periodic && !std::mem::replace(&mut machine.heartbeats.stale_logged, true) {
            info!(
                machine = heartbeat.machine,
                agent_epoch, sequence, newest, "late or duplicate heartbeat; further ones are only counted"
            );
        }
        self.ignored_heartbeats.stale += u64::from(periodic);
        HeartbeatOutcome::Stale
    }
}
