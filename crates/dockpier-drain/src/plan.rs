//! Which machines the next step takes: as many as possible such that no team passes its budget, each zone keeps its
//! reserved places and has room for what moves, and no drain takes more than its share.
//!
//! Choosing the largest such set is a small integer program. Most steps do not need it: where taking machines in
//! their order already fills the step, no set is larger. Otherwise a solver looks for a better one within a time
//! limit, and the greedy answer stands where it finds none.

use crate::budget::Cost;
use crate::ledger::Allowance;
use good_lp::{constraint, microlp, variable, variables, Expression, Solution, SolverModel, WithTimeLimit};
use std::collections::BTreeMap;

/// Amounts of a machine's resources: processor cores and GPUs in thousandths, memory in MB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Amounts {
    /// Processor cores.
    pub cpus: i64,
    /// GPUs.
    pub gpus: i64,
    /// Memory.
    pub memory: i64,
}

impl Amounts {
    fn each(&self) -> [i64; 3] {
        [self.cpus, self.gpus, self.memory]
    }

    fn plus(self, other: Amounts) -> Amounts {
        Amounts {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }

    fn fits(&self, room: &Amounts) -> bool {
        self.each().iter().zip(room.each()).all(|(needed, free)| *needed <= free)
    }
}

/// What emptying a machine takes of one team.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Expected {
    /// The most tasks that have to be stopped together.
    pub together: u32,
    /// All that it takes.
    pub cost: Cost,
}

/// A machine that a step may take.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Candidate {
    /// The drain that it belongs to, by its place in [`Limits::drains`].
    pub drain: usize,
    /// Its name.
    pub machine: String,
    /// Its zone.
    pub zone: String,
    /// What has to move to other machines of the zone; nothing where a replacement comes for it.
    pub moves: Amounts,
    /// Reserved places that its zone loses with it.
    pub places: i64,
    /// What it takes of each team.
    pub teams: BTreeMap<String, Expected>,
}

/// What a zone can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneRoom {
    /// Free room on machines that stay.
    pub free: Amounts,
    /// Places of critical services beyond those that are reserved.
    pub spare_places: i64,
}

/// What a step has to keep to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Limits {
    /// Machines that it may take in all.
    pub machines: usize,
    /// Machines that it may take of each drain.
    pub drains: Vec<usize>,
    /// What each team has left; a team that is not named has nothing.
    pub teams: BTreeMap<String, Allowance>,
    /// What each zone can take; a zone that is not named has nothing.
    pub zones: BTreeMap<String, ZoneRoom>,
}

/// How a choice was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// In the order given; it fills the step.
    InOrder,
    /// By the solver.
    Solver,
    /// In the order given, since the solver found nothing better in its time.
    Greedy,
}

/// The machines of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Their places among the candidates, ascending.
    pub chosen: Vec<usize>,
    /// How they were found.
    pub method: Method,
}

/// Why a step can't take a machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Refusal {
    /// A team's budget does not cover it.
    Budget {
        /// The team.
        team: String,
        /// What it would take.
        needs: Expected,
        /// What is left.
        left: Allowance,
    },
    /// The other machines of its zone have no room for what runs on it.
    NoRoom {
        /// The zone.
        zone: String,
    },
    /// Its zone would be left with too few reserved places.
    ReservedPlaces {
        /// The zone.
        zone: String,
        /// Places that the zone would lose.
        needs: i64,
        /// Places that it can spare.
        left: i64,
    },
}

/// Candidates of one step; those beyond are left to the next, so that the solver's problem stays small.
pub const MAX_CANDIDATES: usize = 200;

/// What a set of machines takes together.
#[derive(Clone, Default)]
struct Selection {
    machines: usize,
    /// Machines of each drain.
    drains: BTreeMap<usize, usize>,
    /// What each team loses.
    teams: BTreeMap<String, Cost>,
    /// What each zone loses.
    zones: BTreeMap<String, ZoneUse>,
}

