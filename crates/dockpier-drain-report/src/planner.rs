//! The planner's own time: real time on this machine, with the solver's limit hit and not.

use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::plan::{choose, Amounts, Candidate, Expected, Limits, Method, ZoneRoom};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

/// One size of problem under one time limit.
#[derive(Debug, Clone)]
pub struct Solve {
    /// Machines that may be chosen.
    pub candidates: usize,
    /// The solver's limit in seconds.
    pub limit_s: f64,
    /// The longest time of a choice in milliseconds.
    pub longest_ms: f64,
    /// Choices made.
    pub choices: usize,
    /// Choices by the solver.
    pub solved: usize,
    /// Choices in order, since the solver found nothing better.
    pub greedy: usize,
    /// Machines chosen in all.
    pub chosen: usize,
}

impl fmt::Display for Solve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "planner, {} candidates, limit {:.0} ms: longest {:.1} ms, {} of {} by the solver, {} in order after it, {} \
             machines chosen",
            self.candidates,
            self.limit_s * 1_000.0,
            self.longest_ms,
            self.solved,
            self.choices,
            self.greedy,
            self.chosen
        )
    }
}

/// Choices for each size and limit.
const CHOICES: usize = 40;

/// Problems of different sizes, the same for every limit.
pub fn measure() -> Vec<Solve> {
    let sizes = [10, 50, 200];
    let limits = [0.0, 0.005, 0.02, 1.0];
    sizes.into_iter().flat_map(|size| limits.map(|limit| solve(size, limit))).collect()
}

fn solve(candidates: usize, limit_s: f64) -> Solve {
    let mut solve =
        Solve { candidates, limit_s, longest_ms: 0.0, choices: CHOICES, solved: 0, greedy: 0, chosen: 0 };
    for number in 0..CHOICES {
        let (machines, limits) = problem(candidates, number as u64 + 1);
        let started = Instant::now();
        let choice = choose(&machines, &limits, limit_s);
        solve.longest_ms = solve.longest_ms.max(started.elapsed().as_secs_f64() * 1_000.0);
        solve.solved += usize::from(choice.method == Method::Solver);
        solve.greedy += usize::from(choice.method == Method::Greedy);
        solve.chosen += choice.chosen.len();
    }
    solve
}

/// A problem drawn from its number: three teams, two zones, budgets for about a third of what there is.
fn problem(candidates: usize, number: u64) -> (Vec<Candidate>, Limits) {
    let mut state = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut draw = |bound: u64| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % bound
    };
    let teams = ["t", "u", "v"];
    let zones = ["a", "b"];
    let machines = (0..candidates)
        .map(|number| {
            let moves = draw(8) as i64 + 1;
            let mut own: BTreeMap<String, Expected> = BTreeMap::new();
            for team in teams {
                let cost = Cost::replica(draw(40) as f64 / 2.0 + 1.0);
                if draw(2) == 0 {
                    own.insert(team.to_string(), Expected { together: 1, cost });
                }
            }
            Candidate {
                drain: 0,
                machine: format!("m-{number:06}"),
                zone: zones[draw(2) as usize].to_string(),
                moves: Amounts { cpus: moves, gpus: moves, memory: moves },
                places: draw(3) as i64,
                teams: own,
            }
        })
        .collect();
    let left = Allowance { tasks: 4, cost: Cost::replica(candidates as f64 * 1.7) };
    let room = candidates as i64;
    let zone = ZoneRoom { free: Amounts { cpus: room, gpus: room, memory: room }, spare_places: room / 4 };
    let limits = Limits {
        machines: candidates,
        drains: vec![candidates],
        teams: teams.iter().map(|team| (team.to_string(), left)).collect(),
        zones: zones.iter().map(|name| (name.to_string(), zone)).collect(),
    };
    (machines, limits)
}
