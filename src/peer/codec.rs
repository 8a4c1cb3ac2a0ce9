//! Frames as bytes and back. What comes from outside is checked before it is believed.

use super::layout::*;
use super::{Payload, Sender};
use crate::leadership::{Message, Status};
use crate::lease::cancellation_log::Attestation;
use crate::limits;
use crate::scheduler::model::{ExitReason, Heartbeat, JobId, ReportedTask, TaskId, TaskStatus};
use crate::scheduler::TaskCommand;
use zerocopy::little_endian::U64;
use zerocopy::{FromBytes, IntoBytes};

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

pub(super) fn status_of(code: u8) -> Option<TaskStatus> {
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

fn write_report(heartbeat: &Heartbeat, to: &mut Vec<u8>) {
    let names = [&heartbeat.machine, &heartbeat.address, &heartbeat.machine_type, &heartbeat.zone];
    let lengths = names.map(|name| name.len().min(usize::from(u8::MAX)) as u8);
    let notice = heartbeat.notice_s.map_or(NO_NOTICE, limits::micros);
    let line = ReportLine {
        agent_epoch: heartbeat.agent_epoch.into(),
        sequence: heartbeat.sequence.into(),
        token: heartbeat.token.into(),
        notice: notice.into(),
        tasks: (heartbeat.tasks.len() as u32).into(),
        spot: heartbeat.spot.into(),
        machine: lengths[0],
        address: lengths[1],
        machine_type: lengths[2],
        zone: lengths[3],
        reserved: [0; 3],
    };
    to.extend_from_slice(line.as_bytes());
    for task in &heartbeat.tasks {
        let line = TaskLine {
            job_id: task.id.job_id.0.into(),
            attempt: task.attempt.into(),
            task: task.id.task.into(),
            status: status_code(task.status),
            reserved: [0; 3],
        };
        to.extend_from_slice(line.as_bytes());
    }
    for (name, length) in names.into_iter().zip(lengths) {
        to.extend_from_slice(&name.as_bytes()[..usize::from(length)]);
    }
}

/// Whether the heartbeat fits a frame: names of up to 255 bytes, and not too many tasks.
pub fn carries(heartbeat: &Heartbeat) -> bool {
    let names = [&heartbeat.machine, &heartbeat.address, &heartbeat.machine_type, &heartbeat.zone];
    let tasks = heartbeat.tasks.len() * size_of::<TaskLine>();
    let most = usize::from(u8::MAX);
    names.iter().all(|n| n.len() <= most)
        && size_of::<ReportLine>() + tasks + names.len() * most <= FOLLOWING_MOST
}

fn read_report(bytes: &[u8]) -> Result<Heartbeat, &'static str> {
    let short = "heartbeat too short";
    let (line, rest) = ReportLine::ref_from_prefix(bytes).map_err(|_| short)?;
    let (tasks, mut rest) =
        <[TaskLine]>::ref_from_prefix_with_elems(rest, line.tasks.get() as usize).map_err(|_| short)?;
    let tasks = tasks.iter().map(|t| {
        let id = TaskId { job_id: JobId(t.job_id.get()), task: t.task.get() };
        let status = status_of(t.status).ok_or("unknown task status")?;
        Ok(ReportedTask { id, attempt: t.attempt.get(), status })
    });
    let tasks = tasks.collect::<Result<Vec<_>, &'static str>>()?;
    let mut name = |length: u8| {
        let (name, after) = rest.split_at_checked(length.into()).ok_or(short)?;
        rest = after;
        String::from_utf8(name.to_vec()).map_err(|_| "name is not text")
    };
    let (machine, address) = (name(line.machine)?, name(line.address)?);
    let (machine_type, zone) = (name(line.machine_type)?, name(line.zone)?);
    if !rest.is_empty() {
        return Err("wrong length");
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
        token: line.token.get(),
        notice_s: (notice != NO_NOTICE).then_some(notice as f64 / limits::SECOND as f64),
        tasks,
    })
}

fn task_command_line(command: &TaskCommand) -> TaskCommandLine {
    let (kind, id, attempt, grace_s) = match command {
        TaskCommand::Start { id, attempt } => (0, id, attempt, 0.0),
        TaskCommand::Stop { id, attempt, grace_s } => (1, id, attempt, *grace_s),
        TaskCommand::Forget { id, attempt } => (2, id, attempt, 0.0),
    };
    TaskCommandLine {
        job_id: id.job_id.0.into(),
        attempt: (*attempt).into(),
        grace_ms: ((grace_s * 1000.0) as u32).into(),
        task: id.task.into(),
        kind,
        reserved: [0; 7],
    }
}

