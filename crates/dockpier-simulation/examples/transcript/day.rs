//! Part one: a day of the virtual fleet, with jobs, drains and troubles drawn by the seed.

use crate::output::{Line, Transcript};
use crate::{draw, effects, words};
use dockpier::scheduler::model::JobId;
use dockpier_simulation::{Fleet, Layout};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Events of a day.
const EVENTS: usize = 28;
/// Jobs that are live at the same time.
const JOBS_MOST: usize = 14;

struct Day<'a> {
    fleet: Fleet,
    rng: SmallRng,
    out: &'a mut Transcript,
    zones: Vec<String>,
    slots: f64,
    draining: bool,
    jobs: u64,
    drains: u64,
}

/// Plays the day of a seed.
pub fn play(seed: u64, out: &mut Transcript) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let layout = draw::layout(&mut rng);
    write_layout(out, &layout);
    let (zones, slots) = (layout.zones.clone(), layout.slots);
    let draining = layout.operator.draining.enabled;
    let fleet = Fleet::recording(layout);
    let mut day = Day { fleet, rng, out, zones, slots, draining, jobs: 0, drains: 0 };
    day.write_effects();
    for _ in 0..EVENTS {
        day.event();
        let wait = day.rng.random_range(0.2..9.0);
        day.run(wait);
    }
    day.run(30.0);
}

fn write_layout(out: &mut Transcript, layout: &Layout) {
    let line = Line::new("layout")
        .list("zones", &layout.zones)
        .with("machines", layout.machines)
        .with("capacity", layout.capacity)
        .amount("slots", layout.slots)
        .amount("report_s", layout.report_s)
        .with("draining", layout.operator.draining.enabled)
        .with("cold_start", layout.operator.cold_start.enabled);
    out.write(0, line);
}

