//! Requests, states of machines, and their records.

use dockpier_drain::budget::{Budget, Cost};
use dockpier_drain::ledger::{Allowance, Ledger};
use dockpier_drain::progress::{Chunk, MachineDrainState, Progress};
use dockpier_drain::request::{DrainRequest, Inventory};
use dockpier_drain::status::Wait;
use dockpier_drain::stops::{advise, Advice, TaskKind, TaskView};
use serde_json::{json, Value};

const NOW: f64 = 1_800_000_000.0;

/// A change to a request, and what the refusal names.
type Case = (fn(&mut Value), &'static str);

fn request(change: impl Fn(&mut Value)) -> Result<DrainRequest, String> {
    let mut body =
        json!({"id": "one", "target": {"kind": {"machine_type": "g8", "zone": "a"}}, "reason": "why"});
    change(&mut body);
    serde_json::from_value(body).map_err(|e| e.to_string())
}

#[test]
fn refused_requests_name_the_field() {
    let cases: [Case; 10] = [
        (|b| b["id"] = json!("Upper"), "id"),
        (|b| b["id"] = json!(""), "id"),
        (|b| b["reason"] = json!("  "), "reason"),
        (|b| b["share"] = json!(0.0), "share"),
        (|b| b["share"] = json!(1.1), "share"),
        (|b| b["deadline"] = json!(NOW - 1.0), "deadline"),
        (|b| b["target"] = json!({"machines": []}), "target.machines"),
        (|b| b["target"] = json!({"machines": ["m", "m"]}), "target.machines"),
        (|b| b["target"] = json!({"kind": {"machine_type": "g9", "zone": "a"}}), "machine_type: `g9`"),
        (|b| b["shaer"] = json!(0.5), "shaer"),
    ];
    let inventory = Inventory {
        machines: ["m".to_string()].into(),
        machine_types: ["g8".to_string()].into(),
        zones: ["a".to_string()].into(),
    };
    let judge = |request: Result<DrainRequest, String>| {
        let request = request?;
        request.check(NOW).map_err(|e| e.to_string())?;
        request.check_against(&inventory).map_err(|e| e.to_string())
    };
    assert_eq!(judge(request(|_| ())), Ok(()));
    for (change, says) in cases {
        let error = judge(request(change)).unwrap_err();
        assert!(error.contains(says), "{says}: {error}");
    }
    assert_eq!(request(|b| b["share"] = json!(0.25)).unwrap().at_once(10), 2);
    assert_eq!(request(|b| b["share"] = json!(0.01)).unwrap().at_once(10), 1);
}

#[test]
fn record_parts_stay_within_the_value_size_in_every_machine_state() {
    let names: Vec<String> = (0..4_000).map(|i| format!("m-{i:06}")).collect();
    let mut progress = Progress::of(names.clone(), 2_048);
    for name in &names {
        let replacement = format!("machine-with-a-longer-name-{name}");
        assert!(progress.advance(name, MachineDrainState::Replacing { attempt: 1, machine: None }).is_some());
        let named = MachineDrainState::Replacing { attempt: 1, machine: Some(replacement.clone()) };
        assert!(progress.advance(name, named).is_some());
        let cordoned = MachineDrainState::Cordoned { replacement: Some(replacement) };
        assert!(progress.advance(name, cordoned).is_some());
    }
    let sizes: Vec<usize> =
        progress.chunks().iter().map(|chunk| serde_json::to_vec(chunk).unwrap().len()).collect();
    assert!(sizes.iter().all(|size| *size <= 2_048), "{:?}", sizes.iter().max());
    let read: Vec<Chunk> = serde_json::from_value(serde_json::to_value(progress.chunks()).unwrap()).unwrap();
    assert_eq!(Progress::restore(read).counts().cordoned, 4_000);
}

#[test]
fn machines_make_only_allowed_transitions() {
    let named = |name: &str| Some(name.to_string());
    let mut progress = Progress::of(["m".to_string()], 4_096);
    let mut try_step = |state| progress.advance("m", state).is_some();
    assert!(!try_step(MachineDrainState::Returned { replacement: None }), "not cordoned yet");
    assert!(!try_step(MachineDrainState::Replacing { attempt: 2, machine: None }), "the first attempt is 1");
    assert!(try_step(MachineDrainState::Replacing { attempt: 1, machine: None }));
    assert!(!try_step(MachineDrainState::Cordoned { replacement: None }), "its replacement is not there");
    assert!(try_step(MachineDrainState::Replacing { attempt: 1, machine: named("r") }));
    assert!(!try_step(MachineDrainState::Cordoned { replacement: named("other") }));
    assert!(try_step(MachineDrainState::Cordoned { replacement: named("r") }));
    assert!(try_step(MachineDrainState::Returned { replacement: named("r") }));
    assert!(!try_step(MachineDrainState::Gone), "it has ended");
}

fn task(kind: TaskKind) -> TaskView {
    TaskView {
        job: "job".into(),
        team: "t".into(),
        kind,
        runs: true,
        ran_s: 100.0,
        remaining_s: 100.0,
        checkpoint_s: 10.0,
        save_s: 2.0,
        move_s: Some(5.0),
        job_whole: true,
        gang_tasks: 4,
        gang_reachable: true,
        late: false,
    }
}

#[test]
fn advice_follows_from_the_task_and_what_is_left_of_its_budget() {
    let left = Allowance { tasks: 3, cost: Cost { replica_s: 10.0, work_s: 50.0 } };
    let of = |kind, change: fn(&mut TaskView)| {
        let mut view = task(kind);
        change(&mut view);
        advise(&view, &left)
    };
    let stop = |cost, grace_s, tasks| Advice::Stop { cost, grace_s, tasks };
    assert_eq!(of(TaskKind::Replica, |_| ()), stop(Cost::replica(5.0), 0.0, 1));
    assert!(matches!(of(TaskKind::Replica, |t| t.move_s = Some(11.0)), Advice::Wait(Wait::Budget { .. })));
    assert!(matches!(of(TaskKind::Replica, |t| t.move_s = None), Advice::Wait(Wait::NoPlace { .. })));
    assert!(matches!(of(TaskKind::Replica, |t| t.job_whole = false), Advice::Wait(Wait::JobNotWhole { .. })));
    assert!(matches!(of(TaskKind::Replica, |t| t.runs = false), Advice::Wait(Wait::TaskStarting { .. })));
    assert_eq!(of(TaskKind::Array, |_| ()), stop(Cost::NONE, 2.0, 1));
    assert_eq!(of(TaskKind::Array, |t| t.remaining_s = 10.0), Advice::LetFinish);
    assert_eq!(of(TaskKind::Array, |t| t.checkpoint_s = 0.0), Advice::LetFinish);
    // Beyond the deadline what it has run is repeated, if its team has so much left.
    let late = |t: &mut TaskView| (t.checkpoint_s, t.late) = (0.0, true);
    assert!(matches!(of(TaskKind::Array, late), Advice::Wait(Wait::Budget { .. })));
    let late_and_short = |t: &mut TaskView| (t.checkpoint_s, t.late, t.ran_s) = (0.0, true, 30.0);
    assert_eq!(of(TaskKind::Array, late_and_short), stop(Cost::work(30.0), 2.0, 1));
    // Four tasks at once are more than three; a gang is never stopped in part.
    assert!(matches!(of(TaskKind::Gang, |_| ()), Advice::Wait(Wait::Budget { tasks: 4, .. })));
    assert_eq!(of(TaskKind::Gang, |t| t.gang_tasks = 3), stop(Cost::NONE, 2.0, 3));
    let unreachable = |t: &mut TaskView| (t.gang_tasks, t.gang_reachable) = (2, false);
    assert!(matches!(of(TaskKind::Gang, unreachable), Advice::Wait(Wait::GangUnreachable { .. })));
}

/// Records outlive versions: what is stored reads the same.
#[test]
fn stored_records_keep_their_form() {
    let budget = Budget { tasks: 1, cost: Cost::replica(9.0), window_s: 80.0 };
    let mut ledger = Ledger::default();
    ledger.lose(1_000_000, &budget, true, Cost::replica(1.5));
    let record = serde_json::to_value(ledger.record(1_000_000, &budget)).unwrap();
    let form = json!({"as_of": 1_000_000, "open": 1,
        "buckets": [{"at": 1_000_000, "length": 10_000, "unplanned": [1.5, 0.0]}]});
    assert_eq!(record, form);
    let mut progress = Progress::of(["m".to_string(), "n".to_string()], 4_096);
    progress.advance("m", MachineDrainState::Replacing { attempt: 1, machine: None });
    let form = json!({"machines": [{"machine": "m", "state": {"replacing": {"attempt": 1}}},
        {"machine": "n", "state": "waiting"}]});
    assert_eq!(serde_json::to_value(&progress.chunks()[0]).unwrap(), form);
}
