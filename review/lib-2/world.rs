//! A small deployment on loopback: the project's controllers as processes, and stand-ins for everything around them,
//! written from the users' pages. Each case is a program that includes this module.

pub mod cloud;
pub mod http;
pub mod json;
pub mod state;
pub mod worker;

use crate::obj;
use cloud::{Cloud, Type};
use json::Json;
use state::State;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The settings of a deployment, as the users' pages give them.
#[derive(Clone)]
pub struct Settings {
    pub zones: Vec<&'static str>,
    /// The zone of each controller.
    pub sites: [&'static str; 3],
    pub team: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state: [f64; 4],
    pub cloud: [f64; 2],
    pub resources: (f64, f64, i32),
}

/// Kupari prototype board scheduling in Oulu, from the brief.
pub fn kupari() -> Settings {
    Settings {
        zones: vec!["oulu-halli", "kajaani-dc"],
        sites: ["oulu-halli", "kajaani-dc", "oulu-halli"],
        team: "paneeli",
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        state: [150.0, 40.0, 8.0, 12.0],
        cloud: [2.0, 8.0],
        resources: (0.04, 56.0, 800),
    }
}

/// The machine type of that deployment.
pub fn vasara() -> Type {
    Type { name: "vasara-12", cores: 12.0, gpus: 2.0, memory_gb: 48.0 }
}

/// Something that happened to a task on a machine.
#[derive(Clone)]
pub struct Event {
    pub at: Instant,
    /// For a command: when the report was sent whose answer carried it.
    pub asked_at: Instant,
    pub machine: String,
    pub load: String,
    pub what: &'static str,
}

pub struct World {
    pub settings: Settings,
    pub host: Ipv4Addr,
    pub state: State,
    pub cloud: Cloud,
    pub began: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    public: Mutex<Vec<SocketAddr>>,
    processes: Mutex<[Option<Child>; 3]>,
    /// Whether a zone is cut off from everything, by zone.
    cuts: BTreeMap<String, Arc<AtomicBool>>,
    jobs: Mutex<BTreeMap<String, Json>>,
    events: Mutex<Vec<Event>>,
    /// Tasks on machines: since when.
    on: Mutex<BTreeMap<(String, String), u64>>,
    /// Of each job only its first task is written to the record.
    pub brief: AtomicBool,
    /// The longest report and the longest answer to one, in bytes.
    pub longest: Mutex<(usize, usize)>,
}

/// Whether the case plays its trouble.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Plays a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn play(settings: Settings, types: Vec<Type>, case: impl FnOnce(&Arc<World>) -> Result<bool, String>) -> ! {
    let record = PathBuf::from(std::env::var("RECORD").expect("RECORD names the record's file"));
    let folder = PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP names a temporary folder"));
    let mut bytes = std::process::id().to_le_bytes();
    bytes[0] = bytes[0].clamp(2, 250);
    let host = Ipv4Addr::new(127, 61, bytes[1], bytes[0]);
    let zones: Vec<&str> = settings.zones.clone();
    let world = Arc::new(World {
        host,
        state: State::default(),
        cloud: Cloud::new(types, &zones),
        began: Instant::now(),
        record: Mutex::new(File::create(record).expect("the record can be written")),
        folder,
        public: Mutex::default(),
        processes: Mutex::new([None, None, None]),
        cuts: zones.iter().map(|zone| (zone.to_string(), Arc::default())).collect(),
        jobs: Mutex::default(),
        events: Mutex::default(),
        on: Mutex::default(),
        brief: AtomicBool::new(false),
        longest: Mutex::default(),
        settings,
    });
    let watched = world.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(116));
        watched.note("case: out of time");
        watched.end(2);
    });
    world.note(&format!("case: begins, trouble {}", with_trouble()));
    let code = match case(&world) {
        Ok(true) => {
            world.note("case: RULE BROKEN");
            1
        }
        Ok(false) => {
            world.note("case: the rule held");
            0
        }
        Err(why) => {
            world.note(&format!("case: could not run: {why}"));
            2
        }
    };
    world.end(code)
}

