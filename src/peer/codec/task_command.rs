//! Commands to workers, as a relayed response carries them.

use super::super::layout::TaskCommandLine;
use super::FrameError;
use crate::scheduler::model::{JobId, TaskId};
use crate::scheduler::TaskCommand;

const START: u8 = 0;
const STOP: u8 = 1;
const FORGET: u8 = 2;

const MILLISECONDS: f64 = 1_000.0;

pub(super) fn encode(command: &TaskCommand) -> TaskCommandLine {
    let (kind, id, attempt, grace_s) = match command {
        TaskCommand::Start { id, attempt } => (START, id, attempt, 0.0),
        TaskCommand::Stop { id, attempt, grace_s } => (STOP, id, attempt, *grace_s),
        TaskCommand::Forget { id, attempt } => (FORGET, id, attempt, 0.0),
    };
    TaskCommandLine {
        job_id: id.job_id.0.into(),
        attempt: (*attempt).into(),
        grace_ms: ((grace_s * MILLISECONDS) as u32).into(),
        task: id.task.into(),
        kind,
        reserved: [0; 7],
    }
}

pub(super) fn decode(line: &TaskCommandLine) -> Result<TaskCommand, FrameError> {
    let id = TaskId { job_id: JobId(line.job_id.get()), task: line.task.get() };
    let attempt = line.attempt.get();
    match line.kind {
        START => Ok(TaskCommand::Start { id, attempt }),
        STOP => Ok(TaskCommand::Stop { id, attempt, grace_s: f64::from(line.grace_ms.get()) / MILLISECONDS }),
        FORGET => Ok(TaskCommand::Forget { id, attempt }),
        _ => Err(FrameError::UnknownTaskCommand),
    }
}
