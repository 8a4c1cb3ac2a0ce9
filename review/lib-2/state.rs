//! The state service, from the protocol page: keys with revisions, grants, transactions, watches.

use super::http::Request;
use super::json::Json;
use crate::obj;
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

struct Entry {
    value: Json,
    revision: u64,
    permit: Option<u64>,
}

#[derive(Default)]
struct Inner {
    ledger: u64,
    keys: BTreeMap<String, Entry>,
    grants: BTreeMap<u64, (Instant, Duration)>,
    granted: u64,
    /// Revision, key, value; no value: removed.
    changes: Vec<(u64, String, Option<Json>)>,
}

#[derive(Default)]
pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Inner {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.grants.iter().filter(|(_, grant)| grant.0 <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_grant(id));
    }

    fn end_grant(&mut self, id: u64) {
        self.grants.remove(&id);
        let held = self.keys.iter().filter(|(_, entry)| entry.permit == Some(id));
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.ledger += 1;
        }
        for key in held {
            self.keys.remove(&key);
            self.changes.push((self.ledger, key, None));
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let revision = |key: &str| self.keys.get(key).map_or(0, |entry| entry.revision);
        let conditions = body.get("when").items().iter();
        let failed: Vec<Json> = conditions
            .filter(|condition| revision(condition.get("path").text()) != condition.get("entry").int())
            .map(|condition| condition.get("path").clone())
            .collect();
        let changes = body.get("then").items();
        let lost = changes.iter().any(|change| match change.get("permit") {
            Json::Null => false,
            permit => !self.grants.contains_key(&permit.int()),
        });
        if lost {
            return (400, obj![("error", "no such lease")]);
        }
        if !failed.is_empty() {
            return (409, obj![("failed", failed), ("ledger", self.ledger)]);
        }
        if !changes.is_empty() {
            self.ledger += 1;
        }
        for change in changes {
            let (write, remove) = (change.get("write").text().to_string(), change.get("remove").text().to_string());
            if !write.is_empty() {
                let permit = Some(change.get("permit")).filter(|permit| **permit != Json::Null).map(Json::int);
                let value = change.get("value").clone();
                self.changes.push((self.ledger, write.clone(), Some(value.clone())));
                self.keys.insert(write, Entry { value, revision: self.ledger, permit });
            } else if self.keys.remove(&remove).is_some() {
                self.changes.push((self.ledger, remove, None));
            }
        }
        (200, obj![("ledger", self.ledger)])
    }
}

impl State {
    pub fn answer(&self, request: Request) -> (u16, String) {
        let (status, body) = self.route(request);
        (status, body.to_string())
    }

    fn route(&self, request: Request) -> (u16, Json) {
        if request.path == "/follow" {
            return self.follow(&request);
        }
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
        let answer = match (request.method.as_str(), path[0], path.get(1)) {
            ("GET", "store", Some(_)) => {
                let key = request.path.trim_start_matches("/store/");
                match inner.keys.get(key) {
                    Some(entry) => {
                        let permit = entry.permit.map_or(Json::Null, Json::from);
                        (200, obj![("path", key), ("value", entry.value.clone()), ("entry", entry.revision), ("permit", permit)])
                    }
                    None => (404, obj![("ledger", inner.ledger)]),
                }
            }
            ("GET", "store", None) => list(&inner, &request),
            ("POST", "multi", None) => inner.transact(&body),
            ("POST", "grants", None) => {
                inner.granted += 1;
                let (id, life) = (inner.granted, Duration::from_millis(body.get("life_ms").int()));
                inner.grants.insert(id, (Instant::now() + life, life));
                (200, obj![("permit", id)])
            }
            ("POST", "grants", Some(id)) => match inner.grants.get_mut(&id.parse().unwrap_or(0)) {
                Some(grant) => {
                    grant.0 = Instant::now() + grant.1;
                    (200, obj![])
                }
                None => (404, obj![]),
            },
            ("DELETE", "grants", Some(id)) => {
                inner.end_grant(id.parse().unwrap_or(0));
                (200, obj![])
            }
            _ => (400, obj![]),
        };
        drop(inner);
        self.changed.notify_all();
        answer
    }

    fn follow(&self, request: &Request) -> (u16, Json) {
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut inner = self.inner.lock().unwrap();
        loop {
            inner.expire();
            let changes = inner.changes.iter().filter(|change| change.0 > number("from") && change.1.starts_with(&prefix));
            let events: Vec<Json> = changes
                .map(|(revision, key, value)| match value {
                    Some(value) => obj![("write", key.as_str()), ("value", value.clone()), ("entry", *revision)],
                    None => obj![("remove", key.as_str()), ("entry", *revision)],
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, obj![("ledger", inner.ledger), ("events", events)]);
            }
            // Grants end without a request, so look again soon.
            inner = self.changed.wait_timeout(inner, left.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    /// The keys under a prefix, for the record.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }
}

fn list(inner: &Inner, request: &Request) -> (u16, Json) {
    let prefix = request.query.get("prefix").cloned().unwrap_or_default();
    let from = request.query.get("from").cloned().unwrap_or_default();
    let limit: usize = request.query.get("limit").and_then(|v| v.parse().ok()).unwrap_or(1_000).min(1_000);
    let mut found = inner.keys.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > from);
    let (mut items, mut bytes) = (Vec::new(), 0);
    while items.len() < limit && bytes < 400 * 1024 {
        let Some((key, entry)) = found.next() else { break };
        let item = obj![("path", key.as_str()), ("value", entry.value.clone()), ("entry", entry.revision)];
        bytes += item.to_string().len();
        items.push(item);
    }
    let has_next = found.next().is_some();
    (200, obj![("items", items), ("has_next", has_next), ("ledger", inner.ledger)])
}
