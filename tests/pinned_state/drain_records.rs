//! Drains in the state service: requests, progress, summaries and ledgers, written and read.

use crate::domain::{
    budget, drain_id, ledger_record, machine_entries, stored_requests, summary, waits, LEDGER_AT,
};
use crate::golden;
use dockpier::drains::records;
use dockpier::scheduler::drains::{DrainKey, DrainValue};
use dockpier_drain::budget::Cost;
use dockpier_drain::ledger::{Ledger, LedgerRecord, Totals};
use dockpier_drain::progress::{Chunk, Counts, Progress};
use dockpier_drain::request::StoredRequest;
use dockpier_drain::status::{DrainState, Summary};

const FILE: &str = "drain-records.txt";

/// Teams whose names keys can't have as they are.
fn team_names() -> Vec<String> {
    vec!["vision".into(), "team/../live/ä b".into(), "UPPER_9-x".into(), String::new(), "x/".repeat(128)]
}

/// A summary of each state, the first with everything that may be waited for.
fn summaries() -> Vec<(&'static str, Summary)> {
    vec![
        ("firmware-7", summary(DrainState::Running, waits(), Some(1_764_648_600_000))),
        ("rack-4", summary(DrainState::Paused, Vec::new(), None)),
        ("refresh", summary(DrainState::Cancelled, Vec::new(), None)),
        ("done-1", summary(DrainState::Finished, Vec::new(), None)),
    ]
}

fn leaders_line(key: DrainKey, value: DrainValue) -> String {
    golden::write_line(&records::key_of(&key), value)
}

fn written() -> String {
    let mut lines = String::new();
    for stored in stored_requests() {
        lines += &golden::write_line(&records::request_key(&stored.request.id), stored);
    }
    let id = drain_id("firmware-7");
    let chunk = Chunk { machines: machine_entries() };
    lines += &leaders_line(DrainKey::Progress(id.clone(), 0), DrainValue::Progress(chunk));
    lines += &leaders_line(DrainKey::Progress(id, 12_345), DrainValue::Progress(Chunk::default()));
    for (id, summary) in summaries() {
        lines += &leaders_line(DrainKey::Summary(drain_id(id)), DrainValue::Summary(summary));
    }
    for team in team_names() {
        lines += &leaders_line(DrainKey::Ledger(team), DrainValue::Ledger(ledger_record()));
    }
    lines
}

#[test]
fn drain_records_are_written_as_ever() {
    golden::check(FILE, &written());
}

#[test]
fn stored_requests_are_read_as_they_were_meant() {
    for stored in stored_requests() {
        let key = format!("drains/requests/{}", stored.request.id.as_str());
        assert_eq!(golden::read::<StoredRequest>(FILE, &key), stored);
    }
}

#[test]
fn stored_progress_is_read_as_it_was_meant() {
    let chunk: Chunk = golden::read(FILE, "drains/progress/firmware-7/00000");
    assert_eq!(chunk.machines, machine_entries());
    assert_eq!(golden::read::<Chunk>(FILE, "drains/progress/firmware-7/12345"), Chunk::default());
    let counts = Progress::restore(vec![chunk]).counts();
    let expected = Counts { waiting: 1, replacing: 2, cordoned: 2, returned: 2, replaced: 1, gone: 1 };
    assert_eq!(counts, expected);
}

#[test]
fn stored_summaries_are_read_as_they_were_meant() {
    for (id, summary) in summaries() {
        assert_eq!(golden::read::<Summary>(FILE, &format!("drains/summaries/{id}")), summary);
    }
}

#[test]
fn stored_ledgers_are_read_as_they_were_meant() {
    let record: LedgerRecord = golden::read(FILE, "drains/ledgers/vision");
    assert_eq!((record.as_of, record.open, record.buckets.len()), (LEDGER_AT, 2, 2));
    let ledger = Ledger::restore(&record);
    let totals = Totals {
        planned: Cost { replica_s: 20.0, work_s: 60.5 },
        observed: Cost { replica_s: 25.0, work_s: 1.235 },
        unplanned: Cost { replica_s: 0.0, work_s: 11.0 },
        reserved: Cost { replica_s: 0.0, work_s: 60.5 },
        open: 0,
    };
    assert_eq!(ledger.totals(LEDGER_AT, &budget()), totals);
    assert_eq!(ledger.spent(LEDGER_AT, &budget()), Cost { replica_s: 25.0, work_s: 72.735 });
    // The older bucket leaves the window a bucket's length and a window after its beginning.
    let later = ledger.totals(LEDGER_AT + 3_600_000 - 450_000, &budget());
    assert_eq!(later.observed, Cost::NONE);
}

/// Which keys begin which listing.
#[test]
fn prefixes_of_drains_are_as_ever() {
    assert_eq!(records::REQUESTS, "drains/requests/");
    assert_eq!(records::PROGRESS, "drains/progress/");
    assert_eq!(records::SUMMARIES, "drains/summaries/");
    assert_eq!(records::LEDGERS, "drains/ledgers/");
    assert_eq!(records::progress_prefix(&drain_id("firmware-7")), "drains/progress/firmware-7/");
}
