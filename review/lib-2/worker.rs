//! A worker, from the protocol page: reports to one controller at a time, carries out commands, keeps its lease.

use super::cloud::Machine;
use super::http::{self, Request};
use super::json::Json;
use super::World;
use crate::obj;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

struct Task {
    launch: u64,
    status: &'static str,
    cause: Option<&'static str>,
    saved: bool,
    /// When the present state ends by itself.
    until: Option<Instant>,
}

impl Task {
    fn is_live(&self) -> bool {
        self.status != "exited"
    }

    fn exit(&mut self, cause: &'static str) {
        (self.status, self.cause, self.until) = ("exited", Some(cause), None);
    }
}

struct Worker {
    world: Arc<World>,
    machine: Machine,
    watch: u64,
    tally: u64,
    helm: u64,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    /// When the last answered report was sent, or the session began.
    lease_from: Instant,
    changed: bool,
    address: Option<SocketAddr>,
}

/// Boots the machine and plays its worker until the machine is gone.
pub fn start(world: Arc<World>, machine: Machine) {
    thread::spawn(move || {
        thread::sleep(machine.boots_for);
        let name = machine.name.clone();
        let worker = Arc::new(Mutex::new(Worker {
            world: world.clone(), machine, watch: 1, tally: 0, helm: 0, tasks: BTreeMap::new(), images: Vec::new(),
            lease_from: Instant::now(), changed: true, address: None,
        }));
        let orders = worker.clone();
        let listener = http::listen(world.host);
        let address = http::serve(listener, Arc::new(move |request| answer_orders(&orders, request)));
        worker.lock().unwrap().address = Some(address);
        let reporter = worker.clone();
        thread::spawn(move || report_loop(reporter));
        while world.cloud.machine(&name).is_some() {
            worker.lock().unwrap().advance();
            thread::sleep(Duration::from_millis(10));
        }
        // The machine is gone with everything on it.
        worker.lock().unwrap().tasks.clear();
        world.end_all(&name, "machine gone");
    });
}

impl Worker {
    fn is_gone(&self) -> bool {
        self.world.cloud.machine(&self.machine.name).is_none()
    }

    /// States that end by themselves, and the lease.
    fn advance(&mut self) {
        let now = Instant::now();
        let name = self.machine.name.clone();
        if now > self.lease_from + Duration::from_secs_f64(self.world.settings.lease_s) {
            self.world.note(&format!("{name}: lease ended in session {}, {} tasks killed", self.watch, self.tasks.len()));
            self.tasks.clear();
            self.world.end_all(&name, "lease ended");
            (self.watch, self.lease_from, self.changed) = (self.watch + 1, now, true);
        }
        let due: Vec<String> = self.tasks.iter().filter(|(_, task)| task.until.is_some_and(|at| at <= now)).map(|(load, _)| load.clone()).collect();
        for load in due {
            let Some(job) = self.world.job_of(&load) else { continue };
            let Some(task) = self.tasks.get_mut(&load) else { continue };
            self.changed = true;
            match task.status {
                "fetching" => {
                    self.images.push(job.get("manifest").text().to_string());
                    (task.status, task.until) = ("running", run_end(&job, now));
                    self.world.started(&name, &load, task.launch);
                }
                "flushing" => {
                    task.saved = true;
                    task.exit("halted");
                    self.world.ended(&name, &load, task.launch, "halted, saved");
                }
                _ => {
                    task.exit("done");
                    self.world.ended(&name, &load, task.launch, "done");
                }
            }
        }
    }

    fn report(&mut self) -> String {
        self.tally += 1;
        let loads: Vec<Json> = self.tasks.iter().map(|(load, task)| {
            let mut fields = vec![("load".to_string(), Json::from(load.as_str())), ("launch".to_string(), Json::from(task.launch)), ("status".to_string(), Json::from(task.status))];
            if let Some(cause) = task.cause {
                fields.push(("cause".to_string(), Json::from(cause)));
            }
            if task.saved {
                fields.push(("saved".to_string(), Json::from(true)));
            }
            Json::Obj(fields)
        }).collect();
        let address = self.address.map(|a| a.to_string()).unwrap_or_default();
        obj![("vessel", self.machine.name.as_str()), ("address", address), ("hull", self.machine.kind.name),
            ("quay", self.machine.zone.as_str()), ("driftwood", self.machine.spot), ("watch", self.watch), ("tally", self.tally),
            ("helm", self.helm), ("recall_s", Json::Null), ("loads", loads)].to_string()
    }

    fn free(&self) -> (f64, f64, f64) {
        let live = self.tasks.iter().filter(|(_, task)| task.is_live()).filter_map(|(load, _)| self.world.job_of(load));
        let kind = &self.machine.kind;
        live.fold((kind.cores, kind.gpus, kind.memory_gb), |left, job| {
            (left.0 - job.get("cores").num(), left.1 - job.get("gpus").num(), left.2 - job.get("memory_gb").num())
        })
    }

