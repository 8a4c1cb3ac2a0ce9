//! A controller's block: the workers that report to it.
//!
//! The lessee passes on what changes and answers by itself, under the leader's token and without commands,
//! the reports that say nothing new. Once a second it tells the leader whom it answered, and each such heartbeat
//! that the leader confirms lets it go on for a block lease: counted by the lessee from when it sent the heartbeat,
//! by the leader from when it got it. While it hears no leader, a lessee answers whoever shows the last token,
//! so that a zone that is cut off lives on as a whole, whichever node its workers reported to before. The
//! leader always knows until when somebody may have kept a worker alive.

use crate::core::model::{Report, ReportedTask};
use crate::limits;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The last report of a machine that the leader knows.
struct Kept {
    session: u64,
    sequence: u64,
    tasks: Vec<ReportedTask>,
    /// The leader has something to tell it: the next report is passed on whatever it says.
    woken: bool,
    /// When it was last answered.
    at: u64,
}

/// A worker with news for a leader that is not heard here.
enum Away {
    Never,
    /// Sent to the other nodes, which may hear it.
    Sent,
    /// It came back then: they don't either.
    Back(u64),
}

/// BlockHeartbeat for the leader of the machines answered here.
pub struct BlockHeartbeat {
    pub id: u64,
    /// It names every machine answered since the last heartbeat that was confirmed.
    pub whole: bool,
    /// None was confirmed yet: it says nothing of what an earlier life of this lessee answered.
    pub fresh: bool,
    pub machines: Vec<String>,
}

#[derive(Default)]
pub struct Block {
    /// Machines that it keeps at most.
    most: usize,
    token: u64,
    /// The block lease: until then this node may answer by itself.
    until: u64,
    kept: HashMap<String, Kept>,
    away: HashMap<String, Away>,
    /// Machines answered here that the leader has not confirmed, and the first heartbeat to name them.
    answered: BTreeMap<String, u64>,
    /// Words without confirmation: number, when, which machines.
    told: VecDeque<(u64, u64, Vec<String>)>,
    next: u64,
    tell_due: u64,
}

impl Block {
    pub fn new(most: usize) -> Self {
        Block { most, ..Block::default() }
    }

    /// A leader is about. Until it confirms a heartbeat of ours nobody is answered without it; what an earlier one
    /// leased may still keep workers alive elsewhere.
    pub fn follow(&mut self, token: u64) {
        if token > self.token {
            *self = Block { token, next: self.next, ..Block::new(self.most) };
        }
    }

    /// This node led under the token and does not any more: it may go on keeping workers alive until then.
    pub fn led(&mut self, token: u64, until: u64) {
        self.follow(token);
        self.until = until;
    }

    /// The token to answer a report with, if this node may answer it without the leader.
    pub fn answers(&mut self, now: u64, report: &Report, leader_heard: bool) -> Option<u64> {
        // A worker that has seen a higher token drops ours and would sit here while its lease runs out.
        if report.token != self.token || now + limits::GUARD >= self.until {
            return None;
        }
        let kept = self.kept.get(&report.machine);
        if kept.is_some_and(|k| (report.session, report.sequence) <= (k.session, k.sequence)) {
            // A copy: nobody waits for the answer.
            return Some(self.token);
        }
        let unchanged = kept.is_some_and(|k| {
            report.session == k.session && report.notice_s.is_none() && !k.woken && report.tasks == k.tasks
        });
        if !unchanged && (leader_heard || self.sends_away(now, report)) {
            return None;
        }
        if let Some(kept) = self.kept.get_mut(&report.machine).filter(|_| unchanged) {
            (kept.sequence, kept.at) = (report.sequence, now);
        }
        self.answered.insert(report.machine.clone(), self.next + 1);
        Some(self.token)
    }

    /// While no leader is heard, a worker of ours with news tries the other nodes first, since it may be only
    /// us who do not hear it. One that has just come from there, as all do that we do not know, is kept alive.
    fn sends_away(&mut self, now: u64, report: &Report) -> bool {
        let known = self.kept.contains_key(&report.machine);
        let away = self.away.entry(report.machine.clone());
        let away = away.or_insert_with(|| if known { Away::Never } else { Away::Back(now) });
        match away {
            Away::Sent => {
                *away = Away::Back(now);
                false
            }
            Away::Back(at) if now < *at + limits::BLOCK_RETRY => false,
            Away::Never | Away::Back(_) => {
                *away = Away::Sent;
                true
            }
        }
    }

