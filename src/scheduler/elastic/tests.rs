//! Tests that the search by equivalence classes leaves out no machine: for random fleets and jobs, it must
//! find the same machines as a search that evaluates every machine individually.

use super::*;
use crate::fencing_token::FencingToken;
use crate::scheduler::model::{
    JobSpec, Kind, MachineState, MachineType, Placement, Priority, Resources, TaskId, TaskStatus,
};
use crate::scheduler::{Command, Config, StoredJob, StoredMachine};
use crate::settings::{Operator, Team, Workers};
use crate::time::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;

fn config() -> Config {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    Config {
        token: FencingToken(1),
        operator: Operator::default(),
        workers: Workers {
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 40.0,
            gang_wait_s: 30.0,
            gang_peer_s: 6.0,
        },
        teams: vec![team],
        zones: vec!["a".into(), "b".into(), "c".into()],
        list_lag_s: 3.0,
        max_round_steps: limits::MAX_ROUND_STEPS,
        cpu_share: 1.0,
        write_rps: 1_000.0,
        max_machines_per_record: 20,
        max_value_bytes: 4_096,
        max_concurrent_rentals: 10,
        shard_lease: Duration::ZERO,
    }
}

/// A machine type with `amount` cores, GPUs and GB of memory each.
fn machine_type(name: &str, amount: f64, zones: &[String]) -> MachineType {
    MachineType {
        name: name.into(),
        capacity: Resources::rounded_down(amount, amount, amount),
        price: 1.0,
        spot_price: Some(0.5),
        boot_s: 10.0,
        fetch_gb_per_s: 1.0,
        zones: zones.to_vec(),
    }
}

fn random_job(rng: &mut SmallRng, id: u64) -> JobSpec {
    let kind = [Kind::Array, Kind::Service, Kind::Array][rng.random_range(0..3)];
    let priorities = [Priority::Low, Priority::Normal, Priority::High];
    let amount = f64::from(rng.random_range(1..3u32));
    JobSpec {
        job_id: JobId(id),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: if kind == Kind::Service { Priority::Critical } else { priorities[rng.random_range(0..3)] },
        tasks: rng.random_range(1..60),
        resource_request: Resources::rounded_up(amount, amount, amount),
        image: format!("i{}", rng.random_range(0..4)),
        image_gb: 1.0,
        allowed_machine_types: rng.random_bool(0.3).then(|| vec!["m".to_string()]),
        required_zone: rng.random_bool(0.2).then(|| "b".to_string()),
        one_zone: kind == Kind::Array && rng.random_bool(0.2),
        spread: kind == Kind::Service && rng.random_bool(0.5),
        allows_spot: kind == Kind::Array && rng.random_bool(0.7),
        estimate_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
    }
}

/// A scheduler with machines of two types in three zones: spot and ordinary, some with images, some fetching
/// an image, some partly full.
fn random_scheduler(rng: &mut SmallRng, machines: usize) -> Scheduler {
    let config = config();
    let zones = config.zones.clone();
    let types = vec![machine_type("m", 4.0, &zones), machine_type("n", 8.0, &zones)];
    let mut scheduler = Scheduler::new(config, Timestamp::from_secs(1));
    let load = Command::StateLoaded { jobs: vec![], records: vec![] };
    drop(scheduler.step(Timestamp::from_secs(1), vec![Command::MachineTypes(types), load]));
    // In about half of the fleets all machines have the image `i0`.
    let all_have_first_image = rng.random_bool(0.5);
    for number in 0..machines {
        let zone = zones[rng.random_range(0..3)].clone();
        let name = format!("m-{number:06}");
        let machine_type = if rng.random_bool(0.7) { "m" } else { "n" };
        scheduler.get_or_add_machine(&StoredMachine {
            name: name.clone(),
            machine_type: machine_type.into(),
            zone,
            spot: rng.random_bool(0.5),
            address: String::new(),
            images: BTreeSet::new(),
        });
        let images = (0..4).filter(|image| all_have_first_image && *image == 0 || rng.random_bool(0.05));
        let images: BTreeSet<String> = images.map(|image| format!("i{image}")).collect();
        for image in &images {
            scheduler.machines_by_image.entry(image.clone()).or_default().insert(name.clone());
        }
        let Some(machine) = scheduler.machines.get_mut(&name) else { continue };
        (machine.state, machine.accounted_for, machine.recorded) = (MachineState::Ready, true, true);
        (machine.heartbeats.last_at, machine.image_cache.images) = (Timestamp::from_secs(1), images);
        machine.lifecycle.to_be_emptied = !machine.spot && rng.random_bool(0.2);
        machine.health.quarantined_until =
            if rng.random_bool(0.1) { Timestamp::from_secs(100) } else { Timestamp::ZERO };
        for task in 0..rng.random_range(0..4u32) {
            let id = TaskId { job_id: JobId(900_000 + number as u64), task };
            let fetching = rng.random_bool(0.1);
            let placed = Placement {
                attempt: 1,
                resource_request: Resources::rounded_up(1.0, 1.0, 1.0),
                start_sent_in_response_to: None,
                confirmed: true,
                status: if fetching { TaskStatus::Fetching } else { TaskStatus::Running },
                running_since: None,
                image: "other".into(),
                placed_at: Timestamp::ZERO,
                stopping: None,
            };
            machine.tasks.insert(id, placed);
        }
    }
    scheduler
}

#[test]
fn equivalence_classes_find_the_same_machines_as_evaluating_every_machine() {
    let mut requests_with_machines = 0;
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let machines = rng.random_range(5..260);
        let mut scheduler = random_scheduler(&mut rng, machines);
        let specs: Vec<JobSpec> = (1..12).map(|id| random_job(&mut rng, id)).collect();
        for spec in specs {
            let version = spec.job_id.0;
            // `false`: not inherited from an earlier leader.
            scheduler
                .add_job(StoredJob { spec, version, age: Duration::ZERO, succeeded: BTreeSet::new() }, false);
        }
        let order: Vec<JobId> = scheduler.jobs.keys().copied().collect();
        let mut steps = 0;
        let mut with_classes = scheduler.free_capacity(&order, &mut steps);
        for job_id in order {
            let mut without_classes = with_classes.clone();
            let names: Vec<String> = without_classes.available.keys().cloned().collect();
            names.iter().for_each(|name| without_classes.classes.remove(name));
            let job = &scheduler.jobs[&job_id];
            let (tasks, avoids_shared_fetch) =
                (rng.random_range(1..job.spec.tasks + 1), rng.random_bool(0.5));
            let shared_fetch = if avoids_shared_fetch { SharedFetch::Avoid } else { SharedFetch::Allow };
            let request = PlacementRequest { job, tasks, shared_fetch };
            let found = scheduler.find_machines(request, &with_classes, &mut steps);
            let found_without_classes = scheduler.find_machines(request, &without_classes, &mut steps);
            assert_eq!(found, found_without_classes, "seed {seed}, {job_id}");
            requests_with_machines += usize::from(!found.is_empty());
            let needs = job.spec.resource_request;
            for name in found.iter().take(rng.random_range(0..8)) {
                with_classes.take(&scheduler.machines[name], &needs);
            }
        }
    }
    assert!(requests_with_machines > 300, "{requests_with_machines} jobs found machines");
}
