//! Six thousand machines: scale out, takeover by a new leader, and the overview.

use crate::fleet::{machine_type, recorded, spec, Fleet};
use dockpier::fencing_token::FencingToken;
use dockpier::limits::SECOND;
use dockpier::scheduler::model::{Kind, Priority};
use dockpier::scheduler::overview::PageStart;
use dockpier::scheduler::{Command, Config, Scheduler};
use std::collections::BTreeSet;

/// Six thousand machines, asked for by a queue that needs them all, are rented within the cloud's pace.
#[test]
fn a_queue_for_six_thousand_machines_is_planned_and_rented() {
    let mut fleet = Fleet::new(0);
    fleet.offers_machines = true;
    for job_id in 0..240 {
        fleet.submit(spec(job_id, Kind::Array, Priority::Normal, 100));
    }
    for _ in 0..60 {
        fleet.now += SECOND;
        fleet.step(Vec::new());
    }
    assert_eq!(fleet.rented, 6_000);
}

/// A takeover at six thousand machines: every inherited machine is heard once, and nothing is written again or
/// deleted for it.
#[test]
fn a_new_leader_takes_over_six_thousand_machines_without_a_write() {
    let mut fleet = Fleet::new(6_000);
    fleet.scheduler =
        Scheduler::new(Config { token: FencingToken(2), ..fleet.scheduler.config.clone() }, fleet.now);
    let machines: Vec<_> = (0..6_000).map(recorded).collect();
    let records =
        machines.chunks(12).enumerate().map(|(i, part)| (format!("1-{i}"), part.to_vec())).collect();
    let types = Command::MachineTypes(vec![machine_type(&fleet.scheduler.config)]);
    fleet.step(vec![types, Command::StateLoaded { jobs: vec![], records }]);
    let (writes, started_at) = (fleet.machine_writes, fleet.now);
    fleet.token = FencingToken(2);
    (0..3).for_each(|_| fleet.heartbeat());
    assert_eq!((fleet.machine_writes, fleet.deleted.len()), (writes, 0));
    fleet.submit(spec(1, Kind::Array, Priority::Normal, 1));
    fleet.heartbeat();
    assert_eq!(fleet.width(1), 1);
    assert!(fleet.now.since(started_at) <= 5 * 4 * SECOND);
}

/// Operators see every machine of a large fleet, page by page, and are told that there is more.
#[test]
fn the_overview_leads_through_every_machine() {
    let fleet = Fleet::new(6_000);
    let (mut start, mut seen) = (PageStart::default(), BTreeSet::new());
    loop {
        let page = fleet.scheduler.overview(&start);
        let before = seen.len();
        seen.extend(page.machines.iter().map(|line| line.machine.clone()));
        assert_eq!(seen.len() - before, page.machines.len(), "a machine is shown twice");
        assert_eq!(seen.len() + page.more_machines, 6_000);
        if page.more_machines == 0 {
            break;
        }
        start.after_machine = page.machines.last().map(|line| line.machine.clone());
    }
    assert_eq!(seen.len(), 6_000);
}
