//! Detects machines that do not receive the responses to their heartbeats. Called by `heartbeats` with each
//! new periodic heartbeat. The reachability of zones and routes is in `failure_detection`.

use super::model::{CommandTracker, Heartbeat, TaskCommand, TaskStatus};
use crate::fencing_token::FencingToken;

impl CommandTracker {
    /// Counts consecutive heartbeats that show no effect of the response before them.
    ///
    /// A machine whose heartbeats arrive may be unreachable in the other direction: it receives no response
    /// and no direct command. Its heartbeats then show no effect of the responses before them.
    /// `previous_agent_epoch` is the epoch of the heartbeat before this one; `token` is the leader's fencing
    /// token.
    pub(super) fn assess_response_delivery(
        &mut self,
        previous_agent_epoch: u64,
        heartbeat: &Heartbeat,
        token: FencingToken,
    ) {
        if heartbeat.agent_epoch > previous_agent_epoch {
            // The worker's lease ended. The response with the commands would have renewed the lease, so most
            // likely the response was lost. (If it was sent more than a lease ago, it may have arrived; these
            // cases are not distinguished.)
            let commands_without_effect = previous_agent_epoch > 0 && !self.unacknowledged.is_empty();
            self.responses_without_effect += u32::from(commands_without_effect);
            self.unacknowledged.clear();
            return;
        }
        if self.unacknowledged.is_empty() && !self.awaits_token_echo {
            return;
        }
        let acknowledged = self.awaits_token_echo && heartbeat.token == token
            || self.unacknowledged.iter().any(|command| command.shows_in(heartbeat));
        self.responses_without_effect = if acknowledged { 0 } else { self.responses_without_effect + 1 };
        self.unacknowledged.clear();
        self.awaits_token_echo = false;
    }
}

impl TaskCommand {
    /// Whether the task list of the heartbeat shows the effect of the command.
    fn shows_in(&self, heartbeat: &Heartbeat) -> bool {
        let (TaskCommand::Start { id, attempt }
        | TaskCommand::Stop { id, attempt, .. }
        | TaskCommand::Forget { id, attempt }) = self;
        let listed = heartbeat.tasks.iter().find(|task| task.id == *id && task.attempt == *attempt);
        let status = listed.map(|task| task.status);
        match self {
            TaskCommand::Start { .. } => status.is_some(),
            TaskCommand::Forget { .. } => status.is_none(),
            TaskCommand::Stop { .. } => !matches!(status, Some(TaskStatus::Fetching | TaskStatus::Running)),
        }
    }
}

#[cfg(test)]
#[path = "response_delivery_tests.rs"]
mod tests;