fn decode_task_command(line: &TaskCommandLine) -> Result<TaskCommand, &'static str> {
    let id = TaskId { job_id: JobId(line.job_id.get()), task: line.task.get() };
    let attempt = line.attempt.get();
    match line.kind {
        0 => Ok(TaskCommand::Start { id, attempt }),
        1 => Ok(TaskCommand::Stop { id, attempt, grace_s: f64::from(line.grace_ms.get()) / 1000.0 }),
        2 => Ok(TaskCommand::Forget { id, attempt }),
        _ => Err("unknown task command"),
    }
}

/// Names, each behind its length.
fn write_names(names: &[String], to: &mut Vec<u8>) {
    for name in names.iter().filter(|n| n.len() <= usize::from(u8::MAX)) {
        to.push(name.len() as u8);
        to.extend_from_slice(name.as_bytes());
    }
}

fn read_names(mut bytes: &[u8]) -> Result<Vec<String>, &'static str> {
    let mut names = Vec::new();
    while let Some((length, rest)) = bytes.split_first() {
        let (name, rest) = rest.split_at_checked(usize::from(*length)).ok_or("name too short")?;
        names.push(String::from_utf8(name.to_vec()).map_err(|_| "name is not text")?);
        bytes = rest;
    }
    Ok(names)
}

/// The bytes of a frame.
pub fn encode(sender: Sender, sequence: u64, payload: &Payload) -> Vec<u8> {
    let mut head = Head {
        magic: MAGIC.into(),
        length: 0.into(),
        kind: 0,
        node: sender.node as u8,
        abilities: 0.into(),
        incarnation: sender.incarnation.into(),
        sequence: sequence.into(),
        state_age: 0.into(),
        workers: 0.into(),
        successor: 0.into(),
        token: 0.into(),
        stamp: 0.into(),
    };
    let mut body = Vec::new();
    // `stamp` echoes a time or numbers a frame; where a frame has both, `state_age` holds the time.
    match payload {
        Payload::Leadership(status, message) => {
            head.state_age = status.state_age.into();
            head.workers = status.workers.into();
            head.abilities = (if status.attests { ATTESTS } else { 0 }).into();
            let (kind, token, stamp) = match *message {
                Message::Heartbeat { token, sent } => (HEARTBEAT, token, sent),
                Message::Grant { token, echo } => (GRANT, token, echo),
                Message::VoteRequest { sent } => (PROMISE_REQUEST, 0, sent),
                Message::Vote { echo } => (PROMISE, 0, echo),
                Message::Release { token, successor } => {
                    head.successor = (successor as u32).into();
                    (RELEASE, token, 0)
                }
            };
            head.kind = kind;
            head.token = token.into();
            head.stamp = stamp.into();
        }
        Payload::Summary(all) => {
            head.kind = SUMMARY;
            for (job_id, done, running) in &all[..all.len().min(SUMMARY_MOST)] {
                let line = SummaryLine {
                    job_id: (*job_id).into(),
                    done: (*done).into(),
                    running: (*running).into(),
                };
                body.extend_from_slice(line.as_bytes());
            }
        }
        Payload::RelayedHeartbeat { id, stamp, heartbeat } => {
            (head.kind, head.stamp, head.state_age) = (REPORT, (*id).into(), (*stamp).into());
            write_report(heartbeat, &mut body);
        }
        Payload::RelayedResponse { id, token, cacheable: keep, task_commands } => {
            (head.kind, head.stamp) = (REPLY, (*id).into());
            head.token = token.unwrap_or(0).into();
            head.workers = u32::from(*keep).into();
            task_commands
                .iter()
                .for_each(|command| body.extend_from_slice(task_command_line(command).as_bytes()));
        }
        Payload::WakeRequest(machines) => {
            head.kind = WAKE;
            write_names(machines, &mut body);
        }
        Payload::ShardHeartbeat { id, stamp, complete: whole, first_of_incarnation: fresh, machines } => {
            (head.kind, head.stamp, head.state_age) = (HEARD, (*id).into(), (*stamp).into());
            (head.workers, head.successor) = (u32::from(*whole).into(), u32::from(*fresh).into());
            write_names(machines, &mut body);
        }
        Payload::ShardHeartbeatAck { id, lease_ms } => {
            (head.kind, head.stamp, head.workers) = (CONFIRMED, (*id).into(), (*lease_ms).into());
        }
        Payload::Attestation(attested) => {
            (head.kind, head.stamp) = (ATTESTATION, attested.echo.into());
            let line = AttestationLine {
                to: attested.for_incarnation.into(),
                age: attested.incarnation_age.into(),
                held: attested.acknowledged.into(),
                last: attested.last.into(),
                quiet: attested.confirmations_suspended.into(),
                reserved: [0; 7],
            };
            body.extend_from_slice(line.as_bytes());
            attested.cancelled.iter().for_each(|job_id| body.extend_from_slice(U64::new(*job_id).as_bytes()));
        }
    }
    head.length = (body.len() as u32).into();
    let mut bytes = head.as_bytes().to_vec();
    bytes.append(&mut body);
    bytes
}

