//! The state service: keys with versions and permits, conditional transactions, a feed of changes, and troubles on demand.

use super::{listen, reply};
use poem::web::{Data, Json, Path, Query};
use poem::{delete, get, handler, post, EndpointExt, Response, Route, Server};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
pub struct State {
    pub revision: u64,
    /// key -> (value, version, permit)
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// permit -> (ends, life)
    permits: BTreeMap<u64, (Instant, Duration)>,
    next_permit: u64,
    changes: Vec<(u64, String, Option<Value>)>,
    pub out: bool,
    /// Answers to readings of one key come this much later than what they say.
    pub slow: Duration,
    pub transactions: u64,
    /// What happens to the answers of transactions that write keys with this prefix.
    pub trouble: Option<(String, Trouble)>,
    /// Transactions without an answer that have not been carried out.
    pub held: Vec<Value>,
    /// Final states that were written over: never allowed.
    pub overwritten: Vec<String>,
}

/// What happens to a transaction that gets no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It is kept, to be carried out later.
    Held,
    /// It is carried out at once.
    AnswerLost,
}

impl State {
    /// The trouble of a transaction, by the keys that it writes.
    fn trouble_of(&self, transaction: &Value) -> Option<Trouble> {
        let (prefix, trouble) = self.trouble.as_ref()?;
        let written = transaction["then"].as_array()?.iter().filter_map(|change| change["write"].as_str());
        let mut concerned = written.filter(|key| key.starts_with(prefix.as_str()));
        concerned.next().map(|_| *trouble)
    }

    /// Carries out what was held, in the order in which it came; the statuses that nobody sees.
    pub fn carry_out_held(&mut self) -> Vec<u16> {
        let held = std::mem::take(&mut self.held);
        held.iter().map(|transaction| self.transact(transaction).0).collect()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.permits.iter().filter(|(_, (at, _))| *at < now).map(|(p, _)| *p).collect();
        ended.into_iter().for_each(|permit| self.end(permit));
    }

    fn end(&mut self, permit: u64) {
        self.permits.remove(&permit);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, k)| k.2 == Some(permit)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.keys.remove(&key);
            self.changes.push((self.revision, key, None));
        }
    }

    fn transact(&mut self, transaction: &Value) -> (u16, Value) {
        self.transactions += 1;
        let text = |v: &Value, field: &str| v[field].as_str().map(String::from);
        let empty = Vec::new();
        let failed: Vec<String> = transaction["when"]
            .as_array()
            .unwrap_or(&empty)
            .iter()
            .filter(|c| {
                let key = text(c, "path").unwrap_or_default();
                self.keys.get(&key).map_or(0, |k| k.1) != c["entry"].as_u64().unwrap_or(0)
            })
            .filter_map(|c| text(c, "path"))
            .collect();
        if !failed.is_empty() {
            return (409, json!({ "failed": failed, "ledger": self.revision }));
        }
        let then = transaction["then"].as_array().unwrap_or(&empty);
        if then.iter().any(|c| c["permit"].as_u64().is_some_and(|p| !self.permits.contains_key(&p))) {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += 1;
        let revision = self.revision;
        for change in then {
            if let Some(key) = text(change, "write") {
                let value = change["value"].clone();
                if key.starts_with("over/") && self.keys.contains_key(&key) {
                    self.overwritten.push(key.clone());
                }
                self.keys.insert(key.clone(), (value.clone(), revision, change["permit"].as_u64()));
                self.changes.push((revision, key, Some(value)));
            } else if let Some(key) = text(change, "remove") {
                self.keys.remove(&key);
                self.changes.push((revision, key, None));
            }
        }
        (200, json!({ "ledger": revision }))
    }
}

type Shared = Arc<Mutex<State>>;

fn open(state: &Shared) -> poem::Result<std::sync::MutexGuard<'_, State>> {
    let mut state = state.lock().unwrap();
    state.expire();
    if state.out {
        return Err(poem::Error::from_response(reply(503, json!({"error": "trouble"}))));
    }
    Ok(state)
}

