//! The report of a cold start in the state service, written and read.

use crate::golden;
use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::cold_start::{ColdStartReport, MachineCounts, Phase};
use dockpier::storage::keys;
use dockpier_reconcile::{Counts, Evidence, Verdict};

const FILE: &str = "cold-start-records.txt";

/// The report of a phase; while machines are unheard with everything that may be told.
pub fn report(phase: Phase) -> ColdStartReport {
    let waiting = phase == Phase::Reconciling;
    let names = |names: &[&str]| match waiting {
        true => names.iter().map(|name| name.to_string()).collect(),
        false => Vec::new(),
    };
    ColdStartReport {
        phase,
        token: FencingToken(41),
        began_ms: 1_764_645_000_000,
        updated_ms: 1_764_645_012_345,
        reconciled_after_ms: (!waiting).then_some(8_123),
        ended_after_ms: (phase == Phase::Ended).then_some(12_050),
        machines: MachineCounts { heard: 41, gone: 2, unheard: 3 },
        verdicts: Counts {
            running: 40,
            finished_unrecorded: 5,
            missing: 6,
            twice: 1,
            already_finished: 2,
            unknown_job: 3,
            cannot_know_yet: 7,
        },
        orders: 4,
        not_ordered: 2,
        waits_for: if waiting { "machines that have not reported".into() } else { String::new() },
        until_ms: waiting.then_some(1_764_645_020_000),
        unheard: names(&["m-000001", "m-000002"]),
        unknown_tasks: names(&["job-000412/3"]),
    }
}

const PHASES: [Phase; 3] = [Phase::Reconciling, Phase::Restarting, Phase::Ended];

#[test]
fn the_report_is_written_as_ever() {
    let lines: String =
        PHASES.into_iter().map(|phase| golden::write_line(keys::COLD_START_REPORT, report(phase))).collect();
    golden::check(FILE, &lines);
}

#[test]
fn stored_reports_are_read_as_they_were_meant() {
    let lines = golden::text(FILE);
    assert_eq!(lines.lines().count(), PHASES.len());
    for (line, phase) in lines.lines().zip(PHASES) {
        let write: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(write["write"], "cold-start/report");
        let read: ColdStartReport = serde_json::from_value(write["value"].clone()).unwrap();
        assert_eq!(read, report(phase));
    }
}

/// Verdicts and evidence as text, for whoever stores or shows them.
#[test]
fn verdicts_and_evidence_are_named_as_ever() {
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    let verdicts = [
        Verdict::Running,
        Verdict::FinishedUnrecorded,
        Verdict::Missing,
        Verdict::Twice,
        Verdict::AlreadyFinished,
        Verdict::UnknownJob,
        Verdict::CannotKnowYet,
    ];
    let evidence = [
        Evidence::ReportedBy(names(&["m-000001", "m-000002"]).into_iter().collect()),
        Evidence::NobodyHasIt { heard: 4, gone: 1 },
        Evidence::Unheard(names(&["m-000003"])),
        Evidence::StoreNotReadSince,
        Evidence::RecordUnreadable,
    ];
    let lines = format!(
        "{}\n{}\n",
        serde_json::to_string(&verdicts).unwrap(),
        serde_json::to_string(&evidence).unwrap()
    );
    golden::check("verdicts.txt", &lines);
    let golden = golden::text("verdicts.txt");
    let mut golden = golden.lines();
    let read: Vec<Verdict> = serde_json::from_str(golden.next().unwrap()).unwrap();
    assert_eq!(read, verdicts);
    let read: Vec<Evidence> = serde_json::from_str(golden.next().unwrap()).unwrap();
    assert_eq!(read, evidence);
}
