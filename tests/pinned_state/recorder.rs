//! Stands before the stand-in of the state service and keeps every transaction as it came, byte for byte.

use poem::http::Method;
use poem::listener::TcpAcceptor;
use poem::web::Data;
use poem::{handler, Body, EndpointExt, Request, Response, Route, Server};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Hands requests on, and keeps transactions.
#[derive(Clone)]
pub struct Recorder {
    behind: SocketAddr,
    client: reqwest::Client,
    transactions: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    /// One that hands on to this address, and its own address.
    pub async fn start(behind: SocketAddr) -> (Self, SocketAddr) {
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let recorder = Recorder { behind, client, transactions: Arc::default() };
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let acceptor = TcpAcceptor::from_tokio(listener).unwrap();
        let routes = Route::new().at("/*path", hand_on).data(recorder.clone());
        tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
        (recorder, address)
    }

    /// The first transaction that has this text.
    pub fn first_with(&self, text: &str) -> Option<String> {
        self.transactions.lock().unwrap().iter().find(|transaction| transaction.contains(text)).cloned()
    }
}

#[handler]
async fn hand_on(Data(recorder): Data<&Recorder>, request: &Request, body: Body) -> Response {
    let path = request.uri().path_and_query().unwrap().as_str();
    let body = body.into_bytes().await.unwrap();
    if request.method() == Method::POST && path == "/multi" {
        let text = String::from_utf8(body.to_vec()).unwrap();
        recorder.transactions.lock().unwrap().push(text);
    }
    let url = format!("http://{}{path}", recorder.behind);
    let handed_on = recorder.client.request(request.method().clone(), url).body(body.to_vec());
    let answer = handed_on.header("content-type", "application/json").send().await;
    let Ok(answer) = answer else { return poem::http::StatusCode::BAD_GATEWAY.into() };
    let status = answer.status();
    Response::builder().status(status).body(answer.bytes().await.unwrap_or_default().to_vec())
}
