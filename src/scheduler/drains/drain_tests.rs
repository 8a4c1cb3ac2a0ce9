//! How far the record of a drain is stored.

use super::*;

#[test]
fn a_new_record_is_due_until_its_write_begins() {
    let mut write = WriteState::new_record();
    assert!(write.is_due() && !write.is_stored());
    write.begin();
    assert!(write.is_in_flight() && !write.is_due() && !write.is_stored());
    write.end(RequestOutcome::Done);
    assert!(write.is_stored() && !write.is_due());
}

#[test]
fn a_write_that_is_not_confirmed_is_due_again() {
    let mut write = WriteState::new_record();
    write.begin();
    write.end(RequestOutcome::Unknown);
    assert!(write.is_due() && !write.is_stored());
    write.begin();
    write.end(RequestOutcome::Refused);
    assert!(write.is_due() && !write.is_stored());
}

#[test]
fn a_change_during_a_write_is_due_after_it() {
    let mut write = WriteState::new_record();
    write.begin();
    write.mark_changed();
    assert!(!write.is_due(), "one write of a record at a time");
    write.end(RequestOutcome::Done);
    assert!(write.is_due() && !write.is_stored());
}
