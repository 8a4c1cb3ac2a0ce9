//! The cloud, from the protocol page: a catalog, rentals by name, deletions, the list of machines. How many machines
//! it has of each type, zone and kind is set by the case.

use super::http::Request;
use super::json::Json;
use super::World;
use crate::obj;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Type {
    pub name: &'static str,
    pub cores: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub kind: Type,
    pub zone: String,
    pub spot: bool,
    pub rented_at: Instant,
    pub boots_for: Duration,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    charters: BTreeMap<String, Vec<String>>,
    /// How many machines there are, by zone and kind (spot or not). None where nothing is set.
    capacity: BTreeMap<(String, bool), usize>,
    made: u64,
}

pub struct Cloud {
    pub types: Vec<Type>,
    pub zones: Vec<String>,
    inner: Mutex<Inner>,
}

impl Cloud {
    pub fn new(types: Vec<Type>, zones: &[&str]) -> Cloud {
        Cloud { types, zones: zones.iter().map(|z| z.to_string()).collect(), inner: Mutex::default() }
    }

    pub fn set_capacity(&self, zone: &str, spot: bool, machines: usize) {
        self.inner.lock().unwrap().capacity.insert((zone.to_string(), spot), machines);
    }

    pub fn machine(&self, name: &str) -> Option<Machine> {
        self.inner.lock().unwrap().machines.get(name).cloned()
    }

    pub fn machines(&self) -> Vec<Machine> {
        self.inner.lock().unwrap().machines.values().cloned().collect()
    }

    /// The cloud takes a machine away; it is gone with everything on it.
    pub fn take(&self, name: &str) {
        self.inner.lock().unwrap().machines.remove(name);
    }

    pub fn answer(&self, world: &Arc<World>, request: Request) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (status, answer) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => (200, self.catalog()),
            ("POST", "/rentals") => self.rent(world, &body),
            ("POST", "/rentals/delete") => self.delete(world, &body),
            ("GET", "/rentals") => self.list(&request),
            _ => (400, obj![]),
        };
        (status, answer.to_string())
    }

    fn catalog(&self) -> Json {
        let quays: Vec<Json> = self.zones.iter().map(|zone| Json::from(zone.as_str())).collect();
        let hull = |kind: &Type| {
            obj![("label", kind.name), ("cores", kind.cores), ("gpus", kind.gpus), ("memory_gb", kind.memory_gb),
                ("cache_gb", 200.0), ("pull_gb_per_s", 10.0), ("hourly", 4.16), ("spot_price", 1.01),
                ("boot_s", 30.0), ("quays", quays.clone())]
        };
        obj![("hulls", self.types.iter().map(hull).collect::<Vec<_>>())]
    }

    fn rent(&self, world: &Arc<World>, body: &Json) -> (u16, Json) {
        let mut inner = self.inner.lock().unwrap();
        let names = |names: &[String]| obj![("vessels", names.iter().map(|n| Json::from(n.as_str())).collect::<Vec<_>>())];
        let charter = body.get("charter").text().to_string();
        if let Some(known) = inner.charters.get(&charter) {
            return (200, names(known));
        }
        let (zone, spot) = (body.get("quay").text().to_string(), body.get("driftwood").flag());
        let Some(kind) = self.types.iter().find(|kind| kind.name == body.get("hull").text()) else {
            return (400, obj![("error", "no such type")]);
        };
        let used = inner.machines.values().filter(|m| m.zone == zone && m.spot == spot).count();
        let all = inner.capacity.get(&(zone.clone(), spot)).copied().unwrap_or(0);
        let count = (body.get("how_many").int() as usize).min(all.saturating_sub(used));
        if count == 0 {
            world.note(&format!("cloud: no capacity for {} in {zone}, spot {spot}", kind.name));
            return (503, obj![("error", "no capacity")]);
        }
        let mut rented = Vec::new();
        for _ in 0..count {
            inner.made += 1;
            let name = format!("m-{:06}", inner.made);
            // "At times machines are up within a second or two."
            let boots_for = Duration::from_millis(1_500);
            let machine = Machine { name: name.clone(), kind: kind.clone(), zone: zone.clone(), spot, rented_at: Instant::now(), boots_for };
            world.note(&format!("cloud: {name} rented, {} in {zone}, spot {spot}", kind.name));
            inner.machines.insert(name.clone(), machine.clone());
            super::worker::start(world.clone(), machine);
            rented.push(name);
        }
        inner.charters.insert(charter, rented.clone());
        (200, names(&rented))
    }

    fn delete(&self, world: &Arc<World>, body: &Json) -> (u16, Json) {
        for name in body.get("vessels").items() {
            if self.inner.lock().unwrap().machines.remove(name.text()).is_some() {
                world.note(&format!("cloud: {} deleted", name.text()));
                world.end_all(name.text(), "machine deleted");
            }
        }
        (200, obj![])
    }

    fn list(&self, request: &Request) -> (u16, Json) {
        let inner = self.inner.lock().unwrap();
        let from = request.query.get("from").cloned().unwrap_or_default();
        let limit: usize = request.query.get("limit").and_then(|v| v.parse().ok()).unwrap_or(500).min(500);
        let mut after = inner.machines.values().filter(|machine| machine.name > from);
        let page: Vec<Json> = after
            .by_ref()
            .take(limit)
            .map(|machine| {
                let age = machine.rented_at.elapsed();
                let status = if age < machine.boots_for { "booting" } else { "running" };
                obj![("uid", machine.name.as_str()), ("address", "127.0.0.1:1"), ("hull", machine.kind.name),
                    ("quay", machine.zone.as_str()), ("driftwood", machine.spot), ("status", status), ("age_s", age.as_secs_f64())]
            })
            .collect();
        let has_next = after.next().is_some();
        (200, obj![("vessels", page), ("has_next", has_next)])
    }
}
