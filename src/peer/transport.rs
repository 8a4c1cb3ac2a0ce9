//! Connections between controllers: one to each peer, and those that peers make.

use super::codec::{decode, encode, following};
use super::layout::Head;
use super::{Payload, Received, Sender};
use crate::limits;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tracing::{debug, warn};

/// Keeps a connection to one peer and sends what is queued. A peer that does not answer holds
/// nothing up: the queue is bounded, and its senders drop what does not fit.
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

/// Which incarnation of each node is the latest, and which of its connections.
type Latest = std::sync::Arc<std::sync::Mutex<std::collections::HashMap<usize, (u64, u64)>>>;

/// Accepts the peers' connections and passes on what arrives.
pub async fn listen(listener: TcpListener, nodes: usize, me: usize, to: mpsc::Sender<Received>) {
    let latest = Latest::default();
    let refused = std::sync::Arc::new(AtomicU64::new(0));
    let mut connection = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connection += 1;
                let _ = stream.set_nodelay(true);
                let (latest, refused, to) = (latest.clone(), refused.clone(), to.clone());
                tokio::spawn(async move {
                    // A frame that can't be read says that its connection can't be relied on.
                    if let Err(why) = receive(stream, connection, nodes, me, latest, to).await {
                        let count = refused.fetch_add(1, Ordering::Relaxed) + 1;
                        warn!(why, count, "malformed frame: connection dropped");
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
    me: usize,
    latest: Latest,
    to: mpsc::Sender<Received>,
) -> Result<(), &'static str> {
    let mut stream = BufReader::new(stream);
    let mut bytes = vec![0; size_of::<Head>()];
    loop {
        bytes.resize(size_of::<Head>(), 0);
        if stream.read_exact(&mut bytes).await.is_err() {
            return Ok(());
        }
        let more = following(&bytes)?;
        bytes.resize(size_of::<Head>() + more, 0);
        if stream.read_exact(&mut bytes[size_of::<Head>()..]).await.is_err() {
            return Ok(());
        }
        let (from, incarnation, _, payload) = decode(&bytes)?;
        if from >= nodes || from == me {
            return Err("from nobody");
        }
        if let Ok(mut latest) = latest.lock() {
            let known = latest.entry(from).or_insert((incarnation, connection));
            // A later connection is from the later incarnation; bytes that a cut held back from an
            // earlier one may still arrive and must do nothing.
            if connection < known.1 && incarnation != known.0 {
                debug!(from, "frame of an earlier incarnation: connection dropped");
                return Ok(());
            }
            *known = (incarnation, connection.max(known.1));
        }
        if to.send(Received { from, incarnation, payload }).await.is_err() {
            return Ok(());
        }
    }
}
