//! Eligibility, scores and the zone rules of jobs.

use super::*;
use crate::scheduler::model::{JobId, JobSpec, Kind, StoredMachine};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// A normal job of one-core tasks with the image `image`, to which all machines are open.
pub(in crate::scheduler) fn spec(kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        job_id: JobId(1),
        class: "class".into(),
        team: "team".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        resource_request: Resources::needed(1.0, 0.0, 1.0),
        image: "image".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

pub(in crate::scheduler) fn job(spec: JobSpec) -> Job {
    Job::new(spec, 1, Timestamp::ZERO, false, BTreeSet::new())
}

/// A machine of the type `type` with four cores.
pub(in crate::scheduler) fn machine(name: &str, zone: &str, spot: bool) -> Machine {
    let stored = StoredMachine {
        name: name.into(),
        machine_type: "type".into(),
        zone: zone.into(),
        spot,
        address: String::new(),
        images: BTreeSet::new(),
    };
    Machine::new(&stored, Resources::offered(4.0, 0.0, 4.0), Timestamp::ZERO, Timestamp::ZERO)
}

fn score(job: &Job, machine: &Machine) -> Score {
    Score::of(job, machine, true)
}

#[test]
fn spot_work_takes_a_spot_machine_first_and_a_warm_image_next() {
    let job = job(spec(Kind::Array, 1));
    let (cold_spot, ordinary) = (machine("m-1", "a", true), machine("m-2", "a", false));
    let mut warm_spot = machine("m-3", "a", true);
    let mut warm_ordinary = machine("m-4", "a", false);
    warm_spot.image_cache.images.insert("image".into());
    warm_ordinary.image_cache.images.insert("image".into());
    assert!(score(&job, &warm_spot) < score(&job, &cold_spot));
    assert!(score(&job, &cold_spot) < score(&job, &warm_ordinary));
    assert!(score(&job, &warm_ordinary) < score(&job, &ordinary));
    // Where no work needs ordinary machines, a warm image comes before a spot machine.
    assert!(Score::of(&job, &warm_ordinary, false) < Score::of(&job, &cold_spot, false));
}

#[test]
fn work_that_may_not_use_spot_machines_is_not_eligible_for_them() {
    let fixed = job(JobSpec { spot: false, ..spec(Kind::Service, 1) });
    assert!(!is_eligible(&fixed, &machine("m-1", "a", true)));
    assert!(is_eligible(&fixed, &machine("m-2", "a", false)));
    let elsewhere = job(JobSpec { zone: Some("b".into()), ..spec(Kind::Array, 1) });
    assert!(!is_eligible(&elsewhere, &machine("m-3", "a", false)));
    let other_type = job(JobSpec { types: Some(vec!["other".into()]), ..spec(Kind::Array, 1) });
    assert!(!is_eligible(&other_type, &machine("m-4", "a", false)));
}

#[test]
fn zone_rules_bound_how_many_more_tasks_a_zone_takes() {
    let mut count = ZoneCount::default();
    count.add_many("a", 2);
    let spread = job(JobSpec { spread: true, ..spec(Kind::Service, 5) });
    assert_eq!((count.tasks_allowed(&spread, "a"), count.tasks_allowed(&spread, "b")), (1, 3));
    let together = job(JobSpec { one_zone: true, ..spec(Kind::Array, 5) });
    assert_eq!((count.tasks_allowed(&together, "a"), count.tasks_allowed(&together, "b")), (3, 0));
    count.remove("a");
    count.remove("a");
    assert!(count.allows(&together, "b"));
}

#[test]
fn remainder_is_smallest_on_the_fullest_machine() {
    let job = job(spec(Kind::Array, 1));
    let (fuller, emptier) = (Resources::offered(2.0, 0.0, 4.0), Resources::offered(4.0, 0.0, 4.0));
    assert!(remainder(&job, &fuller) < remainder(&job, &emptier));
    let with_gpu = Resources::offered(1.0, 1.0, 4.0);
    assert!(remainder(&job, &emptier) < remainder(&job, &with_gpu));
}
