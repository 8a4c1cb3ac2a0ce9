//! A state service that takes every record, a cloud that rents and deletes nothing, and reports.

use dockpier::fencing_token::FencingToken;
use dockpier::scheduler::model::{Heartbeat, MachineType, ReportedTask, Resources, TaskId, TaskStatus};
use dockpier::scheduler::{Command, Effect, RequestOutcome};

/// Machines of two slots in one zone.
pub fn machine_types() -> Command {
    Command::MachineTypes(vec![MachineType {
        name: "m".into(),
        capacity: Resources::rounded_down(2.0, 2.0, 2.0),
        price: 1.0,
        spot_price: None,
        boot_s: 60.0,
        fetch_gb_per_s: 1.0,
        zones: vec!["a".into()],
    }])
}

/// What the state service or the cloud answers to an effect of the leader's, if it is for them.
pub fn outcome(effect: &Effect) -> Option<Command> {
    match effect {
        Effect::WriteMachineRecord { key, .. } => {
            Some(Command::MachineRecordWritten { key: key.clone(), outcome: RequestOutcome::Done })
        }
        Effect::Rent { request, .. } => {
            Some(Command::Rented { request: *request, machines: None, outcome: RequestOutcome::Refused })
        }
        Effect::Delete(machines) => {
            Some(Command::Deleted { machines: machines.clone(), outcome: RequestOutcome::Unknown })
        }
        _ => None,
    }
}

/// A worker's heartbeat in its first agent epoch.
pub fn heartbeat(
    machine: &str,
    sequence: u64,
    token: FencingToken,
    tasks: impl Iterator<Item = (TaskId, u64, TaskStatus)>,
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        address: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        sequence,
        token,
        notice_s: None,
        tasks: tasks.map(|(id, attempt, status)| ReportedTask { id, attempt, status }).collect(),
    }
}
