//! HTTP/1.1 over loopback: a server with a thread for each connection, a client with a connection for each request,
//! and a proxy that can be cut.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub body: String,
}

pub type Handler = Arc<dyn Fn(Request) -> (u16, String) + Send + Sync>;

pub fn listen(host: Ipv4Addr) -> TcpListener {
    TcpListener::bind((host, 0)).expect("a loopback address can be bound")
}

pub fn serve(listener: TcpListener, handler: Handler) -> SocketAddr {
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let headers = read_headers(&mut reader)?;
        let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_string(),
            query: query.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
            body: String::from_utf8(body).ok()?,
        };
        let (status, body) = handler(request);
        let head = format!("HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n", body.len());
        writer.write_all((head + &body).as_bytes()).ok()?;
        if headers.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return None;
        }
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Some(headers),
        }
    }
}

/// Sends one request; the status and the body, or nothing if no whole answer came in time.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, timeout: Duration) -> Option<(u16, String)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut answer = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&chunk[..n]),
            Err(_) => return None,
        }
        if let Some(whole) = whole_answer(&answer) {
            return Some(whole);
        }
    }
    whole_answer(&answer)
}

fn whole_answer(bytes: &[u8]) -> Option<(u16, String)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let lengths = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lengths.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = lengths.next().and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(0);
    let body = bytes.get(head_end + 4..head_end + 4 + length)?;
    Some((status, String::from_utf8_lossy(body).into_owned()))
}

/// Passes bytes on to `target`. While `cut` is set, what is under way is held back, and new connections get nothing.
pub fn proxy(host: Ipv4Addr, target: SocketAddr, cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = listen(host);
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || {
                if cut.load(Ordering::SeqCst) {
                    // A connection that was attempted during the cut never completes.
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else { return };
                let other_cut = cut.clone();
                thread::spawn(move || pump(from_server, client, other_cut));
                pump(from_client, server, cut);
            });
        }
    });
    address
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: Arc<AtomicBool>) {
    let mut chunk = [0; 64 * 1024];
    while let Ok(n) = from.read(&mut chunk) {
        while cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        if n == 0 || to.write_all(&chunk[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}
