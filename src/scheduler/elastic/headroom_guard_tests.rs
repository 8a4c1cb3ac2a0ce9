//! What a job may take of the places for critical services.

use super::*;
use crate::scheduler::scoring::tests::machine;

/// Guards places of two cores each, of which zone `a` can spare one and zone `b` none.
fn guard() -> HeadroomGuard {
    let spare = BTreeMap::from([("a".to_string(), 1), ("b".to_string(), 0)]);
    HeadroomGuard { place: Some(Resources::needed(2.0, 0.0, 2.0)), spare }
}

const FOUR_CORES: Resources = Resources { cpus: 4_000, gpus: 0, memory: 4_000 };
const THREE_CORES: Resources = Resources { cpus: 3_000, gpus: 0, memory: 3_000 };
const ONE_CORE: Resources = Resources { cpus: 1_000, gpus: 0, memory: 1_000 };

#[test]
fn a_zone_gives_away_no_more_places_than_it_can_spare() {
    let (mut guard, machine) = (guard(), machine("m-1", "a", false));
    assert!(guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    guard.take(&machine, &FOUR_CORES, &ONE_CORE);
    assert!(!guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    // Room that makes no place is open to all.
    assert!(guard.allows(&machine, &THREE_CORES, &ONE_CORE));
}

#[test]
fn a_zone_without_spare_places_gives_none() {
    let guard = guard();
    assert!(!guard.allows(&machine("m-1", "b", false), &FOUR_CORES, &ONE_CORE));
    assert!(!guard.allows(&machine("m-2", "unknown", false), &FOUR_CORES, &ONE_CORE));
}

#[test]
fn spot_machines_hold_no_headroom() {
    let (mut guard, machine) = (guard(), machine("m-1", "b", true));
    assert!(guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    guard.take(&machine, &FOUR_CORES, &ONE_CORE);
    assert_eq!(guard.spare["b"], 0);
}

#[test]
fn without_critical_services_nothing_is_guarded() {
    let guard = HeadroomGuard { place: None, spare: BTreeMap::new() };
    assert!(guard.allows(&machine("m-1", "b", false), &FOUR_CORES, &ONE_CORE));
}
