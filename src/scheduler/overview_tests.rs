//! Words that operators and their tools read.

use super::*;

#[test]
fn priorities_and_states_keep_their_words() {
    let priorities = [Priority::Low, Priority::Normal, Priority::High, Priority::Critical];
    assert_eq!(priorities.map(priority_word), ["low", "normal", "high", "critical"]);
    let states = [MachineState::Pending, MachineState::Ready, MachineState::Lost];
    assert_eq!(states.map(state_word), ["expected", "up", "lost"]);
}

#[test]
fn pending_reasons_keep_their_texts() {
    let texts = [
        (PendingReason::TasksFailed, "its tasks failed"),
        (PendingReason::UnreconciledMachines, "machines of the last leader have not reported"),
        (PendingReason::RescaleGap, "rescale gap"),
        (PendingReason::ColdStartPace, "pace of a cold start"),
        (PendingReason::TeamLimit, "team limit"),
        (PendingReason::NoFurtherFreeSlot, "no further free slot"),
        (PendingReason::RoomNotFreeYet, "stops or a fetch under way"),
        (PendingReason::NothingToPreempt, "no free slot, and nobody below it runs"),
        (PendingReason::PreemptionInsufficient, "no free slot, and lower jobs cannot yield its minimum"),
        (PendingReason::ClosedAfterFailure, "no free slot but on machines where its tasks failed"),
        (PendingReason::PreemptionUnderWay, "stops under way"),
        (PendingReason::NoSlotForRestOfGang, "no free slot for the rest of its gang"),
        (PendingReason::GangIncomplete, "its gang was not complete in time"),
        (PendingReason::LastAttemptNotEnded, "its last attempt has not ended everywhere"),
    ];
    for (reason, text) in texts {
        assert_eq!(reason.as_str(), text);
        assert_eq!(reason.to_string(), text);
    }
}
