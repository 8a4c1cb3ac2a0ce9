//! The planner against exhaustive search, and its answers against the limits.

use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::Allowance;
use dockpier_drain::plan::{
    allowed, choose, refusal, Amounts, Candidate, Expected, Limits, Method, Refusal, ZoneRoom,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TIME_LIMIT_S: f64 = 2.0;
const TEAMS: [&str; 2] = ["t", "u"];
const ZONES: [&str; 2] = ["a", "b"];

fn expected() -> impl Strategy<Value = BTreeMap<String, Expected>> {
    proptest::collection::btree_map(proptest::sample::select(&TEAMS[..]), (1..4u32, 0..30u32), 0..=2)
        .prop_map(|teams| {
            let expected = |(together, replica_s): (u32, u32)| Expected {
                together,
                cost: Cost { replica_s: f64::from(replica_s), work_s: f64::from(replica_s % 7) },
            };
            teams.into_iter().map(|(team, needs)| (team.to_string(), expected(needs))).collect()
        })
}

fn candidate(drains: usize) -> impl Strategy<Value = Candidate> {
    (0..drains, proptest::sample::select(&ZONES[..]), 0..5i64, 0..3i64, expected()).prop_map(
        |(drain, zone, moves, places, teams)| Candidate {
            drain,
            machine: String::new(),
            zone: zone.to_string(),
            moves: Amounts { cpus: moves, gpus: moves / 2, memory: moves },
            places,
            teams,
        },
    )
}

fn limits(drains: usize) -> impl Strategy<Value = Limits> {
    let team = (0..4u32, 0..80u32).prop_map(|(tasks, replica_s)| Allowance {
        tasks,
        cost: Cost { replica_s: f64::from(replica_s), work_s: f64::from(replica_s / 4) },
    });
    let zone = (0..12i64, 0..5i64).prop_map(|(room, spare_places)| ZoneRoom {
        free: Amounts { cpus: room, gpus: room, memory: room },
        spare_places,
    });
    let teams = proptest::collection::vec(team, TEAMS.len());
    let zones = proptest::collection::vec(zone, ZONES.len());
    (0..7usize, proptest::collection::vec(0..6usize, drains), teams, zones).prop_map(
        |(machines, drains, teams, zones)| Limits {
            machines,
            drains,
            teams: TEAMS.iter().map(|team| team.to_string()).zip(teams).collect(),
            zones: ZONES.iter().map(|zone| zone.to_string()).zip(zones).collect(),
        },
    )
}

/// The size of the largest set that the limits allow, by trying every one.
fn largest(candidates: &[Candidate], limits: &Limits) -> usize {
    let sets = 0..1u32 << candidates.len();
    let chosen = |set: u32| (0..candidates.len()).filter(|at| set & 1 << at != 0).collect::<Vec<_>>();
    sets.map(chosen).filter(|set| allowed(candidates, set, limits)).map(|set| set.len()).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn no_allowed_set_is_larger_than_the_choice(
        candidates in proptest::collection::vec(candidate(2), 0..9),
        limits in limits(2),
    ) {
        let choice = choose(&candidates, &limits, TIME_LIMIT_S);
        prop_assert!(allowed(&candidates, &choice.chosen, &limits), "{choice:?} passes a limit");
        prop_assert_eq!(choice.chosen.len(), largest(&candidates, &limits), "{:?}", choice);
    }

    #[test]
    fn machines_that_are_refused_alone_are_never_chosen(
        candidates in proptest::collection::vec(candidate(3), 0..20),
        limits in limits(3),
    ) {
        let choice = choose(&candidates, &limits, TIME_LIMIT_S);
        for at in &choice.chosen {
            prop_assert_eq!(refusal(&candidates[*at], &limits), None);
        }
    }

    /// Without time the answer in order stands, and keeps every limit.
    #[test]
    fn without_time_for_the_solver_the_choice_is_still_allowed(
        candidates in proptest::collection::vec(candidate(2), 0..40),
        limits in limits(2),
    ) {
        let choice = choose(&candidates, &limits, 0.0);
        prop_assert!(allowed(&candidates, &choice.chosen, &limits));
    }
}

/// Two machines of the second kind fit where the first one alone would take all: order alone does not find them.
#[test]
fn the_solver_chooses_more_machines_than_the_given_order() {
    let machine = |replica_s: f64| Candidate {
        zone: "a".into(),
        teams: [("t".to_string(), Expected { together: 1, cost: Cost::replica(replica_s) })].into(),
        ..Candidate::default()
    };
    let candidates = [machine(10.0), machine(5.0), machine(5.0)];
    let left = Allowance { tasks: 1, cost: Cost::replica(10.0) };
    let limits = Limits {
        machines: 3,
        drains: vec![3],
        teams: [("t".to_string(), left)].into(),
        zones: [("a".to_string(), ZoneRoom::default())].into(),
    };
    let choice = choose(&candidates, &limits, TIME_LIMIT_S);
    assert_eq!((choice.chosen, choice.method), (vec![1, 2], Method::Solver));
    assert!(matches!(
        refusal(&machine(11.0), &limits),
        Some(Refusal::Budget { team, left: told, .. }) if team == "t" && told == left
    ));
}

#[test]
fn choices_keep_each_zones_reserved_places_and_free_room() {
    let machine = |places, moves| Candidate {
        zone: "a".into(),
        places,
        moves: Amounts { cpus: moves, gpus: moves, memory: moves },
        ..Candidate::default()
    };
    let room = ZoneRoom { free: Amounts { cpus: 4, gpus: 4, memory: 4 }, spare_places: 3 };
    let limits =
        Limits { machines: 9, drains: vec![9], zones: [("a".to_string(), room)].into(), ..Limits::default() };
    let candidates = [machine(2, 0), machine(2, 0), machine(1, 0), machine(0, 3), machine(0, 2)];
    let choice = choose(&candidates, &limits, TIME_LIMIT_S);
    assert_eq!(choice.chosen, [0, 2, 3]);
    assert!(matches!(
        refusal(&machine(4, 0), &limits),
        Some(Refusal::ReservedPlaces { needs: 4, left: 3, .. })
    ));
    assert!(matches!(refusal(&machine(0, 5), &limits), Some(Refusal::NoRoom { .. })));
    let elsewhere = Candidate { zone: "b".into(), ..machine(1, 0) };
    assert!(refusal(&elsewhere, &limits).is_some(), "nothing is known of its zone");
}
