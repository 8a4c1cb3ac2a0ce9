//! Whether a machine hears what it is told, and by which controller it reports.

use super::model::*;
use super::TaskCommand;

impl Machine {
    /// Its heartbeat came this way. Returns whether that is another way than before.
    pub fn set_route(&mut self, way: Option<usize>, now: u64) -> bool {
        let other = self.route.via != way;
        if other {
            self.route.previous = Some((self.route.via, now));
            self.route.via = way;
        }
        other
    }

    /// A machine whose heartbeats arrive may be deaf: no answer and no command reaches it. It shows when
    /// heartbeats running bear no trace of anything that the answers before them said.
    pub(super) fn assess_reachability(&mut self, heartbeat: &Heartbeat, token: u64) {
        if heartbeat.agent_epoch > self.heartbeats.agent_epoch {
            // Its lease ended although we answered, unless nobody answered it for as long.
            self.commands.unacknowledged_heartbeats +=
                u32::from(self.heartbeats.agent_epoch > 0 && !self.commands.unacknowledged.is_empty());
            self.commands.unacknowledged.clear();
            return;
        }
        if self.commands.unacknowledged.is_empty() && !self.commands.token_unacknowledged {
            return;
        }
        let status = |id: &TaskId, attempt: u64| {
            let listed = heartbeat.tasks.iter().find(|t| t.id == *id && t.attempt == attempt);
            listed.map(|t| t.status)
        };
        let carried_out = |command: &TaskCommand| match command {
            TaskCommand::Start { id, attempt } => status(id, *attempt).is_some(),
            TaskCommand::Forget { id, attempt } => status(id, *attempt).is_none(),
            TaskCommand::Stop { id, attempt, .. } => {
                !matches!(status(id, *attempt), Some(TaskStatus::Fetching | TaskStatus::Running))
            }
        };
        let heard = self.commands.token_unacknowledged && heartbeat.token == token
            || self.commands.unacknowledged.iter().any(carried_out);
        self.commands.unacknowledged_heartbeats =
            if heard { 0 } else { self.commands.unacknowledged_heartbeats + 1 };
        self.commands.unacknowledged.clear();
        self.commands.token_unacknowledged = false;
    }
}
