//! Links between controllers that deliver a copy of each frame once more, up to some seconds later.

use dockpier::leadership::{Message, Status};
use dockpier::peer::{decode, encode, Payload, Sender};
use dockpier::scheduler::TaskCommand;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// How long after a frame its copy is delivered; each frame takes the next of them. Some are within the time for which
/// a relayed heartbeat waits for its answer, some beyond it and beyond the restart of a process.
const COPY_DELAYS_MS: [u64; 7] = [20, 150, 500, 1_000, 1_700, 3_000, 6_000];

/// Listens on an address of its own, and passes on to `peer` what arrives there, each frame twice. Counts in
/// `copied_starts` the copies of answers to relayed heartbeats that carry a start command.
pub async fn copying_link(peer: SocketAddr, copied_starts: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward(stream, peer, copied_starts.clone()));
        }
    });
    address
}

/// Passes on the frames of one connection, until either side ends it.
async fn forward(mut from: TcpStream, peer: SocketAddr, copied_starts: Arc<AtomicUsize>) {
    let Ok(mut live) = TcpStream::connect(peer).await else { return };
    let copies = copy_sender(peer).await;
    for number in 0.. {
        let Some(frame) = read_frame(&mut from).await else { return };
        if live.write_all(&frame).await.is_err() {
            return;
        }
        let delay = Duration::from_millis(COPY_DELAYS_MS[number % COPY_DELAYS_MS.len()]);
        let (copies, copied_starts) = (copies.clone(), copied_starts.clone());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            copied_starts.fetch_add(usize::from(carries_start(&frame)), Ordering::Relaxed);
            let _ = copies.send(frame);
        });
    }
}

/// A connection for the copies, opened beside the one that they are copies of. Where the peer has been restarted
/// meanwhile, they reach its next process.
async fn copy_sender(peer: SocketAddr) -> mpsc::UnboundedSender<Vec<u8>> {
    let (sender, mut frames) = mpsc::unbounded_channel::<Vec<u8>>();
    let mut stream = TcpStream::connect(peer).await.ok();
    tokio::spawn(async move {
        while let Some(frame) = frames.recv().await {
            let written = match &mut stream {
                Some(stream) => stream.write_all(&frame).await.is_ok(),
                None => false,
            };
            if !written {
                stream = TcpStream::connect(peer).await.ok();
                if let Some(stream) = &mut stream {
                    let _ = stream.write_all(&frame).await;
                }
            }
        }
    });
    sender
}

/// Reads one frame; None when the connection has ended. A frame has a head of a fixed length, which holds the length
/// of what follows in its second four bytes.
async fn read_frame(from: &mut TcpStream) -> Option<Vec<u8>> {
    let mut frame = vec![0; head_length()];
    from.read_exact(&mut frame).await.ok()?;
    let body_length = u32::from_le_bytes(frame[4..8].try_into().unwrap()) as usize;
    let mut body = vec![0; body_length];
    from.read_exact(&mut body).await.ok()?;
    frame.extend(body);
    Some(frame)
}

/// The length of a frame that has nothing but its head.
fn head_length() -> usize {
    let status = Status {
        store_answer_age: Duration::ZERO,
        worker_heartbeats: 0,
        ready_machines: 0,
        gives_attestations: true,
    };
    let message = Message::VoteRequest { sent: dockpier::time::Timestamp::ZERO };
    encode(Sender { node: 0, incarnation: 0 }, 1, &Payload::Leadership(status, message)).len()
}

fn carries_start(frame: &[u8]) -> bool {
    let is_start = |command: &TaskCommand| matches!(command, TaskCommand::Start { .. });
    match decode(frame).map(|frame| frame.payload) {
        Ok(Payload::RelayedResponse { token: Some(_), task_commands, .. }) => {
            task_commands.iter().any(is_start)
        }
        _ => false,
    }
}
