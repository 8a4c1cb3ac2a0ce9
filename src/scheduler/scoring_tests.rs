//! Eligibility of machines, their scores, and the zone rules of jobs. The fixtures are also used by other
//! tests.

use super::*;
use crate::scheduler::model::{JobId, JobSpec, Kind, StoredMachine};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// A job of normal priority with one-core tasks and the image `image` that may use every machine.
pub(in crate::scheduler) fn spec(kind: Kind, tasks: u32) -> JobSpec {
    JobSpec {
        job_id: JobId(1),
        class: "class".into(),
        team: "team".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        resource_request: Resources::rounded_up(1.0, 0.0, 1.0),
        image: "image".into(),
        image_gb: 1.0,
        allowed_machine_types: None,
        required_zone: None,
        one_zone: false,
        spread: false,
        allows_spot: true,
        estimate_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

pub(in crate::scheduler) fn job(spec: JobSpec) -> Job {
    Job::new(spec, 1, Timestamp::ZERO, false, BTreeSet::new())
}

/// A machine of the type `type` with four cores: a spot machine if `spot`, else an ordinary one.
pub(in crate::scheduler) fn machine(name: &str, zone: &str, spot: bool) -> Machine {
    let stored = StoredMachine {
        name: name.into(),
        machine_type: "type".into(),
        zone: zone.into(),
        spot,
        address: String::new(),
        images: BTreeSet::new(),
    };
    Machine::new(&stored, Resources::rounded_down(4.0, 0.0, 4.0), Timestamp::ZERO, Timestamp::ZERO)
}

fn score(job: &Job, machine: &Machine) -> Score {
    Score::of(job, machine, true)
}

#[test]
fn spot_jobs_prefer_spot_machines_to_warm_images_while_other_jobs_need_ordinary_machines() {
    let job = job(spec(Kind::Array, 1));
    let (cold_spot, ordinary) = (machine("m-1", "a", true), machine("m-2", "a", false));
    let mut warm_spot = machine("m-3", "a", true);
    let mut warm_ordinary = machine("m-4", "a", false);
    warm_spot.image_cache.images.insert("image".into());
    warm_ordinary.image_cache.images.insert("image".into());
    assert!(score(&job, &warm_spot) < score(&job, &cold_spot));
    assert!(score(&job, &cold_spot) < score(&job, &warm_ordinary));
    assert!(score(&job, &warm_ordinary) < score(&job, &ordinary));
    // If no job needs ordinary machines, a warm image matters more than a spot machine.
    assert!(Score::of(&job, &warm_ordinary, false) < Score::of(&job, &cold_spot, false));
}

#[test]
fn machines_that_a_job_may_not_use_are_not_eligible() {
    let needs_ordinary = job(JobSpec { allows_spot: false, ..spec(Kind::Service, 1) });
    assert!(!is_eligible(&needs_ordinary, &machine("m-1", "a", true)));
    assert!(is_eligible(&needs_ordinary, &machine("m-2", "a", false)));
    let in_other_zone = job(JobSpec { required_zone: Some("b".into()), ..spec(Kind::Array, 1) });
    assert!(!is_eligible(&in_other_zone, &machine("m-3", "a", false)));
    let other_type =
        job(JobSpec { allowed_machine_types: Some(vec!["other".into()]), ..spec(Kind::Array, 1) });
    assert!(!is_eligible(&other_type, &machine("m-4", "a", false)));
}

#[test]
fn zone_rules_limit_the_further_tasks_in_a_zone() {
    let mut count = TasksByZone::default();
    count.add_many("a", 2);
    let spread = job(JobSpec { spread: true, ..spec(Kind::Service, 5) });
    assert_eq!((count.tasks_allowed(&spread, "a"), count.tasks_allowed(&spread, "b")), (1, 3));
    let in_one_zone = job(JobSpec { one_zone: true, ..spec(Kind::Array, 5) });
    assert_eq!((count.tasks_allowed(&in_one_zone, "a"), count.tasks_allowed(&in_one_zone, "b")), (3, 0));
    count.remove("a");
    count.remove("a");
    assert!(count.allows(&in_one_zone, "b"));
}

#[test]
fn remainder_is_smallest_on_the_fullest_machine() {
    let job = job(spec(Kind::Array, 1));
    let (fuller, emptier) = (Resources::rounded_down(2.0, 0.0, 4.0), Resources::rounded_down(4.0, 0.0, 4.0));
    assert!(best_fit_remainder(&job, &fuller) < best_fit_remainder(&job, &emptier));
    let with_gpu = Resources::rounded_down(1.0, 1.0, 4.0);
    assert!(best_fit_remainder(&job, &emptier) < best_fit_remainder(&job, &with_gpu));
}
