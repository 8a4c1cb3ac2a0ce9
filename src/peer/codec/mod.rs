//! Frames as bytes and back. What comes from a peer is checked before anything is concluded from it.

mod heartbeat;
mod names;
mod task_command;

pub use heartbeat::fits_frame;
#[cfg(test)]
pub(super) use heartbeat::status_of;

use super::layout::{
    AttestationLine, Head, SummaryLine, TaskCommandLine, ATTESTATION, ATTESTS, GRANT, LEADER_HEARTBEAT,
    MAGIC, MAX_BODY_LENGTH, MAX_SUMMARY_JOBS, RELAYED_HEARTBEAT, RELAYED_RESPONSE, RELEASE, SHARD_HEARTBEAT,
    SHARD_HEARTBEAT_ACK, SUMMARY, VOTE, VOTE_REQUEST, WAKE_REQUEST,
};
use super::{Frame, FrameError, Payload, Sender};
use crate::fencing_token::FencingToken;
use crate::leadership::{Message, Status};
use crate::lease::cancellation_log::Attestation;
use crate::scheduler::model::{JobId, JobSummary, TaskCounts};
use crate::time::{to_micros, to_millis, Timestamp};
use std::time::Duration;
use zerocopy::little_endian::U64;
use zerocopy::{FromBytes, IntoBytes};

/// The bytes of a frame; `sequence` numbers the frames of a connection.
pub fn encode(sender: Sender, sequence: u64, payload: &Payload) -> Vec<u8> {
    let mut head = empty_head(sender, sequence);
    let mut body = Vec::new();
    write_payload(payload, &mut head, &mut body);
    head.length = (body.len() as u32).into();
    let mut bytes = head.as_bytes().to_vec();
    bytes.append(&mut body);
    bytes
}

fn empty_head(sender: Sender, sequence: u64) -> Head {
    Head {
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
    }
}

/// Fields of the head have another meaning in frames that are not leadership's, since earlier versions read the same
/// layout: `stamp` numbers the frame where it has a number, and `state_age` then holds the time that it echoes.
fn write_payload(payload: &Payload, head: &mut Head, body: &mut Vec<u8>) {
    match payload {
        Payload::Leadership(status, message) => write_leadership(*status, *message, head),
        Payload::Summary(jobs) => {
            head.kind = SUMMARY;
            write_summary(jobs, body);
        }
        Payload::RelayedHeartbeat { id, stamp, heartbeat } => {
            (head.kind, head.stamp, head.state_age) =
                (RELAYED_HEARTBEAT, (*id).into(), stamp.as_micros().into());
            heartbeat::write(heartbeat, body);
        }
        Payload::RelayedResponse { id, token, leaseholder_may_respond, task_commands } => {
            (head.kind, head.stamp) = (RELAYED_RESPONSE, (*id).into());
            head.token = token.unwrap_or(FencingToken::NONE).0.into();
            head.workers = u32::from(*leaseholder_may_respond).into();
            for command in task_commands {
                body.extend_from_slice(task_command::encode(command).as_bytes());
            }
        }
        Payload::WakeRequest(machines) => {
            head.kind = WAKE_REQUEST;
            names::write(machines, body);
        }
        Payload::ShardHeartbeat { id, stamp, complete, without_lease, machines } => {
            (head.kind, head.stamp, head.state_age) =
                (SHARD_HEARTBEAT, (*id).into(), stamp.as_micros().into());
            head.workers = u32::from(*complete).into();
            head.successor = u32::from(*without_lease).into();
            names::write(machines, body);
        }
        Payload::ShardHeartbeatAck { id, lease_ms } => {
            (head.kind, head.stamp, head.workers) = (SHARD_HEARTBEAT_ACK, (*id).into(), (*lease_ms).into());
        }
        Payload::Attestation(attestation) => {
            (head.kind, head.stamp) = (ATTESTATION, attestation.echo.as_micros().into());
            write_attestation(attestation, body);
        }
    }
}

fn write_leadership(status: Status, message: Message, head: &mut Head) {
    head.state_age = to_micros(status.store_answer_age).into();
    head.workers = status.worker_heartbeats.into();
    head.abilities = (if status.gives_attestations { ATTESTS } else { 0 }).into();
    let (kind, token, stamp) = match message {
        Message::Heartbeat { token, sent } => (LEADER_HEARTBEAT, token, sent),
        Message::Grant { token, echo } => (GRANT, token, echo),
        Message::VoteRequest { sent } => (VOTE_REQUEST, FencingToken::NONE, sent),
        Message::Vote { echo } => (VOTE, FencingToken::NONE, echo),
        Message::HandOver { token, successor } => {
            head.successor = (successor as u32).into();
            (RELEASE, token, Timestamp::ZERO)
        }
    };
    head.kind = kind;
    head.token = token.0.into();
    head.stamp = stamp.as_micros().into();
}

fn write_summary(jobs: &[JobSummary], body: &mut Vec<u8>) {
    for JobSummary { job_id, counts } in &jobs[..jobs.len().min(MAX_SUMMARY_JOBS)] {
        let line = SummaryLine {
            job_id: job_id.0.into(),
            done: counts.succeeded.into(),
            running: counts.running.into(),
        };
        body.extend_from_slice(line.as_bytes());
    }
}

