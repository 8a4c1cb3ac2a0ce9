//! Why bytes from a peer are no frame.

use thiserror::Error;

/// Why bytes from a peer are no frame. The connection that they came on is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// Fewer bytes than a head.
    #[error("too short")]
    TooShort,
    /// The head promises another number of bytes than there are, or the body is no whole number of lines.
    #[error("wrong length")]
    WrongLength,
    /// The magic number is another one.
    #[error("not a frame of this version")]
    OtherVersion,
    /// The kind is not known, or a frame of this kind can't have this length.
    #[error("unknown kind or length")]
    UnknownKind,
    /// A heartbeat ends before what it announces.
    #[error("heartbeat too short")]
    HeartbeatTooShort,
    /// The state of a task has an unknown number.
    #[error("unknown task status")]
    UnknownTaskStatus,
    /// A command to a worker has an unknown number.
    #[error("unknown task command")]
    UnknownTaskCommand,
    /// A name ends before its length.
    #[error("name too short")]
    NameTooShort,
    /// A name is not UTF-8.
    #[error("name is not text")]
    NameNotText,
    /// An attestation ends before its fixed part.
    #[error("attestation too short")]
    AttestationTooShort,
    /// The sender's index is this node's own, or no node has it.
    #[error("from nobody")]
    UnknownSender,
}