/// What a set of machines takes of a zone.
#[derive(Clone, Copy, Default)]
struct ZoneUse {
    /// What has to move to its other machines.
    moves: Amounts,
    /// Reserved places that it loses.
    places: i64,
}

/// Why a machine is not added to a selection.
enum Excluded {
    /// The step, or the machine's drain, is full.
    StepFull,
    /// It can't be added to what is selected.
    Refused(Refusal),
}

impl Selection {
    /// Adds the machine if the limits allow it besides what is selected.
    fn add(&mut self, candidate: &Candidate, limits: &Limits) -> Result<(), Excluded> {
        self.check_step(candidate, limits)?;
        self.check_teams(candidate, limits).map_err(Excluded::Refused)?;
        let zone_use = self.zone_use(candidate, limits).map_err(Excluded::Refused)?;
        self.machines += 1;
        *self.drains.entry(candidate.drain).or_default() += 1;
        for (team, needs) in &candidate.teams {
            let spent = self.teams.entry(team.clone()).or_default();
            *spent = spent.plus(needs.cost);
        }
        self.zones.insert(candidate.zone.clone(), zone_use);
        Ok(())
    }

    fn check_step(&self, candidate: &Candidate, limits: &Limits) -> Result<(), Excluded> {
        let of_drain = self.drains.get(&candidate.drain).copied().unwrap_or(0);
        let max = limits.drains.get(candidate.drain).copied().unwrap_or(0);
        match self.machines >= limits.machines || of_drain >= max {
            true => Err(Excluded::StepFull),
            false => Ok(()),
        }
    }

    fn check_teams(&self, candidate: &Candidate, limits: &Limits) -> Result<(), Refusal> {
        for (team, needs) in &candidate.teams {
            let left = limits.teams.get(team).copied().unwrap_or_default();
            let spent = self.teams.get(team).copied().unwrap_or_default();
            if needs.together > left.tasks || !spent.plus(needs.cost).fits(left.cost) {
                return Err(Refusal::Budget { team: team.clone(), needs: *needs, left });
            }
        }
        Ok(())
    }

    /// What the selection takes of the candidate's zone with it.
    fn zone_use(&self, candidate: &Candidate, limits: &Limits) -> Result<ZoneUse, Refusal> {
        let room = limits.zones.get(&candidate.zone).copied().unwrap_or_default();
        let before = self.zones.get(&candidate.zone).copied().unwrap_or_default();
        let moves = before.moves.plus(candidate.moves);
        if candidate.moves != Amounts::default() && !moves.fits(&room.free) {
            return Err(Refusal::NoRoom { zone: candidate.zone.clone() });
        }
        let places = before.places + candidate.places;
        if candidate.places > 0 && places > room.spare_places {
            let (needs, left) = (candidate.places, room.spare_places);
            return Err(Refusal::ReservedPlaces { zone: candidate.zone.clone(), needs, left });
        }
        Ok(ZoneUse { moves, places })
    }
}

/// Why the machine can't be taken even alone; `None`: it can.
pub fn refusal(candidate: &Candidate, limits: &Limits) -> Option<Refusal> {
    let alone = Limits { machines: 1, drains: vec![1; candidate.drain + 1], ..limits.clone() };
    match Selection::default().add(candidate, &alone) {
        Err(Excluded::Refused(refusal)) => Some(refusal),
        Err(Excluded::StepFull) | Ok(()) => None,
    }
}

/// Whether the limits allow all of these together.
pub fn allowed(candidates: &[Candidate], chosen: &[usize], limits: &Limits) -> bool {
    let mut selection = Selection::default();
    chosen.iter().all(|at| candidates.get(*at).is_some_and(|machine| selection.add(machine, limits).is_ok()))
}