/// How many bytes follow this head, or why it is no frame.
pub(super) fn following(head: &[u8]) -> Result<usize, &'static str> {
    let head = Head::ref_from_bytes(head).map_err(|_| "wrong length")?;
    if head.magic.get() != MAGIC {
        return Err("not a frame of this version");
    }
    let length = head.length.get() as usize;
    match head.kind {
        HEARTBEAT..=RELEASE | CONFIRMED if length == 0 => Ok(0),
        SUMMARY..=HEARD | ATTESTATION if length <= FOLLOWING_MOST => Ok(length),
        _ => Err("unknown kind or length"),
    }
}

/// (node, incarnation, sequence, payload) of a whole frame.
pub fn decode(bytes: &[u8]) -> Result<(usize, u64, u64, Payload), &'static str> {
    let (head, rest) = Head::ref_from_prefix(bytes).map_err(|_| "too short")?;
    if following(head.as_bytes())? != rest.len() {
        return Err("wrong length");
    }
    let (token, stamp, time) = (head.token.get(), head.stamp.get(), head.state_age.get());
    let leadership = |message| {
        let status = Status {
            state_age: time,
            workers: head.workers.get(),
            machines: 0,
            attests: head.abilities.get() & ATTESTS != 0,
        };
        Payload::Leadership(status, message)
    };
    let payload = match head.kind {
        HEARTBEAT => leadership(Message::Heartbeat { token, sent: stamp }),
        GRANT => leadership(Message::Grant { token, echo: stamp }),
        PROMISE_REQUEST => leadership(Message::VoteRequest { sent: stamp }),
        PROMISE => leadership(Message::Vote { echo: stamp }),
        RELEASE => leadership(Message::Release { token, successor: head.successor.get() as usize }),
        SUMMARY => {
            let lines = <[SummaryLine]>::ref_from_bytes(rest).map_err(|_| "wrong length")?;
            Payload::Summary(lines.iter().map(|l| (l.job_id.get(), l.done.get(), l.running.get())).collect())
        }
        REPORT => Payload::RelayedHeartbeat { id: stamp, stamp: time, heartbeat: read_report(rest)? },
        REPLY => {
            let lines = <[TaskCommandLine]>::ref_from_bytes(rest).map_err(|_| "wrong length")?;
            let task_commands = lines.iter().map(decode_task_command).collect::<Result<_, _>>()?;
            let token = (token > 0).then_some(token);
            Payload::RelayedResponse { id: stamp, token, cacheable: head.workers.get() != 0, task_commands }
        }
        WAKE => Payload::WakeRequest(read_names(rest)?),
        HEARD => {
            let (whole, fresh) = (head.workers.get() != 0, head.successor.get() != 0);
            Payload::ShardHeartbeat {
                id: stamp,
                stamp: time,
                complete: whole,
                first_of_incarnation: fresh,
                machines: read_names(rest)?,
            }
        }
        ATTESTATION => {
            let (line, rest) = AttestationLine::ref_from_prefix(rest).map_err(|_| "attestation too short")?;
            let cancelled = <[U64]>::ref_from_bytes(rest).map_err(|_| "wrong length")?;
            Payload::Attestation(Attestation {
                for_incarnation: line.to.get(),
                echo: stamp,
                incarnation_age: line.age.get(),
                confirmations_suspended: line.quiet != 0,
                acknowledged: line.held.get(),
                last: line.last.get(),
                cancelled: cancelled.iter().map(|job_id| job_id.get()).collect(),
            })
        }
        _ => Payload::ShardHeartbeatAck { id: stamp, lease_ms: head.workers.get() },
    };
    Ok((head.node.into(), head.incarnation.get(), head.sequence.get(), payload))
}
