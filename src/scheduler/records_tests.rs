//! Assignment of machines to records, and when a record is due to be written.

use super::{Record, Records, Urgency};
use crate::fencing_token::FencingToken;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

const MAX_MACHINES: usize = 2;
const TOKEN: u64 = 7;

fn machines(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| name.to_string()).collect()
}

fn insert(records: &mut Records, key: &str, record: Record) {
    let entries = record.machines.iter().map(|name| (name.clone(), key.to_string()));
    records.key_of_machine.extend(entries);
    records.by_key.insert(key.to_string(), record);
}

#[test]
fn a_machine_keeps_its_record_and_a_new_one_joins_the_last_record_with_room() {
    let mut records = Records::default();
    insert(&mut records, "7-1", Record::new(machines(&["a"]), Urgency::NotDue, Timestamp::ZERO));
    insert(&mut records, "7-2", Record::new(machines(&["b", "c"]), Urgency::NotDue, Timestamp::ZERO));
    assert_eq!(records.key_for("c", MAX_MACHINES, FencingToken(TOKEN)), "7-2");
    assert_eq!(records.key_for("d", MAX_MACHINES, FencingToken(TOKEN)), "7-1");
}

#[test]
fn a_new_key_is_neither_in_use_nor_reserved() {
    let mut records = Records::default();
    insert(&mut records, "7-1", Record::new(machines(&["a", "b"]), Urgency::NotDue, Timestamp::ZERO));
    assert_eq!(records.new_key(FencingToken(TOKEN), "7-2"), "7-3");
    assert_eq!(records.key_for("c", MAX_MACHINES, FencingToken(TOKEN)), "7-4");
}

#[test]
fn a_record_is_due_at_its_urgency_after_the_delay_unless_a_write_is_in_flight() {
    let mut records = Records::default();
    insert(
        &mut records,
        "7-1",
        Record::new(machines(&["a"]), Urgency::RemovedMachine, Timestamp::from_micros(100)),
    );
    assert!(records.due(Urgency::NewMachine, Duration::ZERO, Timestamp::from_micros(1_000)).is_empty());
    assert!(records
        .due(Urgency::RemovedMachine, Duration::from_micros(50), Timestamp::from_micros(149))
        .is_empty());
    assert_eq!(
        records.due(Urgency::RemovedMachine, Duration::from_micros(50), Timestamp::from_micros(150)),
        ["7-1"]
    );
    assert_eq!(records.due(Urgency::Images, Duration::from_micros(50), Timestamp::from_micros(150)), ["7-1"]);
    records.by_key.get_mut("7-1").unwrap().in_flight = Some(machines(&["a"]));
    assert!(records
        .due(Urgency::RemovedMachine, Duration::from_micros(50), Timestamp::from_micros(150))
        .is_empty());
}

#[test]
fn a_record_is_due_only_after_those_that_took_machines_over_from_it_are_written() {
    let mut records = Records::default();
    let mut old = Record::new(machines(&["a"]), Urgency::RemovedMachine, Timestamp::ZERO);
    old.write_after_records = vec!["7-1".into()];
    insert(&mut records, "6-1", old);
    insert(&mut records, "7-1", Record::new(machines(&["b"]), Urgency::NewMachine, Timestamp::ZERO));
    assert_eq!(records.due(Urgency::RemovedMachine, Duration::ZERO, Timestamp::from_micros(10)), ["7-1"]);
    let new = records.by_key.get_mut("7-1").unwrap();
    (new.urgency, new.in_flight) = (Urgency::NotDue, Some(machines(&["b"])));
    assert!(records.due(Urgency::RemovedMachine, Duration::ZERO, Timestamp::from_micros(10)).is_empty());
    records.by_key.get_mut("7-1").unwrap().in_flight = None;
    assert_eq!(records.due(Urgency::RemovedMachine, Duration::ZERO, Timestamp::from_micros(10)), ["6-1"]);
}

#[test]
fn a_later_request_raises_the_urgency_and_keeps_the_time_of_the_first() {
    let mut record = Record::new(machines(&["a"]), Urgency::NotDue, Timestamp::ZERO);
    record.request_write(Urgency::Images, Timestamp::from_micros(10));
    record.request_write(Urgency::NewMachine, Timestamp::from_micros(20));
    record.request_write(Urgency::RemovedMachine, Timestamp::from_micros(30));
    assert_eq!((record.urgency, record.due_since), (Urgency::NewMachine, Timestamp::from_micros(10)));
}