/// The machines of the next step. Candidates come in the order in which they are preferred.
pub fn choose(candidates: &[Candidate], limits: &Limits, time_limit_s: f64) -> Choice {
    let candidates = &candidates[..candidates.len().min(MAX_CANDIDATES)];
    let greedy = in_order(candidates, limits);
    let possible: Vec<usize> =
        (0..candidates.len()).filter(|at| refusal(&candidates[*at], limits).is_none()).collect();
    if greedy.len() >= max_machines(candidates, &possible, limits) {
        return Choice { chosen: greedy, method: Method::InOrder };
    }
    match solve(candidates, &possible, limits, time_limit_s) {
        Some(chosen) if chosen.len() > greedy.len() && allowed(candidates, &chosen, limits) => {
            Choice { chosen, method: Method::Solver }
        }
        Some(_) | None => Choice { chosen: greedy, method: Method::Greedy },
    }
}

/// Adds machines one after the other, leaving out those that the limits exclude.
fn in_order(candidates: &[Candidate], limits: &Limits) -> Vec<usize> {
    let mut selection = Selection::default();
    (0..candidates.len()).filter(|at| selection.add(&candidates[*at], limits).is_ok()).collect()
}

/// An upper bound on the machines of any choice.
fn max_machines(candidates: &[Candidate], possible: &[usize], limits: &Limits) -> usize {
    let of_drain = |drain: usize| possible.iter().filter(|at| candidates[**at].drain == drain).count();
    let drains = limits.drains.iter().enumerate().map(|(drain, max)| of_drain(drain).min(*max));
    drains.sum::<usize>().min(limits.machines)
}

/// The largest set by an integer program with one yes or no for each machine; `None`: none found in time.
fn solve(
    candidates: &[Candidate],
    possible: &[usize],
    limits: &Limits,
    time_limit_s: f64,
) -> Option<Vec<usize>> {
    variables! { vars: }
    let chosen: Vec<_> = possible.iter().map(|_| vars.add(variable().binary())).collect();
    // Of equally large sets, the one whose machines come first.
    let preference = |at: usize| 1.0 - at as f64 / (100.0 * MAX_CANDIDATES as f64);
    let objective: Expression = chosen.iter().enumerate().map(|(at, x)| preference(at) * *x).sum();
    let sum = |amount: &dyn Fn(&Candidate) -> f64| -> Expression {
        let terms = possible.iter().zip(&chosen).map(|(at, x)| (amount(&candidates[*at]), *x));
        terms.filter(|(amount, _)| *amount != 0.0).map(|(amount, x)| amount * x).sum()
    };
    let mut problem = vars.maximise(objective).using(microlp).with_time_limit(time_limit_s);
    problem = problem.with(constraint!(sum(&|_| 1.0) <= limits.machines as f64));
    for (drain, max) in limits.drains.iter().enumerate() {
        let of_drain = sum(&|c| f64::from(u8::from(c.drain == drain)));
        problem = problem.with(constraint!(of_drain <= *max as f64));
    }
    for (team, left) in &limits.teams {
        let cost = |c: &Candidate| c.teams.get(team).map_or(Cost::NONE, |needs| needs.cost);
        problem = problem.with(constraint!(sum(&|c| cost(c).replica_s) <= left.cost.replica_s));
        problem = problem.with(constraint!(sum(&|c| cost(c).work_s) <= left.cost.work_s));
    }
    for (name, zone) in &limits.zones {
        let here = |c: &Candidate| c.zone == *name;
        for (at, free) in zone.free.each().into_iter().enumerate() {
            let moves = sum(&|c| if here(c) { c.moves.each()[at] as f64 } else { 0.0 });
            problem = problem.with(constraint!(moves <= free.max(0) as f64));
        }
        let places = sum(&|c| if here(c) { c.places as f64 } else { 0.0 });
        problem = problem.with(constraint!(places <= zone.spare_places.max(0) as f64));
    }
    let solution = problem.solve().ok()?;
    let chosen = possible.iter().zip(&chosen).filter(|(_, x)| solution.value(**x) > 0.5);
    Some(chosen.map(|(at, _)| *at).collect())
}