    /// The leader has answered a report that was passed on. `keep`: what says nothing new need not be.
    pub fn passed(&mut self, now: u64, report: Report, token: u64, keep: bool) {
        if token != self.token {
            return;
        }
        self.away.remove(&report.machine);
        if keep && self.kept.len() < self.most {
            let Report { machine, session, sequence, tasks, .. } = report;
            self.kept.insert(machine, Kept { session, sequence, tasks, woken: false, at: now });
        } else {
            self.kept.remove(&report.machine);
        }
    }

    pub fn wake(&mut self, machines: &[String]) {
        for name in machines {
            if let Some(kept) = self.kept.get_mut(name) {
                kept.woken = true;
            }
        }
    }

    /// BlockHeartbeat for the leader, once in a while. It repeats what was not confirmed: a frame may be lost with its
    /// connection, and the leader concludes from a heartbeat that nobody else was answered here before it.
    pub fn tell(&mut self, now: u64) -> Option<BlockHeartbeat> {
        if now < self.tell_due {
            return None;
        }
        self.tell_due = now + limits::BLOCK_TELL;
        // Machines that are gone or report elsewhere are forgotten here, where it happens once in a while.
        self.kept.retain(|_, kept| now < kept.at + limits::KEPT_IDLE);
        self.next += 1;
        let mut room = limits::BLOCK_WORD;
        let fits = |name: &&String| {
            room = room.saturating_sub(name.len() + 1);
            room > 0
        };
        let machines: Vec<String> = self.answered.keys().take_while(fits).cloned().collect();
        let whole = machines.len() == self.answered.len();
        self.told.push_back((self.next, now, machines.clone()));
        if self.told.len() > limits::BLOCK_UNCONFIRMED {
            self.told.pop_front();
        }
        Some(BlockHeartbeat { id: self.next, whole, fresh: self.until == 0, machines })
    }

