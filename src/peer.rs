//! Frames between controllers: a fixed layout each, read in place.

use crate::leadership::{Message, Status};
use crate::limits;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tracing::{debug, warn};
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

const MAGIC: u32 = 0x444b_5001;

/// The head of every frame; `count` job lines follow a summary, nothing follows the others.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Head {
    magic: U32,
    kind: u8,
    node: u8,
    count: U16,
    incarnation: U64,
    sequence: U64,
    state_age: U64,
    workers: U32,
    successor: U32,
    token: U64,
    stamp: U64,
}

/// One job of a summary, for display.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Line {
    uid: U64,
    done: U32,
    running: U32,
}

const HEARTBEAT: u8 = 1;
const GRANT: u8 = 2;
const PROMISE_REQUEST: u8 = 3;
const PROMISE: u8 = 4;
const RELEASE: u8 = 5;
const SUMMARY: u8 = 6;

/// What a summary frame can carry at most.
pub const SUMMARY_MOST: usize = 4_000;

#[derive(Debug, Clone)]
pub enum Payload {
    Leadership(Status, Message),
    /// (job number, finished, running)
    Summary(Vec<(u64, u32, u32)>),
}

#[derive(Debug)]
pub struct Received {
    pub from: usize,
    pub payload: Payload,
}

/// Who we are, in every frame.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    pub node: usize,
    pub incarnation: u64,
}

pub fn encode(sender: Sender, sequence: u64, payload: &Payload) -> Vec<u8> {
    let mut head = Head {
        magic: MAGIC.into(),
        kind: 0,
        node: sender.node as u8,
        count: 0.into(),
        incarnation: sender.incarnation.into(),
        sequence: sequence.into(),
        state_age: 0.into(),
        workers: 0.into(),
        successor: 0.into(),
        token: 0.into(),
        stamp: 0.into(),
    };
    let mut lines: &[(u64, u32, u32)] = &[];
    match payload {
        Payload::Leadership(status, message) => {
            head.state_age = status.state_age.into();
            head.workers = status.workers.into();
            let (kind, token, stamp) = match *message {
                Message::Heartbeat { token, sent } => (HEARTBEAT, token, sent),
                Message::Grant { token, echo } => (GRANT, token, echo),
                Message::PromiseRequest { sent } => (PROMISE_REQUEST, 0, sent),
                Message::Promise { echo } => (PROMISE, 0, echo),
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
            lines = &all[..all.len().min(SUMMARY_MOST)];
            head.kind = SUMMARY;
            head.count = (lines.len() as u16).into();
        }
    }
    let mut bytes = head.as_bytes().to_vec();
    for (uid, done, running) in lines {
        let line = Line { uid: (*uid).into(), done: (*done).into(), running: (*running).into() };
        bytes.extend_from_slice(line.as_bytes());
    }
    bytes
}

/// How many bytes follow this head, or why it is no frame.
fn following(head: &[u8]) -> Result<usize, &'static str> {
    let head = Head::ref_from_bytes(head).map_err(|_| "wrong length")?;
    if head.magic.get() != MAGIC {
        return Err("not a frame of this service");
    }
    let count = usize::from(head.count.get());
    match head.kind {
        SUMMARY if count <= SUMMARY_MOST => Ok(count * size_of::<Line>()),
        HEARTBEAT..=RELEASE if count == 0 => Ok(0),
        _ => Err("unknown kind or count"),
    }
}

/// (node, incarnation, sequence, payload) of a whole frame.
pub fn decode(bytes: &[u8]) -> Result<(usize, u64, u64, Payload), &'static str> {
    let (head, rest) = Head::ref_from_prefix(bytes).map_err(|_| "too short")?;
    if following(head.as_bytes())? != rest.len() {
        return Err("wrong length");
    }
    let (token, stamp) = (head.token.get(), head.stamp.get());
    let status = Status { state_age: head.state_age.get(), workers: head.workers.get(), machines: 0 };
    let message = match head.kind {
        HEARTBEAT => Message::Heartbeat { token, sent: stamp },
        GRANT => Message::Grant { token, echo: stamp },
        PROMISE_REQUEST => Message::PromiseRequest { sent: stamp },
        PROMISE => Message::Promise { echo: stamp },
        RELEASE => Message::Release { token, successor: head.successor.get() as usize },
        _ => {
            let lines = <[Line]>::ref_from_bytes(rest).map_err(|_| "wrong length")?;
            let lines = lines.iter().map(|l| (l.uid.get(), l.done.get(), l.running.get())).collect();
            return Ok((
                head.node.into(),
                head.incarnation.get(),
                head.sequence.get(),
                Payload::Summary(lines),
            ));
        }
    };
    let payload = Payload::Leadership(status, message);
    Ok((head.node.into(), head.incarnation.get(), head.sequence.get(), payload))
}