impl World {
    fn end(&self, code: i32) -> ! {
        for process in self.processes.lock().unwrap().iter_mut().flatten() {
            let _ = (process.kill(), process.wait());
        }
        std::process::exit(code)
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let line = format!("{:8.3} {line}\n", self.began.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
        // Whoever reads the output may have gone.
        let _ = std::io::stdout().write_all(line.as_bytes());
    }

    pub fn sleep(&self, seconds: f64) {
        thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// Waits until the condition holds.
    pub fn wait_for(&self, what: &str, seconds: f64, mut holds: impl FnMut() -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if holds() {
                return Ok(());
            }
            self.sleep(0.05);
        }
        Err(format!("not within {seconds} s: {what}"))
    }

    // ---- controllers ----

    /// Starts the stand-ins and writes the controllers' settings.
    pub fn prepare(self: &Arc<World>) -> Result<(), String> {
        let (state, cloud) = (self.clone(), self.clone());
        let state_at = http::serve(http::listen(self.host), Arc::new(move |request| state.state.answer(request)));
        let cloud_at = http::serve(http::listen(self.host), Arc::new(move |request| cloud.cloud.answer(&cloud, request)));
        // On a host of their own: what the stand-ins bind meanwhile can't take a port that is free for a controller.
        let [_, _, third, fourth] = self.host.octets();
        let nodes_host = Ipv4Addr::new(127, 62, third, fourth);
        let held: Vec<TcpListener> = (0..6).map(|_| http::listen(nodes_host)).collect();
        let at: Vec<SocketAddr> = held.iter().map(|listener| listener.local_addr().unwrap()).collect();
        drop(held);
        *self.public.lock().unwrap() = at[..3].to_vec();
        let sites = self.settings.sites;
        for node in 0..3 {
            let cut = &self.cuts[sites[node]];
            let members: Vec<Json> = (0..3).filter(|other| *other != node).map(|other| {
                // Between zones a proxy stands that is silent while one of the two is cut off.
                let peer = at[3 + other];
                let peer_addr = if sites[other] == sites[node] { peer } else { http::proxy(self.host, peer, self.any_cut()) };
                obj![("node_name", format!("berth-{other}")), ("site", sites[other]), ("peer_addr", peer_addr.to_string())]
            }).collect();
            let external = obj![("cloud", http::proxy(self.host, cloud_at, cut.clone()).to_string()),
                ("state", http::proxy(self.host, state_at, cut.clone()).to_string())];
            let s = &self.settings;
            let zones: Vec<Json> = s.zones.iter().map(|zone| Json::from(*zone)).collect();
            let team = obj![("name", s.team), ("cpus", 0.0), ("cpus_max", 0.0), ("gpus", 0.0), ("gpus_max", 0.0)];
            let deployment = obj![("nodes", 3), ("zones", zones), ("teams", vec![team]), ("objectives", Vec::new()),
                ("workers", obj![("report_s", s.report_s), ("lease_s", s.lease_s), ("gang_wait_s", 45.0), ("gang_peer_s", 6.0), ("cancel_s", s.cancel_s)]),
                ("state", obj![("rps", s.state[0]), ("write_rps", s.state[1]), ("value_kb", s.state[2]), ("txn_ops", s.state[3] as i32)]),
                ("cloud", obj![("rps", s.cloud[0]), ("list_lag_s", s.cloud[1])]),
                ("resources", obj![("cpu", s.resources.0), ("memory_mb", s.resources.1), ("max_sockets", s.resources.2)]),
                ("skew_ms", 1000.0)];
            let settings = obj![("node_name", format!("berth-{node}")), ("site", sites[node]), ("public_addr", at[node].to_string()),
                ("peer_bind", at[3 + node].to_string()), ("members", members), ("external", external), ("deployment", deployment)];
            std::fs::write(self.folder.join(format!("berth-{node}.json")), settings.to_string()).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// With two zones a cut of either silences what passes between them.
    fn any_cut(&self) -> Arc<AtomicBool> {
        let both = Arc::new(AtomicBool::new(false));
        let (cuts, any) = (self.cuts.clone(), both.clone());
        thread::spawn(move || loop {
            any.store(cuts.values().any(|cut| cut.load(Ordering::SeqCst)), Ordering::SeqCst);
            thread::sleep(Duration::from_millis(2));
        });
        both
    }

    /// Starts a controller with the run command of the deploy file.
    pub fn start_node(&self, node: usize) -> Result<(), String> {
        let deploy = std::fs::read_to_string("deploy/service.toml").map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).ok_or("no run command")?;
        let mut words = run.trim().trim_matches('"').split_whitespace();
        let program = words.next().ok_or("no program")?;
        let log = File::create(self.folder.join(format!("berth-{node}.log"))).map_err(|e| e.to_string())?;
        let settings = self.folder.join(format!("berth-{node}.json"));
        let level = std::env::var("LOG_LEVEL").unwrap_or("info".to_string());
        let process = Command::new(program).args(words).arg(settings).env("LOG_LEVEL", level).stdin(Stdio::null())
            .stdout(Stdio::null()).stderr(log).spawn().map_err(|e| format!("{program}: {e}"))?;
        // The script ends what is left if this program is killed.
        let mut pids = File::options().create(true).append(true).open(self.folder.join("pids")).map_err(|e| e.to_string())?;
        let _ = writeln!(pids, "{}", process.id());
        self.note(&format!("berth-{node}: started"));
        self.processes.lock().unwrap()[node] = Some(process);
        Ok(())
    }

    /// The process of a controller, for signals.
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.processes.lock().unwrap()[node].as_ref().map(Child::id)
    }

    /// Ends a controller without a signal that it could handle.
    pub fn kill_node(&self, node: usize) {
        if let Some(mut process) = self.processes.lock().unwrap()[node].take() {
            let _ = (process.kill(), process.wait());
            self.note(&format!("berth-{node}: killed"));
        }
    }

    pub fn nodes(&self) -> Vec<SocketAddr> {
        self.public.lock().unwrap().clone()
    }

    pub fn node_number(&self, name: &str) -> Option<usize> {
        name.strip_prefix("berth-")?.parse().ok().filter(|number| *number < 3)
    }

    /// Which controller leads, by its own overview.
    pub fn leader(&self) -> Option<usize> {
        (0..3).find(|node| {
            let view = http::call(self.nodes()[*node], "GET", "/overview", "", Duration::from_secs(1));
            let view = view.and_then(|(_, body)| Json::parse(&body)).unwrap_or(Json::Null);
            view.get("leader").text() == format!("berth-{node}") && view.get("token").int() > 0
        })
    }

    /// Starts controllers one after the other and waits until one leads and all are healthy.
    pub fn start_nodes(&self, nodes: &[usize]) -> Result<usize, String> {
        for node in nodes {
            self.start_node(*node)?;
        }
        self.wait_for("a leader", 30.0, || self.leader().is_some())?;
        for node in nodes {
            self.wait_for("health", 30.0, || self.ask(*node, "GET", "/healthz", "").is_some_and(|answer| answer.0 == 200))?;
        }
        let leader = self.leader().ok_or("no leader")?;
        self.note(&format!("berth-{leader}: leads"));
        Ok(leader)
    }

    // ---- cuts ----

    pub fn cut_zone(&self, zone: &str, cut: bool) {
        self.note(&format!("trouble: {zone} cut off: {cut}"));
        self.cuts[zone].store(cut, Ordering::SeqCst);
    }

    /// Whether a worker of the zone reaches the controller.
    pub fn reaches(&self, zone: &str, node: usize) -> bool {
        zone == self.settings.sites[node] || !self.cuts.values().any(|cut| cut.load(Ordering::SeqCst))
    }

    // ---- users ----

    /// One request of a user; users wait 5 s for an answer.
    pub fn ask(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, Json)> {
        let (status, body) = http::call(self.nodes()[node], method, path, body, Duration::from_secs(5))?;
        Some((status, Json::parse(&body).unwrap_or(Json::Null)))
    }

    /// A user's request, repeated as the pages say until it is decided, at these controllers in turn.
    pub fn insist(&self, nodes: &[usize], method: &str, path: &str, body: &str) -> Result<(u16, Json), String> {
        for node in nodes.iter().cycle().take(30) {
            let answer = self.ask(*node, method, path, body);
            let shown = answer.as_ref().map(|(status, body)| format!("{status} {body}"));
            self.note(&format!("user: {method} {path} at berth-{node}: {}", shown.unwrap_or("no answer".to_string())));
            match answer {
                Some((status, body)) if status < 429 => return Ok((status, body)),
                _ => self.sleep(1.0),
            }
        }
        Err(format!("{method} {path}: nobody decides"))
    }

    /// Submits a job and uploads its description to where workers find it.
    pub fn submit(&self, nodes: &[usize], job: Json) -> Result<u16, String> {
        let uid = job.get("uid").text().to_string();
        self.jobs.lock().unwrap().insert(uid, job.clone());
        let (status, _) = self.insist(nodes, "POST", "/submissions", &job.to_string())?;
        match status {
            200 | 201 => Ok(status),
            _ => Err(format!("submission answered {status}")),
        }
    }

    /// The state of a job as a poll shows it now.
    pub fn poll(&self, nodes: &[usize], uid: &str) -> Json {
        let answers = nodes.iter().filter_map(|node| self.ask(*node, "GET", &format!("/submissions/{uid}"), ""));
        answers.filter(|(status, _)| *status == 200).map(|(_, body)| body).next().unwrap_or(Json::Null)
    }

    /// Writes to the record why the leader says that the job waits.
    pub fn note_waiting(&self, uid: &str) {
        let Some(leader) = self.leader() else { return };
        let view = self.ask(leader, "GET", "/overview", "").map_or(Json::Null, |(_, view)| view);
        let job = view.get("jobs").items().iter().find(|job| job.get("job").text() == uid);
        self.note(&format!("case: the leader's overview: {}", job.unwrap_or(&Json::Null)));
    }

    pub fn job_of(&self, load: &str) -> Option<Json> {
        self.jobs.lock().unwrap().get(load.split('/').next()?).cloned()
    }

    // ---- what workers record ----

    fn event(&self, machine: &str, load: &str, what: &'static str, asked_at: Instant) {
        let (machine, load) = (machine.to_string(), load.to_string());
        self.events.lock().unwrap().push(Event { at: Instant::now(), asked_at, machine, load, what });
    }

    fn note_task(&self, load: &str, line: &str) {
        if load.ends_with("/0") || !self.brief.load(Ordering::Relaxed) {
            self.note(line);
        }
    }

    pub fn commanded(&self, machine: &str, load: &str, launch: u64, asked_at: Instant) {
        let asked = (asked_at - self.began).as_secs_f64();
        self.note_task(load, &format!("{machine}: run {load} launch {launch}, in the answer to the report sent at {asked:.3}"));
        self.event(machine, load, "run", asked_at);
    }

    pub fn started(&self, machine: &str, load: &str, launch: u64) {
        self.note_task(load, &format!("{machine}: {load} launch {launch} starts"));
        self.on.lock().unwrap().insert((machine.to_string(), load.to_string()), launch);
        self.event(machine, load, "starts", Instant::now());
    }

    pub fn ended(&self, machine: &str, load: &str, launch: u64, why: &str) {
        self.note_task(load, &format!("{machine}: {load} launch {launch} ends: {why}"));
        self.on.lock().unwrap().remove(&(machine.to_string(), load.to_string()));
        self.event(machine, load, "ends", Instant::now());
    }

    /// Everything on the machine ends.
    pub fn end_all(&self, machine: &str, why: &str) {
        let on: Vec<((String, String), u64)> = self.on.lock().unwrap().iter().filter(|((m, _), _)| m == machine).map(|(k, v)| (k.clone(), *v)).collect();
        for ((machine, load), launch) in on {
            self.ended(&machine, &load, launch, why);
        }
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// The machines that the job's tasks are on now.
    pub fn machines_of(&self, uid: &str) -> Vec<String> {
        let on = self.on.lock().unwrap();
        on.keys().filter(|(_, load)| load.starts_with(&format!("{uid}/"))).map(|(machine, _)| machine.clone()).collect()
    }

    pub fn measure_report(&self, machine: &str, bytes: usize) {
        let mut longest = self.longest.lock().unwrap();
        if bytes > longest.0 && bytes > 64 * 1024 {
            self.note(&format!("{machine}: report of {bytes} bytes"));
        }
        longest.0 = longest.0.max(bytes);
    }

    pub fn measure_answer(&self, machine: &str, bytes: usize, commands: usize) {
        let mut longest = self.longest.lock().unwrap();
        if bytes > longest.1 && bytes > 64 * 1024 || commands > 0 && self.brief.load(Ordering::Relaxed) {
            self.note(&format!("{machine}: answer of {bytes} bytes with {commands} commands"));
        }
        longest.1 = longest.1.max(bytes);
    }
}

/// A submission. `changes` replace or add fields.
pub fn job(uid: &str, team: &str, changes: Json) -> Json {
    let Json::Obj(mut fields) = obj![("uid", uid), ("cargo", "route-sweep"), ("crew", team), ("rig", "sweep"), ("precedence", "best_effort"),
        ("loads", 1), ("cores", 5.0), ("gpus", 1.0), ("memory_gb", 18.0), ("manifest", "img-01"), ("pull_gb", 5.0), ("hulls", Json::Null),
        ("quay", Json::Null), ("same_place", false), ("apart", false), ("driftwood", true), ("passage_s", 60.0), ("logbook_s", 10.0),
        ("stow_s", 2.0), ("tide_s", Json::Null)] else { return Json::Null };
    if let Json::Obj(changes) = changes {
        for (key, value) in changes {
            match fields.iter_mut().find(|(field, _)| *field == key) {
                Some(field) => field.1 = value,
                None => fields.push((key, value)),
            }
        }
    }
    Json::Obj(fields)
}