fn write_attestation(attestation: &Attestation, body: &mut Vec<u8>) {
    let line = AttestationLine {
        for_incarnation: attestation.for_incarnation.into(),
        incarnation_age: to_micros(attestation.incarnation_age).into(),
        acknowledged: attestation.acknowledged.into(),
        last: attestation.last_number.into(),
        confirmations_suspended: attestation.confirmations_suspended.into(),
        reserved: 0,
        requested: (attestation.requested.len() as u16).into(),
        start_promise_ms: (to_millis(attestation.start_promise) as u32).into(),
    };
    body.extend_from_slice(line.as_bytes());
    for job_id in attestation.cancelled.iter().chain(&attestation.requested) {
        body.extend_from_slice(U64::new(*job_id).as_bytes());
    }
}

/// How many bytes follow this head.
pub(super) fn body_length(head: &[u8]) -> Result<usize, FrameError> {
    let head = Head::ref_from_bytes(head).map_err(|_| FrameError::WrongLength)?;
    if head.magic.get() != MAGIC {
        return Err(FrameError::OtherVersion);
    }
    let length = head.length.get() as usize;
    match head.kind {
        LEADER_HEARTBEAT..=RELEASE | SHARD_HEARTBEAT_ACK if length == 0 => Ok(0),
        SUMMARY..=SHARD_HEARTBEAT | ATTESTATION if length <= MAX_BODY_LENGTH => Ok(length),
        _ => Err(FrameError::UnknownKind),
    }
}

/// Reads a whole frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    let (head, body) = Head::ref_from_prefix(bytes).map_err(|_| FrameError::TooShort)?;
    if body_length(head.as_bytes())? != body.len() {
        return Err(FrameError::WrongLength);
    }
    Ok(Frame {
        node: head.node.into(),
        incarnation: head.incarnation.get(),
        sequence: head.sequence.get(),
        payload: read_payload(head, body)?,
    })
}

/// The payload of a head whose kind [`body_length`] knows.
fn read_payload(head: &Head, body: &[u8]) -> Result<Payload, FrameError> {
    let token = FencingToken(head.token.get());
    // The number or the instant, see `write_payload`.
    let number = head.stamp.get();
    let stamp = Timestamp::from_micros(number);
    let echoed = Timestamp::from_micros(head.state_age.get());
    Ok(match head.kind {
        LEADER_HEARTBEAT => read_leadership(head, Message::Heartbeat { token, sent: stamp }),
        GRANT => read_leadership(head, Message::Grant { token, echo: stamp }),
        VOTE_REQUEST => read_leadership(head, Message::VoteRequest { sent: stamp }),
        VOTE => read_leadership(head, Message::Vote { echo: stamp }),
        RELEASE => {
            read_leadership(head, Message::HandOver { token, successor: head.successor.get() as usize })
        }
        SUMMARY => Payload::Summary(read_summary(body)?),
        RELAYED_HEARTBEAT => {
            Payload::RelayedHeartbeat { id: number, stamp: echoed, heartbeat: heartbeat::read(body)? }
        }
        RELAYED_RESPONSE => {
            let lines = <[TaskCommandLine]>::ref_from_bytes(body).map_err(|_| FrameError::WrongLength)?;
            Payload::RelayedResponse {
                id: number,
                token: (token > FencingToken::NONE).then_some(token),
                leaseholder_may_respond: head.workers.get() != 0,
                task_commands: lines.iter().map(task_command::decode).collect::<Result<_, _>>()?,
            }
        }
        WAKE_REQUEST => Payload::WakeRequest(names::read(body)?),
        SHARD_HEARTBEAT => Payload::ShardHeartbeat {
            id: number,
            stamp: echoed,
            complete: head.workers.get() != 0,
            without_lease: head.successor.get() != 0,
            machines: names::read(body)?,
        },
        ATTESTATION => Payload::Attestation(read_attestation(stamp, body)?),
        _ => Payload::ShardHeartbeatAck { id: number, lease_ms: head.workers.get() },
    })
}

fn read_leadership(head: &Head, message: Message) -> Payload {
    let status = Status {
        store_answer_age: Duration::from_micros(head.state_age.get()),
        worker_heartbeats: head.workers.get(),
        ready_machines: 0,
        gives_attestations: head.abilities.get() & ATTESTS != 0,
    };
    Payload::Leadership(status, message)
}

fn read_summary(body: &[u8]) -> Result<Vec<JobSummary>, FrameError> {
    let lines = <[SummaryLine]>::ref_from_bytes(body).map_err(|_| FrameError::WrongLength)?;
    let job = |line: &SummaryLine| JobSummary {
        job_id: JobId(line.job_id.get()),
        counts: TaskCounts { succeeded: line.done.get(), running: line.running.get() },
    };
    Ok(lines.iter().map(job).collect())
}

fn read_attestation(echo: Timestamp, body: &[u8]) -> Result<Attestation, FrameError> {
    let (line, rest) = AttestationLine::ref_from_prefix(body).map_err(|_| FrameError::AttestationTooShort)?;
    let job_ids = <[U64]>::ref_from_bytes(rest).map_err(|_| FrameError::WrongLength)?;
    let cancelled_count = job_ids.len().checked_sub(line.requested.get().into());
    let (cancelled, requested) = job_ids.split_at(cancelled_count.ok_or(FrameError::WrongLength)?);
    let numbers = |job_ids: &[U64]| job_ids.iter().map(|job_id| job_id.get()).collect();
    Ok(Attestation {
        for_incarnation: line.for_incarnation.get(),
        echo,
        incarnation_age: Duration::from_micros(line.incarnation_age.get()),
        confirmations_suspended: line.confirmations_suspended != 0,
        start_promise: Duration::from_millis(line.start_promise_ms.get().into()),
        acknowledged: line.acknowledged.get(),
        last_number: line.last.get(),
        cancelled: numbers(cancelled),
        requested: numbers(requested),
    })
}
