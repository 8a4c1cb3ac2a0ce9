//! A node that gives the same answers again and again, and keeps what it was asked.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// What the node answers to a method and path: a status and a body; without one it hangs up.
pub struct Canned {
    pub asked: &'static str,
    pub answer: Option<(u16, String)>,
}

impl Canned {
    pub fn new(asked: &'static str, status: u16, body: impl Into<String>) -> Self {
        Canned { asked, answer: Some((status, body.into())) }
    }

    /// Hangs up once it has read the request.
    pub fn hangs_up(asked: &'static str) -> Self {
        Canned { asked, answer: None }
    }
}

/// The node; its thread ends with the test.
pub struct CannedNode {
    pub address: SocketAddr,
    asked: Arc<Mutex<Vec<String>>>,
}

impl CannedNode {
    pub fn start(answers: Vec<Canned>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let kept = asked.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serve(stream, &answers, &kept);
            }
        });
        CannedNode { address, asked }
    }

    /// What it was asked, in order: method, path and body.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().unwrap().clone()
    }
}

/// Answers one request and closes the connection.
fn serve(mut stream: TcpStream, answers: &[Canned], kept: &Mutex<Vec<String>>) {
    let Some((asked, body)) = request(&stream) else { return };
    kept.lock().unwrap().push(format!("{asked} {body}").trim_end().to_string());
    let found = answers.iter().find(|canned| canned.asked == asked);
    let not_canned = || Canned::new("", 404, "{\"error\":\"not canned\"}");
    let Some((status, body)) = found.map_or_else(|| not_canned().answer, |c| c.answer.clone()) else {
        return;
    };
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
    // The client may have gone.
    let _ = stream.write_all((head + &body).as_bytes());
}

/// Method with path, and body.
fn request(stream: &TcpStream) -> Option<(String, String)> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok()?;
    let asked = first.rsplit_once(' ')?.0.to_string();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((asked, String::from_utf8(body).ok()?))
}
