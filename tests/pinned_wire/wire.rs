//! HTTP as bytes: a client that shows whole answers, and a stand-in that shows whole requests. Lines of the head that
//! change from run to run (`date`, `host`) keep their names only.

use crate::processes;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than any time limit of ours: it only ends a test of a broken program.
const PATIENCE: Duration = Duration::from_secs(30);

/// A request or an answer.
pub struct Message {
    head: String,
    pub body: String,
}

impl Message {
    /// The request line, or the line of the status.
    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Every byte, the volatile ones aside: the lines of the head, then the body.
    pub fn text(&self) -> String {
        let shown = |line| match line {
            line if str::starts_with(line, "date: ") => "date: -",
            line if str::starts_with(line, "host: ") => "host: -",
            line => line,
        };
        let lines: Vec<&str> = self.head.split("\r\n").map(shown).collect();
        format!("{}\n{:?}", lines.join("\n"), self.body)
    }
}

/// Reads one message; `None` when the connection ends.
async fn receive(stream: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        read_more(stream, &mut bytes).await?;
    };
    let head = String::from_utf8(bytes[..head_end].to_vec()).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let end = head_end + 4 + length.map_or(0, |length| length.parse::<usize>().unwrap());
    while bytes.len() < end {
        read_more(stream, &mut bytes).await?;
    }
    assert_eq!(bytes.len(), end, "nothing comes after the body");
    Some(Message { head, body: String::from_utf8(bytes[head_end + 4..].to_vec()).unwrap() })
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let mut part = vec![0; 16 * 1024];
    let read = tokio::time::timeout(PATIENCE, stream.read(&mut part)).await.ok()?.ok()?;
    bytes.extend_from_slice(&part[..read]);
    (read > 0).then_some(())
}

/// Asks an address; `None` when it does not answer.
pub async fn try_ask(address: SocketAddr, line: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("{line} HTTP/1.1\r\nhost: dockpier\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await.ok()?;
    receive(&mut stream).await
}

/// Asks an address and waits for its answer.
pub async fn ask(address: SocketAddr, line: &str, body: &str) -> Message {
    try_ask(address, line, body).await.unwrap_or_else(|| panic!("no answer to {line}"))
}

/// The status and body of an answer of a stand-in.
pub type Answer = (u16, String);

/// A stand-in on loopback: answers as it is told, and keeps what it was asked.
pub struct StandIn {
    pub address: SocketAddr,
    asked: Arc<Mutex<Vec<Message>>>,
}

impl StandIn {
    /// Starts it.
    pub async fn start(answer: impl Fn(&Message) -> Answer + Send + Sync + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, asked) = (listener.local_addr().unwrap(), Arc::default());
        let (answer, kept) = (Arc::new(answer), Arc::clone(&asked));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&answer), Arc::clone(&kept)));
            }
        });
        StandIn { address, asked }
    }

    /// Gives every request the same answer.
    pub async fn answering(status: u16, body: &str) -> StandIn {
        let body = body.to_string();
        StandIn::start(move |_| (status, body.clone())).await
    }

    /// What it was asked since this was last called.
    pub fn asked(&self) -> Vec<Message> {
        std::mem::take(&mut self.asked.lock().unwrap())
    }

    /// The same, as text.
    pub fn asked_text(&self) -> String {
        self.asked().iter().map(Message::text).collect::<Vec<_>>().join("\n")
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: Arc<impl Fn(&Message) -> Answer>,
    asked: Arc<Mutex<Vec<Message>>>,
) {
    while let Some(request) = receive(&mut stream).await {
        let (status, body) = answer(&request);
        asked.lock().unwrap().push(request);
        let head = format!("HTTP/1.1 {status} said\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all(format!("{head}{body}").as_bytes()).await.is_err() {
            return;
        }
    }
}

/// An address where nobody listens, on a loopback host of its own: connections made by anybody else come from another
/// host and can't take the port. It always has as many digits, so that texts which name it are as long.
pub fn nobody() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(100);
    let (process, host) = (std::process::id(), HOSTS.fetch_add(1, Ordering::Relaxed));
    assert!((100..200).contains(&host), "three digits");
    let part = |number: u32| 100 + (number % 100) as u8;
    let host = std::net::Ipv4Addr::new(127, part(process / 100), part(process), host);
    let addresses = std::iter::repeat_with(|| {
        let [address] = processes::free_addresses(host);
        address
    });
    addresses.into_iter().find(|address| address.port() >= 10_000).unwrap()
}
