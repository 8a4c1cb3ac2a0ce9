//! How coming machines are grouped and filled.

use super::*;
use crate::scheduler::model::{JobSpec, Kind};
use crate::scheduler::scoring::tests::{job, spec};

const FOUR_CORES: Resources = Resources { milli_cpus: 4_000, milli_gpus: 0, memory_mb: 4_000 };

fn offer(zone: &str, spot: bool) -> MachineKind {
    MachineKind { machine_type: "type".into(), zone: zone.into(), spot }
}

fn cores(coming: &ComingMachines) -> Vec<(i64, u32)> {
    let groups = coming.0.iter().filter(|group| group.count > 0);
    groups.map(|group| (group.available.milli_cpus / 1_000, group.count)).collect()
}

fn demand(job: &Job, tasks: u32) -> Demand<'_> {
    Demand { job, zones: TasksByZone::default(), tasks }
}

#[test]
fn alike_machines_are_one_group_and_full_ones_are_none() {
    let mut coming = ComingMachines::default();
    coming.add(&offer("a", true), FOUR_CORES, Load::Empty, 2);
    coming.add(&offer("a", true), FOUR_CORES, Load::Empty, 1);
    coming.add(&offer("a", true), FOUR_CORES, Load::InUse, 1);
    coming.add(&offer("a", true), Resources::default(), Load::InUse, 5);
    assert_eq!(cores(&coming), vec![(4, 3), (4, 1)]);
}

#[test]
fn machines_are_filled_one_after_the_other_and_those_in_use_first() {
    let array = job(spec(Kind::Array, 20));
    let mut coming = ComingMachines::default();
    coming.add(&offer("a", true), FOUR_CORES, Load::Empty, 3);
    let mut first = demand(&array, 5);
    coming.fill(&mut first);
    assert_eq!((first.tasks, cores(&coming)), (0, vec![(4, 1), (3, 1)]));
    let mut second = demand(&array, 3);
    coming.fill(&mut second);
    assert_eq!((second.tasks, cores(&coming)), (0, vec![(4, 1)]));
    let mut third = demand(&array, 9);
    coming.fill(&mut third);
    assert_eq!((third.tasks, cores(&coming)), (5, vec![]));
}

#[test]
fn work_that_may_not_use_spot_machines_waits_for_ordinary_ones() {
    let fixed = job(JobSpec { allows_spot: false, ..spec(Kind::Service, 4) });
    let mut coming = ComingMachines::default();
    coming.add(&offer("a", true), FOUR_CORES, Load::Empty, 1);
    let mut tasks = demand(&fixed, 2);
    coming.fill(&mut tasks);
    assert_eq!(tasks.tasks, 2);
    coming.add(&offer("a", false), FOUR_CORES, Load::Empty, 1);
    coming.fill(&mut tasks);
    assert_eq!(tasks.tasks, 0);
}

#[test]
fn zone_rules_bound_what_a_zone_takes() {
    let spread = job(JobSpec { spread: true, ..spec(Kind::Service, 4) });
    let mut coming = ComingMachines::default();
    coming.add(&offer("a", false), FOUR_CORES, Load::Empty, 1);
    let mut tasks = demand(&spread, 4);
    coming.fill(&mut tasks);
    assert_eq!((tasks.tasks, tasks.zones.get("a")), (2, 2));
}

#[test]
fn critical_places_are_those_of_ordinary_machines_in_the_zone() {
    let mut coming = ComingMachines::default();
    coming.add(&offer("a", false), FOUR_CORES, Load::Empty, 3);
    coming.add(&offer("a", true), FOUR_CORES, Load::Empty, 3);
    coming.add(&offer("b", false), FOUR_CORES, Load::Empty, 3);
    let place = Resources { milli_cpus: 2_000, milli_gpus: 0, memory_mb: 2_000 };
    assert_eq!(coming.critical_places("a", &place), 6);
}
