//! A worker's heartbeat on its way to the leader: a fixed part, a line for each task, then four names.

use super::super::layout::{HeartbeatLine, TaskLine, MAX_BODY_LENGTH, NO_NOTICE};
use super::{names, FrameError};
use crate::fencing_token::FencingToken;
use crate::scheduler::model::{ExitReason, Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::time::{as_seconds, from_seconds, to_micros};
use std::time::Duration;
use zerocopy::{FromBytes, IntoBytes};

/// The longest name that its length byte can tell.
const MAX_NAME: usize = u8::MAX as usize;

fn status_code(status: TaskStatus) -> u8 {
    match status {
        TaskStatus::Fetching => 0,
        TaskStatus::Running => 1,
        TaskStatus::Saving => 2,
        TaskStatus::Exited(ExitReason::Done) => 3,
        TaskStatus::Exited(ExitReason::Stopped) => 4,
        TaskStatus::Exited(ExitReason::Error) => 5,
        TaskStatus::Exited(ExitReason::NoRoom) => 6,
        TaskStatus::Exited(ExitReason::Busy) => 7,
        TaskStatus::Exited(ExitReason::Unknown) => 8,
    }
}

/// The status of this number, if there is one.
pub(in crate::peer) fn status_of(code: u8) -> Option<TaskStatus> {
    Some(match code {
        0 => TaskStatus::Fetching,
        1 => TaskStatus::Running,
        2 => TaskStatus::Saving,
        3 => TaskStatus::Exited(ExitReason::Done),
        4 => TaskStatus::Exited(ExitReason::Stopped),
        5 => TaskStatus::Exited(ExitReason::Error),
        6 => TaskStatus::Exited(ExitReason::NoRoom),
        7 => TaskStatus::Exited(ExitReason::Busy),
        8 => TaskStatus::Exited(ExitReason::Unknown),
        _ => return None,
    })
}

fn names_of(heartbeat: &Heartbeat) -> [&String; 4] {
    [&heartbeat.machine, &heartbeat.address, &heartbeat.machine_type, &heartbeat.zone]
}

/// Whether the heartbeat fits a frame: names of up to 255 bytes, and not too many tasks.
pub fn fits_frame(heartbeat: &Heartbeat) -> bool {
    let names = names_of(heartbeat);
    let tasks = heartbeat.tasks.len() * size_of::<TaskLine>();
    names.iter().all(|name| name.len() <= MAX_NAME)
        && size_of::<HeartbeatLine>() + tasks + names.len() * MAX_NAME <= MAX_BODY_LENGTH
}

pub(super) fn write(heartbeat: &Heartbeat, body: &mut Vec<u8>) {
    let names = names_of(heartbeat);
    let lengths = names.map(|name| name.len().min(MAX_NAME) as u8);
    let notice = heartbeat.notice_s.map_or(NO_NOTICE, |seconds| to_micros(from_seconds(seconds)));
    let line = HeartbeatLine {
        agent_epoch: heartbeat.agent_epoch.into(),
        sequence: heartbeat.sequence.into(),
        token: heartbeat.token.0.into(),
        notice: notice.into(),
        tasks: (heartbeat.tasks.len() as u32).into(),
        spot: heartbeat.spot.into(),
        machine: lengths[0],
        address: lengths[1],
        machine_type: lengths[2],
        zone: lengths[3],
        reserved: [0; 3],
    };
    body.extend_from_slice(line.as_bytes());
    for task in &heartbeat.tasks {
        body.extend_from_slice(task_line(task).as_bytes());
    }
    for (name, length) in names.into_iter().zip(lengths) {
        body.extend_from_slice(&name.as_bytes()[..usize::from(length)]);
    }
}

fn task_line(task: &ReportedTask) -> TaskLine {
    TaskLine {
        job_id: task.id.job_id.0.into(),
        attempt: task.attempt.into(),
        task: task.id.task.into(),
        status: status_code(task.status),
        reserved: [0; 3],
    }
}

pub(super) fn read(bytes: &[u8]) -> Result<Heartbeat, FrameError> {
    let too_short = FrameError::HeartbeatTooShort;
    let (line, rest) = HeartbeatLine::ref_from_prefix(bytes).map_err(|_| too_short)?;
    let (tasks, mut rest) =
        <[TaskLine]>::ref_from_prefix_with_elems(rest, line.tasks.get() as usize).map_err(|_| too_short)?;
    let tasks = tasks.iter().map(read_task).collect::<Result<Vec<_>, FrameError>>()?;
    let mut name = |length: u8| {
        let (name, after) = rest.split_at_checked(length.into()).ok_or(too_short)?;
        rest = after;
        names::text(name)
    };
    let (machine, address) = (name(line.machine)?, name(line.address)?);
    let (machine_type, zone) = (name(line.machine_type)?, name(line.zone)?);
    if !rest.is_empty() {
        return Err(FrameError::WrongLength);
    }
    let notice = line.notice.get();
    Ok(Heartbeat {
        machine,
        address,
        machine_type,
        zone,
        spot: line.spot != 0,
        agent_epoch: line.agent_epoch.get(),
        sequence: line.sequence.get(),
        token: FencingToken(line.token.get()),
        notice_s: (notice != NO_NOTICE).then_some(as_seconds(Duration::from_micros(notice))),
        tasks,
    })
}

fn read_task(line: &TaskLine) -> Result<ReportedTask, FrameError> {
    let id = TaskId { job_id: JobId(line.job_id.get()), task: line.task.get() };
    let status = status_of(line.status).ok_or(FrameError::UnknownTaskStatus)?;
    Ok(ReportedTask { id, attempt: line.attempt.get(), status })
}
