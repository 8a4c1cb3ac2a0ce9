//! The domain values that several golden files show, spelled out.

use dockpier::protocol::records::MachineRecord;
use dockpier::protocol::users::{JobKind, JobPriority, Submission};
use dockpier_drain::budget::{Budget, Cost};
use dockpier_drain::ledger::{Allowance, Ledger, LedgerRecord};
use dockpier_drain::progress::{Counts, MachineDrainState, MachineEntry};
use dockpier_drain::request::{DesiredState, DrainId, DrainRequest, StoredRequest, Target};
use dockpier_drain::status::{DrainState, Summary, Wait};

/// A job with every optional field.
pub fn full_submission() -> Submission {
    Submission {
        job_id: "job-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: JobPriority::High,
        tasks: 3,
        cpus: 2.0,
        gpus: 0.5,
        memory_gb: 6.4,
        image: "img-07".into(),
        image_gb: 1.25,
        machine_types: Some(vec!["g8".into(), "m4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 20.0,
        save_s: 3.5,
        deadline_s: Some(7200.0),
    }
}

/// The same without them, of another kind and priority.
pub fn plain_submission(job_id: &str, kind: JobKind, priority: JobPriority) -> Submission {
    let plain = Submission { machine_types: None, zone: None, deadline_s: None, ..full_submission() };
    Submission { job_id: job_id.into(), kind, priority, one_zone: false, spread: true, spot: false, ..plain }
}

/// A spot machine with images, and an ordinary one without.
pub fn machine_records() -> Vec<MachineRecord> {
    let spot = MachineRecord {
        machine: "m-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        address: "10.1.0.232:9000".into(),
        images: vec!["img-07".into(), "img-08".into()],
    };
    let ordinary = MachineRecord {
        machine: "m-000232".into(),
        machine_type: "m4".into(),
        zone: "b".into(),
        spot: false,
        address: "10.1.0.233:9000".into(),
        images: Vec::new(),
    };
    vec![spot, ordinary]
}

/// A drain's name.
pub fn drain_id(id: &str) -> DrainId {
    DrainId::try_from(id.to_string()).unwrap()
}

/// A drain with every optional field.
pub fn full_request(id: &str) -> DrainRequest {
    DrainRequest {
        id: drain_id(id),
        target: Target::Kind { machine_type: "g8".into(), zone: "a".into() },
        share: Some(0.25),
        reason: "firmware 7.2".into(),
        deadline: Some(4_102_444_800.5),
        replace: true,
    }
}

/// A drain with none.
pub fn plain_request(id: &str, target: Target) -> DrainRequest {
    DrainRequest {
        id: drain_id(id),
        target,
        share: None,
        reason: "rack 4 moves".into(),
        deadline: None,
        replace: false,
    }
}

/// The machines that a drain names.
pub fn named_machines() -> Target {
    Target::Machines(vec!["m-000231".into(), "m-000232".into()])
}

/// A stored drain of each target and each wish.
pub fn stored_requests() -> Vec<StoredRequest> {
    let stored = |request, wish| StoredRequest { request, accepted: 1_764_645_000_000, desired_state: wish };
    vec![
        stored(full_request("firmware-7"), DesiredState::Run),
        stored(plain_request("rack-4", named_machines()), DesiredState::Pause),
        stored(plain_request("refresh", Target::All {}), DesiredState::Cancel),
    ]
}

/// A machine in each state of a drain.
pub fn machine_entries() -> Vec<MachineEntry> {
    let other = || Some("m-000901".to_string());
    let states = [
        MachineDrainState::Waiting,
        MachineDrainState::Replacing { attempt: 2, machine: None },
        MachineDrainState::Replacing { attempt: 1, machine: other() },
        MachineDrainState::Cordoned { replacement: None },
        MachineDrainState::Cordoned { replacement: other() },
        MachineDrainState::Returned { replacement: None },
        MachineDrainState::Returned { replacement: other() },
        MachineDrainState::Gone,
    ];
    let named =
        |(at, state): (usize, MachineDrainState)| MachineEntry { machine: format!("m-{at:06}"), state };
    states.into_iter().enumerate().map(named).collect()
}

/// Everything that a drain may wait for.
pub fn waits() -> Vec<Wait> {
    let left = Allowance { tasks: 1, cost: Cost { replica_s: 20.5, work_s: 0.0 } };
    let (job, zone, machine) = ("job-000412", "a", "m-000231");
    vec![
        Wait::Budget { team: "vision".into(), tasks: 2, cost: Cost { replica_s: 40.25, work_s: 3.0 }, left },
        Wait::NoPlace { job: job.into() },
        Wait::NoRoom { zone: zone.into() },
        Wait::ReservedPlaces { zone: zone.into(), needs: 3, left: -1 },
        Wait::NoReplacement { machine: machine.into() },
        Wait::ReplacementStarting { machine: machine.into() },
        Wait::JobNotWhole { job: job.into() },
        Wait::TaskStarting { job: job.into() },
        Wait::GangUnreachable { job: job.into() },
        Wait::Finishing { tasks: 4 },
        Wait::Stopping { job: job.into() },
        Wait::Reconciling,
        Wait::ZoneUnreachable { zone: zone.into() },
        Wait::Unwritten,
        Wait::StepFull,
        Wait::Paused,
    ]
}

/// What the leader says of a drain in a state.
pub fn summary(state: DrainState, waits: Vec<Wait>, estimate: Option<u64>) -> Summary {
    Summary {
        state,
        counts: Counts { waiting: 1, replacing: 2, cordoned: 3, returned: 4, replaced: 5, gone: 6 },
        waits,
        never: estimate.is_none(),
        late: estimate.is_some(),
        estimate,
        updated: 1_764_645_060_000,
        token: 41,
    }
}

/// A budget with every amount.
pub fn budget() -> Budget {
    Budget { tasks: 5, cost: Cost { replica_s: 120.0, work_s: 600.0 }, window_s: 3_600.0 }
}

/// When the ledger was written: far enough ahead for its buckets to count in any run of the tests.
pub const LEDGER_AT: u64 = 4_102_444_800_000;

/// A ledger with a settled stop, an open one, one that was not told after all, and a loss.
pub fn ledger_record() -> LedgerRecord {
    let (mut ledger, budget) = (Ledger::default(), budget());
    let settled = ledger.reserve(LEDGER_AT - 900_000, &budget, true, Cost::replica(20.0));
    ledger.told(settled, LEDGER_AT - 890_000);
    ledger.settle(settled, LEDGER_AT - 865_000, Cost::work(1.2346));
    ledger.reserve(LEDGER_AT, &budget, false, Cost::work(60.5));
    let untold = ledger.reserve(LEDGER_AT, &budget, true, Cost::replica(7.0));
    ledger.release(untold);
    ledger.lose(LEDGER_AT, &budget, false, Cost::work(11.0));
    ledger.record(LEDGER_AT, &budget)
}