#[handler]
async fn store_get(Data(state): Data<&Shared>, Path(key): Path<String>) -> poem::Result<Response> {
    let (answer, slow) = {
        let state = open(state)?;
        let answer = match state.keys.get(&key) {
            Some((value, entry, permit)) => {
                reply(200, json!({"path": key, "value": value, "entry": entry, "permit": permit}))
            }
            None => reply(404, json!({ "ledger": state.revision })),
        };
        (answer, state.slow)
    };
    tokio::time::sleep(slow).await;
    Ok(answer)
}

#[handler]
fn store_list(
    Data(state): Data<&Shared>,
    Query(query): Query<BTreeMap<String, String>>,
) -> poem::Result<Response> {
    let state = open(state)?;
    let (prefix, from) = (query.get("prefix").cloned().unwrap_or_default(), query.get("from"));
    let matching: Vec<_> = state
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && from.is_none_or(|from| *key > from))
        .collect();
    // Small pages, so that paging is used.
    let items: Vec<Value> = matching
        .iter()
        .take(3)
        .map(|(key, (value, entry, _))| json!({"path": key, "value": value, "entry": entry}))
        .collect();
    Ok(reply(200, json!({"has_next": matching.len() > 3, "items": items, "ledger": state.revision})))
}

/// No client waits longer for an answer.
const NO_ANSWER: Duration = Duration::from_secs(30);

#[handler]
async fn multi(Data(state): Data<&Shared>, Json(body): Json<Value>) -> poem::Result<Response> {
    let answer = {
        let mut state = open(state)?;
        match state.trouble_of(&body) {
            None => Some(state.transact(&body)),
            Some(Trouble::Held) => {
                state.held.push(body);
                None
            }
            Some(Trouble::AnswerLost) => {
                state.transact(&body);
                None
            }
        }
    };
    let Some((status, body)) = answer else {
        tokio::time::sleep(NO_ANSWER).await;
        return Ok(reply(503, json!({"error": "trouble"})));
    };
    Ok(reply(status, body))
}

#[handler]
fn grant(Data(state): Data<&Shared>, Json(body): Json<Value>) -> poem::Result<Response> {
    let mut state = open(state)?;
    state.next_permit += 1;
    let permit = state.next_permit;
    let life = Duration::from_millis(body["life_ms"].as_u64().unwrap());
    state.permits.insert(permit, (Instant::now() + life, life));
    Ok(reply(200, json!({ "permit": permit })))
}

#[handler]
fn extend(Data(state): Data<&Shared>, Path(permit): Path<u64>) -> poem::Result<Response> {
    let mut state = open(state)?;
    Ok(match state.permits.get_mut(&permit) {
        Some((ends, life)) => {
            *ends = Instant::now() + *life;
            reply(200, json!({ "permit": permit }))
        }
        None => reply(404, json!({})),
    })
}

#[handler]
fn end_grant(Data(state): Data<&Shared>, Path(permit): Path<u64>) -> poem::Result<Response> {
    open(state)?.end(permit);
    Ok(reply(200, json!({})))
}

#[handler]
async fn follow(
    Data(state): Data<&Shared>,
    Query(query): Query<BTreeMap<String, String>>,
) -> poem::Result<Response> {
    let number = |field: &str| query.get(field).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("wait_ms"));
    loop {
        {
            let state = open(state)?;
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|(at, key, _)| *at > number("from") && key.starts_with(&query["prefix"]))
                .map(|(at, key, value)| match value {
                    Some(value) => json!({"write": key, "value": value, "entry": at}),
                    None => json!({"remove": key, "entry": at}),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return Ok(reply(200, json!({"ledger": state.revision, "events": events})));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn state_service() -> (Shared, SocketAddr) {
    let state = Shared::default();
    let routes = Route::new()
        .at("/store/*key", get(store_get))
        .at("/store", get(store_list))
        .at("/multi", post(multi))
        .at("/grants", post(grant))
        .at("/grants/:permit", delete(end_grant))
        .at("/grants/:permit/extend", post(extend))
        .at("/follow", get(follow))
        .data(state.clone());
    let (acceptor, address) = listen().await;
    tokio::spawn(Server::new_with_acceptor(acceptor).run(routes));
    (state, address)
}