    /// Carries out one command. `asked_at`: when the report was sent whose answer carries it.
    fn carry_out(&mut self, command: &Json, asked_at: Instant) {
        let (load, launch) = (command.get("load").text().to_string(), command.get("launch").int());
        let (name, now) = (self.machine.name.clone(), Instant::now());
        self.changed = true;
        match command.get("signal").text() {
            "run" => {
                if self.tasks.get(&load).is_some_and(|task| task.launch == launch) {
                    return;
                }
                self.world.commanded(&name, &load, launch, asked_at);
                let mut task = Task { launch, status: "fetching", cause: None, saved: false, until: Some(now) };
                let in_use = self.tasks.get(&load).is_some_and(Task::is_live);
                match self.world.job_of(&load) {
                    _ if in_use => return,
                    None => task.exit("unknown"),
                    Some(job) => {
                        let free = self.free();
                        let fits = |need: f64, room: f64| need <= room + 1e-6;
                        if !(fits(job.get("cores").num(), free.0) && fits(job.get("gpus").num(), free.1) && fits(job.get("memory_gb").num(), free.2)) {
                            task.exit("no_room");
                        } else if !self.images.iter().any(|image| image == job.get("manifest").text()) {
                            task.until = Some(now + Duration::from_secs_f64(job.get("pull_gb").num() / 10.0));
                        }
                    }
                }
                self.tasks.insert(load, task);
            }
            "stop" => {
                let Some(job) = self.world.job_of(&load) else { return };
                let Some(task) = self.tasks.get_mut(&load).filter(|task| task.launch == launch && task.is_live()) else { return };
                let grace = command.get("mooring_s").num();
                let saves = task.status == "running" && job.get("logbook_s").num() > 0.0 && grace >= job.get("stow_s").num();
                if saves {
                    (task.status, task.until) = ("flushing", Some(now + Duration::from_secs_f64(job.get("stow_s").num())));
                } else if task.status != "flushing" || grace <= 0.0 {
                    let was_on = task.status != "fetching";
                    task.exit("halted");
                    if was_on {
                        self.world.ended(&name, &load, launch, "halted");
                    }
                }
            }
            _ => self.tasks.retain(|other, task| *other != load || task.launch != launch || task.is_live()),
        }
    }
}

fn run_end(job: &Json, now: Instant) -> Option<Instant> {
    let seconds = job.get("passage_s").num();
    (job.get("rig").text() != "service").then(|| now + Duration::from_secs_f64(seconds))
}

fn answer_orders(worker: &Mutex<Worker>, request: Request) -> (u16, String) {
    let mut worker = worker.lock().unwrap();
    if worker.is_gone() {
        return (400, String::new());
    }
    if request.path == "/status" {
        return (200, worker.report());
    }
    let Some(body) = Json::parse(&request.body).filter(|body| *body.get("helm") != Json::Null && *body.get("watch") != Json::Null) else {
        return (400, String::new());
    };
    if body.get("helm").int() < worker.helm || body.get("watch").int() != worker.watch {
        return (409, worker.report());
    }
    worker.helm = body.get("helm").int();
    for command in body.get("signals").items() {
        worker.carry_out(command, Instant::now());
    }
    (200, worker.report())
}

fn report_loop(worker: Arc<Mutex<Worker>>) {
    let (world, name, zone) = {
        let worker = worker.lock().unwrap();
        (worker.world.clone(), worker.machine.name.clone(), worker.machine.zone.clone())
    };
    let mut node = name.bytes().last().unwrap_or(0) as usize % world.nodes().len();
    let mut last_sent: Option<Instant> = None;
    loop {
        // Every `report_s`, give or take; on a change, but not more often than every half second.
        loop {
            let mut worker = worker.lock().unwrap();
            if worker.is_gone() {
                return;
            }
            let since = last_sent.map_or(Duration::MAX, |at| at.elapsed());
            let due = since >= Duration::from_secs_f64(world.settings.report_s);
            if due || worker.changed && since >= Duration::from_millis(500) {
                worker.changed = false;
                break;
            }
            drop(worker);
            thread::sleep(Duration::from_millis(10));
        }
        let (body, watch) = {
            let mut worker = worker.lock().unwrap();
            (worker.report(), worker.watch)
        };
        let sent = Instant::now();
        last_sent = Some(sent);
        world.measure_report(&name, body.len());
        let nodes = world.nodes();
        let answer = if world.reaches(&zone, node) {
            http::call(nodes[node], "POST", "/checkin", &body, Duration::from_secs(4))
        } else {
            // Nothing comes through a cut.
            thread::sleep(Duration::from_secs(4));
            None
        };
        let answer = answer.map(|(status, body)| (status, body.len(), Json::parse(&body).unwrap_or(Json::Null)));
        match answer {
            Some((200, length, answer)) => {
                let mut worker = worker.lock().unwrap();
                world.measure_answer(&name, length, answer.get("signals").items().len());
                if worker.watch != watch || worker.is_gone() {
                    continue;
                }
                let helm = answer.get("helm");
                if *helm == Json::Null || helm.int() < worker.helm {
                    continue;
                }
                if helm.int() > worker.helm {
                    (worker.helm, worker.changed) = (helm.int(), true);
                }
                worker.lease_from = worker.lease_from.max(sent);
                for command in answer.get("signals").items() {
                    worker.carry_out(command, sent);
                }
            }
            Some((421, _, answer)) => {
                let named = world.node_number(answer.get("harbormaster").text()).filter(|named| *named != node);
                match named {
                    Some(named) => (node, last_sent) = (named, None),
                    None => {
                        thread::sleep(Duration::from_secs(1));
                        (node, last_sent) = ((node + 1) % nodes.len(), None);
                    }
                }
            }
            other => {
                if let Some((status, ..)) = other {
                    world.note(&format!("{name}: report of {} bytes answered {status}", body.len()));
                }
                thread::sleep(Duration::from_secs(1));
                (node, last_sent) = ((node + 1) % nodes.len(), None);
            }
        }
    }
}