/// Keeps a connection to one peer and sends what is queued. A peer that does not answer holds
/// nothing up: the queue is bounded, and its senders drop what does not fit.
pub async fn send_to(address: SocketAddr, sender: Sender, mut queue: mpsc::Receiver<Payload>) {
    let mut sequence = 0;
    let mut stream: Option<TcpStream> = None;
    while let Some(payload) = queue.recv().await {
        sequence += 1;
        if stream.is_none() {
            let connect = tokio::time::timeout(limits::CONNECT_TIMEOUT, TcpStream::connect(address));
            stream = match connect.await {
                Ok(Ok(connected)) => {
                    // Without it small frames would wait for one another; failing costs only time.
                    let _ = connected.set_nodelay(true);
                    Some(connected)
                }
                _ => None,
            };
            if stream.is_none() {
                // What queued up meanwhile is old news.
                while queue.try_recv().is_ok() {}
                continue;
            }
        }
        if let Some(connected) = &mut stream {
            let frame = encode(sender, sequence, &payload);
            let write = tokio::time::timeout(limits::CONNECT_TIMEOUT, connected.write_all(&frame));
            if !matches!(write.await, Ok(Ok(()))) {
                debug!(%address, "peer connection lost");
                stream = None;
            }
        }
    }
}

/// Which incarnation of each node is the latest, and which of its connections.
type Latest = std::sync::Arc<std::sync::Mutex<std::collections::HashMap<usize, (u64, u64)>>>;

/// Accepts the peers' connections and passes on what arrives.
pub async fn listen(listener: TcpListener, nodes: usize, me: usize, to: mpsc::Sender<Received>) {
    let latest = Latest::default();
    let mut connection = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connection += 1;
                let _ = stream.set_nodelay(true);
                tokio::spawn(receive(stream, connection, nodes, me, latest.clone(), to.clone()));
            }
            Err(error) => {
                // Out of sockets, most likely: wait for some to be freed.
                warn!(%error, "cannot accept a peer");
                tokio::time::sleep(limits::CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn receive(
    mut stream: TcpStream,
    connection: u64,
    nodes: usize,
    me: usize,
    latest: Latest,
    to: mpsc::Sender<Received>,
) {
    let mut bytes = vec![0; size_of::<Head>()];
    loop {
        bytes.resize(size_of::<Head>(), 0);
        if stream.read_exact(&mut bytes).await.is_err() {
            return;
        }
        let more = match following(&bytes) {
            Ok(more) => more,
            Err(why) => return warn!(why, "malformed frame: connection dropped"),
        };
        bytes.resize(size_of::<Head>() + more, 0);
        if stream.read_exact(&mut bytes[size_of::<Head>()..]).await.is_err() {
            return;
        }
        let (from, incarnation, _, payload) = match decode(&bytes) {
            Ok(frame) => frame,
            Err(why) => return warn!(why, "malformed frame: connection dropped"),
        };
        if from >= nodes || from == me {
            return warn!(from, "frame from nobody: connection dropped");
        }
        if let Ok(mut latest) = latest.lock() {
            let known = latest.entry(from).or_insert((incarnation, connection));
            // A later connection is from the later incarnation; bytes that a cut held back from an
            // earlier one may still arrive and must do nothing.
            if connection < known.1 && incarnation != known.0 {
                return debug!(from, "frame of an earlier incarnation: connection dropped");
            }
            *known = (incarnation, connection.max(known.1));
        }
        if to.send(Received { from, payload }).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_survive_the_trip_and_garbage_does_not() {
        let sender = Sender { node: 2, incarnation: 77 };
        let status = Status { state_age: 5, workers: 9, machines: 0 };
        for message in [
            Message::Heartbeat { token: 4, sent: 11 },
            Message::Grant { token: 4, echo: 11 },
            Message::PromiseRequest { sent: 3 },
            Message::Promise { echo: 3 },
            Message::Release { token: 4, successor: 1 },
        ] {
            let bytes = encode(sender, 6, &Payload::Leadership(status, message));
            let (node, incarnation, sequence, payload) = decode(&bytes).unwrap();
            assert_eq!((node, incarnation, sequence), (2, 77, 6));
            assert!(matches!(payload, Payload::Leadership(s, m) if s == status && m == message));
            assert!(decode(&bytes[..bytes.len() - 1]).is_err());
        }
        let mut bytes = encode(sender, 1, &Payload::Summary(vec![(412, 3, 1), (413, 0, 0)]));
        assert!(matches!(decode(&bytes).unwrap().3, Payload::Summary(l) if l == [(412, 3, 1), (413, 0, 0)]));
        bytes[4] = 99;
        assert!(decode(&bytes).is_err());
        bytes[0] ^= 1;
        assert!(decode(&bytes).is_err());
    }
}
