//! Tests that jobs that are not critical do not use up the critical places kept free for critical services.

use super::*;
use crate::scheduler::scoring::tests::machine;

/// A guard for critical places of two cores each; zone `a` has one spare one and zone `b` none.
fn guard() -> HeadroomGuard {
    let spare = BTreeMap::from([("a".to_string(), 1), ("b".to_string(), 0)]);
    HeadroomGuard { critical_place: Some(Resources::rounded_up(2.0, 0.0, 2.0)), spare }
}

const FOUR_CORES: Resources = Resources { milli_cpus: 4_000, milli_gpus: 0, memory_mb: 4_000 };
const THREE_CORES: Resources = Resources { milli_cpus: 3_000, milli_gpus: 0, memory_mb: 3_000 };
const ONE_CORE: Resources = Resources { milli_cpus: 1_000, milli_gpus: 0, memory_mb: 1_000 };

#[test]
fn a_task_is_refused_once_the_spare_critical_places_of_the_zone_are_used() {
    let (mut guard, machine) = (guard(), machine("m-1", "a", false));
    assert!(guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    guard.take(&machine, &FOUR_CORES, &ONE_CORE);
    assert!(!guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    // Resources that are too small for a whole critical place may be used by any job.
    assert!(guard.allows(&machine, &THREE_CORES, &ONE_CORE));
}

#[test]
fn a_task_is_refused_in_a_zone_without_spare_critical_places() {
    let guard = guard();
    assert!(!guard.allows(&machine("m-1", "b", false), &FOUR_CORES, &ONE_CORE));
    assert!(!guard.allows(&machine("m-2", "unknown", false), &FOUR_CORES, &ONE_CORE));
}

#[test]
fn a_task_on_a_spot_machine_uses_no_headroom() {
    let (mut guard, machine) = (guard(), machine("m-1", "b", true));
    assert!(guard.allows(&machine, &FOUR_CORES, &ONE_CORE));
    guard.take(&machine, &FOUR_CORES, &ONE_CORE);
    assert_eq!(guard.spare["b"], 0);
}

#[test]
fn without_critical_services_every_task_is_allowed() {
    let guard = HeadroomGuard { critical_place: None, spare: BTreeMap::new() };
    assert!(guard.allows(&machine("m-1", "b", false), &FOUR_CORES, &ONE_CORE));
}
