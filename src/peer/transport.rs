//! Connections between controllers: one to each peer, and those that peers make.

use super::codec::{body_length, decode, encode};
use super::layout::Head;
use super::{Frame, FrameError, Payload, Received, Sender};
use crate::limits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tracing::{debug, warn};

/// Keeps a connection to one peer and sends what is queued, until the queue's sender is dropped. The queue is bounded and
/// its senders drop what does not fit, so that a peer which does not read delays nobody else.
pub async fn send_to(address: SocketAddr, sender: Sender, mut queue: mpsc::Receiver<Payload>) {
    let mut sequence = 0;
    let mut stream: Option<TcpStream> = None;
    let mut waiting = Vec::new();
    while queue.recv_many(&mut waiting, limits::MAX_PEER_FRAMES_PER_WRITE).await > 0 {
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
                waiting.clear();
                while queue.try_recv().is_ok() {}
                continue;
            }
        }
        // What waits goes out together: every write costs a system call and a packet.
        let mut frames = Vec::new();
        for payload in waiting.drain(..) {
            sequence += 1;
            frames.append(&mut encode(sender, sequence, &payload));
        }
        if let Some(connected) = &mut stream {
            let write = tokio::time::timeout(limits::CONNECT_TIMEOUT, connected.write_all(&frames));
            if !matches!(write.await, Ok(Ok(()))) {
                debug!(%address, "peer connection lost");
                stream = None;
            }
        }
    }
}

/// The latest connection of a node, by the order in which connections were accepted, and the process that made it.
struct LatestConnection {
    incarnation: u64,
    connection: u64,
}

/// By node; shared by all connections.
type LatestConnections = Arc<Mutex<HashMap<usize, LatestConnection>>>;

/// Accepts the peers' connections and passes on what arrives. Each connection has a task of its own, which ends with the
/// connection, with its first malformed frame, or when the receiver of `to` is dropped.
pub async fn listen(listener: TcpListener, nodes: usize, local_node: usize, to: mpsc::Sender<Received>) {
    let latest = LatestConnections::default();
    let refused = Arc::new(AtomicU64::new(0));
    let mut connection = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connection += 1;
                // Failing costs only time.
                let _ = stream.set_nodelay(true);
                let (latest, refused, to) = (latest.clone(), refused.clone(), to.clone());
                tokio::spawn(async move {
                    // A frame that can't be read says that its connection can't be relied on.
                    if let Err(why) = receive(stream, connection, nodes, local_node, latest, to).await {
                        let count = refused.fetch_add(1, Ordering::Relaxed) + 1;
                        warn!(%why, count, "malformed frame: connection dropped");
                    }
                });
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
    stream: TcpStream,
    connection: u64,
    nodes: usize,
    local_node: usize,
    latest: LatestConnections,
    to: mpsc::Sender<Received>,
) -> Result<(), FrameError> {
    let mut stream = BufReader::new(stream);
    let mut bytes = vec![0; size_of::<Head>()];
    loop {
        bytes.resize(size_of::<Head>(), 0);
        if stream.read_exact(&mut bytes).await.is_err() {
            return Ok(());
        }
        let more = body_length(&bytes)?;
        bytes.resize(size_of::<Head>() + more, 0);
        if stream.read_exact(&mut bytes[size_of::<Head>()..]).await.is_err() {
            return Ok(());
        }
        let Frame { node: from, incarnation, payload, .. } = decode(&bytes)?;
        if from >= nodes || from == local_node {
            return Err(FrameError::UnknownSender);
        }
        if !is_current(&latest, from, incarnation, connection) {
            debug!(from, "frame of an earlier incarnation: connection dropped");
            return Ok(());
        }
        if to.send(Received { from, incarnation, payload }).await.is_err() {
            return Ok(());
        }
    }
}

/// Whether a frame of this connection counts. A later connection is from the later incarnation; bytes that a cut held
/// back from an earlier one may still arrive and must have no effect.
fn is_current(latest: &LatestConnections, from: usize, incarnation: u64, connection: u64) -> bool {
    let Ok(mut latest) = latest.lock() else { return true };
    let known = latest.entry(from).or_insert(LatestConnection { incarnation, connection });
    if connection < known.connection && incarnation != known.incarnation {
        return false;
    }
    *known = LatestConnection { incarnation, connection: connection.max(known.connection) };
    true
}