    /// The leader has taken note: our lease runs on from when it was told.
    pub fn confirmed(&mut self, id: u64, lease: u64) {
        while self.told.front().is_some_and(|(n, _, _)| *n <= id) {
            let Some((n, sent, machines)) = self.told.pop_front() else { return };
            if n == id {
                self.until = self.until.max(sent + limits::shortened(lease));
                for name in machines {
                    if self.answered.get(&name).is_some_and(|first| *first <= id) {
                        self.answered.remove(&name);
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::model::{JobId, TaskId, TaskStatus};
    use crate::limits::SECOND;

    const LEASE: u64 = 20 * SECOND;

    fn report(sequence: u64, tasks: u32) -> Report {
        let task = |task| ReportedTask {
            id: TaskId { job_id: JobId(1), task },
            attempt: 1,
            status: TaskStatus::Running,
        };
        Report {
            machine: "m-1".into(),
            address: String::new(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            session: 1,
            sequence,
            token: 4,
            notice_s: None,
            tasks: (0..tasks).map(task).collect(),
        }
    }

    /// A lessee whose lease runs from one second on.
    fn block() -> Block {
        let mut block = Block::new(8);
        block.follow(4);
        let heartbeat = block.tell(SECOND).unwrap();
        assert_eq!(block.answers(SECOND, &report(1, 2), true), None);
        block.confirmed(heartbeat.id, LEASE);
        assert_eq!(block.answers(SECOND, &report(1, 2), true), None);
        block.passed(SECOND, report(1, 2), 4, true);
        block
    }

    #[test]
    fn only_what_says_nothing_new_is_answered_without_the_leader() {
        let mut block = block();
        assert_eq!(block.answers(2 * SECOND, &report(2, 2), true), Some(4));
        assert_eq!(block.answers(3 * SECOND, &report(3, 3), true), None, "a new task");
        assert_eq!(block.answers(3 * SECOND, &Report { notice_s: Some(9.0), ..report(3, 2) }, true), None);
        assert_eq!(block.answers(3 * SECOND, &Report { session: 2, ..report(1, 2) }, true), None);
        // A worker that has seen a later leader's token would drop ours and sit here without a lease.
        assert_eq!(block.answers(3 * SECOND, &Report { token: 5, ..report(3, 2) }, true), None);
        block.wake(&["m-1".into()]);
        assert_eq!(block.answers(3 * SECOND, &report(3, 2), true), None, "the leader has something for it");
    }

    #[test]
    fn without_a_leader_workers_live_on_until_the_block_lease_ends() {
        let mut block = block();
        assert_eq!(block.answers(3 * SECOND, &report(2, 2), false), Some(4));
        // With news it tries the other nodes once: perhaps they hear the leader.
        assert_eq!(block.answers(3 * SECOND, &report(3, 3), false), None);
        // Behind a cut it hung at both of them, four seconds each and a second's pause; sent away again at
        // once it would lose its lease.
        assert_eq!(block.answers(14 * SECOND, &report(4, 3), false), Some(4));
        assert_eq!(block.answers(17 * SECOND, &report(5, 3), false), Some(4));
        // What changed meanwhile is passed on as soon as there is a leader.
        assert_eq!(block.answers(18 * SECOND, &report(6, 3), true), None);
        assert_eq!(block.answers(SECOND + LEASE, &report(7, 2), false), None);
    }

    /// Two thirds of a cut zone's workers had reported to nodes outside it, and came to the one inside, which
    /// did not know them and let their leases run out.
    #[test]
    fn without_a_leader_workers_that_come_from_other_nodes_are_kept_alive_too() {
        let mut block = block();
        let stranger = Report { machine: "m-2".into(), ..report(9, 1) };
        assert_eq!(block.answers(2 * SECOND, &stranger, true), None, "the leader decides while it is heard");
        assert_eq!(block.answers(8 * SECOND, &stranger, false), Some(4));
        // Its token must be ours: one that has seen none, or an earlier one, holds nothing that we may keep.
        assert_eq!(block.answers(8 * SECOND, &Report { token: 3, ..stranger }, false), None);
        assert_eq!(block.tell(9 * SECOND).unwrap().machines, ["m-2"]);
    }

    #[test]
    fn a_lease_runs_on_from_when_the_leader_was_told_and_only_if_it_confirmed() {
        let mut block = block();
        assert!(block.answers(3 * SECOND, &report(2, 2), true).is_some());
        let heartbeat = block.tell(4 * SECOND).unwrap();
        assert!(heartbeat.whole);
        assert_eq!(heartbeat.machines, ["m-1"]);
        let late = SECOND + LEASE;
        assert_eq!(block.answers(late, &report(3, 2), true), None, "not confirmed");
        block.confirmed(heartbeat.id, LEASE);
        assert_eq!(block.answers(late, &report(4, 2), true), Some(4));
        assert_eq!(block.answers(4 * SECOND + LEASE, &report(5, 2), true), None);
    }

    /// The leader takes a heartbeat as proof that nobody else was answered before it: what it has not confirmed
    /// must be in the next one, since a frame may be lost with its connection.
    #[test]
    fn a_word_names_whoever_was_answered_since_the_last_one_that_was_confirmed() {
        let mut block = block();
        assert!(block.answers(2 * SECOND, &report(2, 2), true).is_some());
        let lost = block.tell(3 * SECOND).unwrap();
        let next = block.tell(5 * SECOND).unwrap();
        assert_eq!((lost.machines, &next.machines), (vec!["m-1".to_string()], &vec!["m-1".to_string()]));
        // Answered again after that heartbeat left: the confirmation does not cover it.
        assert!(block.answers(5 * SECOND, &report(3, 2), true).is_some());
        block.confirmed(next.id, LEASE);
        let last = block.tell(7 * SECOND).unwrap();
        assert_eq!(last.machines, ["m-1"]);
        block.confirmed(last.id, LEASE);
        assert!(block.tell(9 * SECOND).unwrap().machines.is_empty());
    }

    #[test]
    fn a_new_leader_hears_of_every_machine_anew() {
        let mut block = block();
        block.follow(5);
        let report = |sequence| Report { token: 5, ..report(sequence, 2) };
        assert_eq!(block.answers(2 * SECOND, &report(2), false), None, "its lease was the last leader's");
        let heartbeat = block.tell(2 * SECOND).unwrap();
        block.confirmed(heartbeat.id, LEASE);
        assert_eq!(block.answers(2 * SECOND, &report(2), true), None);
        // An answer of the last leader's that was under way leases nothing any more.
        block.passed(2 * SECOND, report(2), 4, true);
        assert_eq!(block.answers(2 * SECOND, &report(3), true), None);
    }

    #[test]
    fn a_copy_counts_for_nothing() {
        let mut block = block();
        assert_eq!(block.answers(2 * SECOND, &report(1, 2), true), Some(4));
        assert!(block.tell(4 * SECOND).unwrap().machines.is_empty(), "the machine was not heard");
    }
}
