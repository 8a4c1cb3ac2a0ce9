//! The fixed layouts of frames, and the numbers that tell their kinds apart. Earlier versions read the same bytes.

use crate::limits;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// The last digits are the version of these layouts.
pub(super) const MAGIC: u32 = 0x444b_5003;

/// The head of every frame; `length` bytes follow it.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct Head {
    pub(super) magic: U32,
    pub(super) length: U32,
    pub(super) kind: u8,
    pub(super) node: u8,
    /// What the sender can do beyond the first version of these layouts, which ignores these bits.
    pub(super) abilities: U16,
    pub(super) incarnation: U64,
    pub(super) sequence: U64,
    pub(super) state_age: U64,
    pub(super) workers: U32,
    pub(super) successor: U32,
    pub(super) token: U64,
    pub(super) stamp: U64,
}

/// One job of a summary, for display.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct SummaryLine {
    pub(super) job_id: U64,
    pub(super) done: U32,
    pub(super) running: U32,
}

/// A worker's heartbeat on its way to the leader; the tasks and then the names follow it.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct HeartbeatLine {
    pub(super) agent_epoch: U64,
    pub(super) sequence: U64,
    pub(super) token: U64,
    /// Microseconds until the cloud takes the machine; all ones: no notice.
    pub(super) notice: U64,
    pub(super) tasks: U32,
    pub(super) spot: u8,
    pub(super) machine: u8,
    pub(super) address: u8,
    pub(super) machine_type: u8,
    pub(super) zone: u8,
    pub(super) reserved: [u8; 3],
}

#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct TaskLine {
    pub(super) job_id: U64,
    pub(super) attempt: U64,
    pub(super) task: U32,
    pub(super) status: u8,
    pub(super) reserved: [u8; 3],
}

/// A command to a worker.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct TaskCommandLine {
    pub(super) job_id: U64,
    pub(super) attempt: U64,
    pub(super) grace_ms: U32,
    pub(super) task: U32,
    pub(super) kind: u8,
    pub(super) reserved: [u8; 7],
}

/// What a controller attests of cancellations; the numbers of the cancelled jobs follow it.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
pub(super) struct AttestationLine {
    pub(super) for_incarnation: U64,
    pub(super) incarnation_age: U64,
    pub(super) acknowledged: U64,
    pub(super) last: U64,
    pub(super) confirmations_suspended: u8,
    pub(super) reserved: u8,
    /// How many of the numbers that follow, at their end, are of jobs that users asked to cancel. Zero from and to
    /// earlier versions.
    pub(super) requested: U16,
    /// Zero from earlier versions, which ignore it.
    pub(super) start_promise_ms: U32,
}

pub(super) const LEADER_HEARTBEAT: u8 = 1;
pub(super) const GRANT: u8 = 2;
pub(super) const VOTE_REQUEST: u8 = 3;
pub(super) const VOTE: u8 = 4;
pub(super) const RELEASE: u8 = 5;
pub(super) const SUMMARY: u8 = 6;
pub(super) const RELAYED_HEARTBEAT: u8 = 7;
pub(super) const RELAYED_RESPONSE: u8 = 8;
pub(super) const WAKE_REQUEST: u8 = 9;
pub(super) const SHARD_HEARTBEAT: u8 = 10;
pub(super) const SHARD_HEARTBEAT_ACK: u8 = 11;
/// Sent only to nodes that have shown `ATTESTS` in their present incarnation: others drop the connection.
pub(super) const ATTESTATION: u8 = 12;

/// The sender gives and takes attestations.
pub(super) const ATTESTS: u16 = 1;

pub(super) const NO_NOTICE: u64 = u64::MAX;
/// The most bytes that may follow a head: a heartbeat is at most a request body.
pub(super) const MAX_BODY_LENGTH: usize = limits::MAX_BODY_BYTES;

/// What a summary frame can carry at most.
pub const MAX_SUMMARY_JOBS: usize = MAX_BODY_LENGTH / size_of::<SummaryLine>();
