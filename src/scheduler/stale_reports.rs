//! Reports of which nothing is taken in: copies, late ones, and check-ins that direct answers have overtaken.

use super::model::*;
use super::{Scheduler, Taken};
use serde::Serialize;
use tracing::{debug, info};

/// Check-ins of which nothing was taken in, since this leader began.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct ReportsIgnored {
    /// Overtaken by the answer to direct commands.
    pub overtaken: u64,
    /// Copies, and reports of sessions or machines that are gone.
    pub stale: u64,
}

impl Scheduler {
    /// A report older than the newest: its list says nothing. The answer to direct commands may have overtaken a
    /// check-in whose worker waits, and an answer to that renews the worker's lease. While such answers were given
    /// without being noted, tasks were started elsewhere seconds before the lease that they ran under had ended.
    pub(super) fn take_late(&mut self, report: &Report, checkin: bool) -> Taken {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&report.machine) else { return Taken::Stale };
        let overtaken = checkin
            && report.session == machine.session
            && report.sequence > machine.checked_in
            && machine.phase != Phase::Lost;
        let (session, sequence, newest) = (report.session, report.sequence, machine.sequence);
        if overtaken {
            debug!(
                machine = report.machine,
                session, sequence, newest, "check-in overtaken by a direct answer"
            );
            machine.checked_in = report.sequence;
            machine.heard = now;
            self.reports_ignored.overtaken += 1;
            return Taken::Overtaken;
        }
        debug!(machine = report.machine, session, sequence, newest, checkin, "late report ignored");
        if checkin && !std::mem::replace(&mut machine.sent_stale, true) {
            info!(
                machine = report.machine,
                session, sequence, newest, "a late or repeated check-in; further ones are only counted"
            );
        }
        self.reports_ignored.stale += u64::from(checkin);
        Taken::Stale
    }
}
