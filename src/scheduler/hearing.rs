//! Whether a machine hears what it is told, and by which controller it reports.

use super::model::*;
use super::TaskCommand;

impl Machine {
    /// Its heartbeat came this way. Returns whether that is another way than before.
    pub fn set_route(&mut self, way: Option<usize>, now: u64) -> bool {
        let other = self.via != way;
        if other {
            self.previous_route = Some((self.via, now));
            self.via = way;
        }
        other
    }

    /// A machine whose heartbeats arrive may be deaf: no answer and no command reaches it. It shows when
    /// heartbeats running bear no trace of anything that the answers before them said.
    pub(super) fn judge_hearing(&mut self, heartbeat: &Heartbeat, token: u64) {
        if heartbeat.agent_epoch > self.agent_epoch {
            // Its lease ended although we answered, unless nobody answered it for as long.
            self.unheard += u32::from(self.agent_epoch > 0 && !self.told.is_empty());
            self.told.clear();
            return;
        }
        if self.told.is_empty() && !self.told_token {
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
        let heard = self.told_token && heartbeat.token == token || self.told.iter().any(carried_out);
        self.unheard = if heard { 0 } else { self.unheard + 1 };
        self.told.clear();
        self.told_token = false;
    }
}
