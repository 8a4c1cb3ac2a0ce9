//! What the tests of the core share.

use dockpier::core::model::*;

/// A job of one-slot tasks that may run anywhere.
pub fn spec(uid: u64, kind: Kind, priority: Priority, tasks: u32) -> JobSpec {
    JobSpec {
        uid: Uid(uid),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority,
        tasks,
        needs: Resources::needed(1.0, 1.0, 1.0),
        image: "i".into(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 60.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}