impl Day<'_> {
    fn run(&mut self, seconds: f64) {
        self.fleet.run(seconds);
        self.write_effects();
    }

    fn write_effects(&mut self) {
        for (at, effect) in self.fleet.take_recorded() {
            effects::write(self.out, at.as_micros(), &effect);
        }
    }

    /// Writes that something is done to the fleet.
    fn note(&mut self, line: Line) {
        self.write_effects();
        self.out.write(self.fleet.now().as_micros(), line);
    }

    fn event(&mut self) {
        match self.rng.random_range(0..100) {
            0..=37 => self.submit(),
            38..=45 => self.cancel(),
            46..=49 => self.kill_machine(),
            50..=54 => self.hang_machines(),
            55..=58 => self.announce_loss(),
            59..=60 => self.never_boot(),
            61..=64 => self.state_service_out(),
            65..=68 => self.answers_lost(),
            69..=71 => self.change_leader(),
            72..=74 => self.lose_all_controllers(),
            75..=76 => self.unreadable_record(),
            77..=88 => self.drain(),
            89..=95 => self.wish(),
            _ => {}
        }
        self.write_effects();
    }

    fn submit(&mut self) {
        if self.fleet.store.jobs.len() >= JOBS_MOST {
            return self.cancel();
        }
        self.jobs += 1;
        let spec = draw::spec(&mut self.rng, self.jobs, &self.zones, self.slots);
        let line = Line::new("submit")
            .with("job", spec.job_id.0)
            .with("of", words::job_kind(spec.kind))
            .with("team", &spec.team)
            .with("priority", words::priority(spec.priority))
            .with("tasks", spec.tasks)
            .with("cpus", spec.resource_request.milli_cpus)
            .with("gpus", spec.resource_request.milli_gpus)
            .with("spread", spec.spread)
            .with("one_zone", spec.one_zone)
            .amount("estimate_s", spec.estimate_s)
            .amount("checkpoint_s", spec.checkpoint_interval_s);
        self.note(line);
        self.fleet.submit(spec);
    }

    fn live_job(&mut self) -> Option<JobId> {
        let jobs: Vec<JobId> = self.fleet.store.jobs.keys().copied().collect();
        (!jobs.is_empty()).then(|| draw::one_of(&mut self.rng, &jobs))
    }

    fn cancel(&mut self) {
        if let Some(job_id) = self.live_job() {
            self.note(Line::new("cancel").with("job", job_id.0));
            self.fleet.cancel(job_id.0);
        }
    }

    fn machine(&mut self) -> Option<String> {
        let names = self.fleet.machine_names();
        (!names.is_empty()).then(|| draw::one_of(&mut self.rng, &names))
    }

    fn kill_machine(&mut self) {
        if let Some(name) = self.machine() {
            self.note(Line::new("machine-killed").with("machine", &name));
            self.fleet.kill_machine(&name);
        }
    }

    /// One machine, or a share of a zone, for a while.
    fn hang_machines(&mut self) {
        let seconds = self.rng.random_range(2.0..40.0);
        let zone = self.rng.random_bool(0.3).then(|| draw::one_of(&mut self.rng, &self.zones));
        let names: Vec<String> = match zone {
            Some(zone) => {
                let here = self.fleet.workers().filter(|(_, worker)| worker.zone == zone);
                here.map(|(name, _)| name.to_string()).collect()
            }
            None => self.machine().into_iter().collect(),
        };
        self.note(Line::new("machines-hang").list("machines", &names).amount("seconds", seconds));
        names.iter().for_each(|name| self.fleet.hang_machine(name, seconds));
    }

    fn announce_loss(&mut self) {
        let seconds = self.rng.random_range(5.0..60.0);
        if let Some(name) = self.machine() {
            self.note(Line::new("loss-announced").with("machine", &name).amount("seconds", seconds));
            self.fleet.announce_loss(&name, seconds);
        }
    }

    fn never_boot(&mut self) {
        let machines = self.rng.random_range(1..=3);
        self.note(Line::new("never-boot").with("machines", machines));
        self.fleet.never_boot += machines;
    }

    fn state_service_out(&mut self) {
        let seconds = self.rng.random_range(2.0..20.0);
        self.note(Line::new("state-service-out").amount("seconds", seconds));
        self.fleet.store.out = true;
        self.run(seconds);
        self.fleet.store.out = false;
    }

    fn answers_lost(&mut self) {
        let seconds = self.rng.random_range(2.0..15.0);
        self.note(Line::new("answers-lost").amount("seconds", seconds));
        self.fleet.store.answers_lost = true;
        self.run(seconds);
        self.fleet.store.answers_lost = false;
    }

    /// The next leader may find a team's ledger that it can't read.
    fn change_leader(&mut self) {
        if self.draining && self.rng.random_bool(0.2) {
            self.fleet.store.unreadable_ledgers =
                vec![draw::one_of(&mut self.rng, &["t", "u", "v"]).to_string()];
        }
        self.note(Line::new("change-leader"));
        self.fleet.change_leader();
        self.fleet.store.unreadable_ledgers.clear();
    }

    fn lose_all_controllers(&mut self) {
        let seconds = self.rng.random_range(2.0..40.0);
        self.note(Line::new("lose-all-controllers").amount("seconds", seconds));
        self.fleet.lose_all_controllers(seconds);
    }

    /// A job's record can't be read by the next leader, for a while.
    fn unreadable_record(&mut self) {
        let Some(job_id) = self.live_job() else { return };
        self.note(Line::new("unreadable-record").with("job", job_id.0));
        self.fleet.store.unreadable.insert(job_id);
        self.fleet.change_leader();
        let seconds = self.rng.random_range(2.0..25.0);
        self.run(seconds);
        self.fleet.store.unreadable.clear();
    }

    fn drain(&mut self) {
        if !self.draining {
            return self.submit();
        }
        self.drains += 1;
        let machines = self.fleet.machine_names();
        let day_s = self.fleet.day_ms() as f64 / 1_000.0;
        let request = draw::drain(&mut self.rng, self.drains, &machines, &self.zones, day_s);
        self.note(Line::new("drain").with("drain", request.id.as_str()).with("replace", request.replace));
        self.fleet.drain(request);
    }

    fn wish(&mut self) {
        if self.drains == 0 {
            return;
        }
        let id = format!("drain-{}", self.rng.random_range(1..=self.drains));
        let wish = draw::wish(&mut self.rng);
        self.note(Line::new("wish").with("drain", &id));
        self.fleet.set_desired_state(&id, wish);
    }
}
