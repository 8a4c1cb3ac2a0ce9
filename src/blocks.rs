//! A controller's block: the workers that heartbeat to it.
//!
//! The lessee passes on what changes and answers by itself, under the leader's token and without commands,
//! the heartbeats that say nothing new. Once a second it tells the leader whom it answered, and each such heartbeat
//! that the leader confirms lets it go on for a block lease: counted by the lessee from when it sent the heartbeat,
//! by the leader from when it got it. While it hears no leader, a lessee answers whoever shows the last token,
//! so that a zone that is cut off lives on as a whole, whichever node its workers reported to before. The
//! leader always knows until when somebody may have kept a worker alive.

use crate::lease_renewal::{LeaseRenewal, UnacknowledgedRenewals};
use crate::limits;
use crate::peer::RequestIds;
use crate::scheduler::model::{Heartbeat, ReportedTask};
use std::collections::{HashMap, VecDeque};

/// The last heartbeat of a machine that the leader knows.
struct Kept {
    agent_epoch: u64,
    sequence: u64,
    tasks: Vec<ReportedTask>,
    /// The leader has something to tell it: the next heartbeat is passed on whatever it says.
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

/// A heartbeat for the leader of the machines answered here.
pub struct BlockHeartbeat {
    pub id: u64,
    /// It names every machine answered since the last heartbeat that was confirmed.
    pub whole: bool,
    /// None was confirmed yet: it says nothing of what an earlier life of this lessee answered.
    pub fresh: bool,
    pub machines: Vec<String>,
}

/// What a lessee does with a heartbeat.
#[derive(Debug, PartialEq, Eq)]
pub enum BlockAnswer {
    /// It answers by itself, under this token.
    Renews(u64, LeaseRenewal),
    /// A copy of an earlier heartbeat: nobody waits for an answer.
    Copy,
    /// The heartbeat is for the leader, or for another node.
    NotOurs,
}

impl BlockAnswer {
    /// The token that it answers with.
    pub fn token(&self) -> Option<u64> {
        match self {
            BlockAnswer::Renews(token, _) => Some(*token),
            _ => None,
        }
    }
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
    /// Machines answered here that the leader has not confirmed.
    answered: UnacknowledgedRenewals,
    /// Words without confirmation: number, when, which machines.
    told: VecDeque<(u64, u64, Vec<String>)>,
    heartbeats: RequestIds,
    tell_due: u64,
}

impl Block {
    /// `most`: machines that it keeps at most.
    pub fn new(most: usize, incarnation: u64) -> Self {
        Block { most, heartbeats: RequestIds::of(incarnation), ..Block::default() }
    }

    /// A leader is about. Until it confirms a heartbeat of ours nobody is answered without it; what an earlier one
    /// leased may still keep workers alive elsewhere.
    pub fn follow(&mut self, token: u64) {
        if token > self.token {
            *self = Block { token, most: self.most, heartbeats: self.heartbeats, ..Block::default() };
        }
    }

    /// This node led under the token and does not any more: it may go on keeping workers alive until then.
    pub fn led(&mut self, token: u64, until: u64) {
        self.follow(token);
        self.until = until;
    }

    /// Answers a heartbeat, if this node may do so without the leader.
    pub fn answers(&mut self, now: u64, heartbeat: &Heartbeat, leader_heard: bool) -> BlockAnswer {
        // A worker that has seen a higher token drops ours and would sit here while its lease runs out.
        if heartbeat.token != self.token || now + limits::GUARD >= self.until {
            return BlockAnswer::NotOurs;
        }
        let kept = self.kept.get(&heartbeat.machine);
        if kept.is_some_and(|k| (heartbeat.agent_epoch, heartbeat.sequence) <= (k.agent_epoch, k.sequence)) {
            return BlockAnswer::Copy;
        }
        let unchanged = kept.is_some_and(|k| {
            heartbeat.agent_epoch == k.agent_epoch
                && heartbeat.notice_s.is_none()
                && !k.woken
                && heartbeat.tasks == k.tasks
        });
        if !unchanged && (leader_heard || self.sends_away(now, heartbeat)) {
            return BlockAnswer::NotOurs;
        }
        if let Some(kept) = self.kept.get_mut(&heartbeat.machine).filter(|_| unchanged) {
            (kept.sequence, kept.at) = (heartbeat.sequence, now);
        }
        BlockAnswer::Renews(self.token, self.answered.record(&heartbeat.machine, self.heartbeats.upcoming()))
    }

    /// While no leader is heard, a worker of ours with news tries the other nodes first, since it may be only
    /// us who do not hear it. One that has just come from there, as all do that we do not know, is kept alive.
    fn sends_away(&mut self, now: u64, heartbeat: &Heartbeat) -> bool {
        let known = self.kept.contains_key(&heartbeat.machine);
        let away = self.away.entry(heartbeat.machine.clone());
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

    /// The leader has answered a heartbeat that was passed on. `keep`: what says nothing new need not be.
    pub fn passed(&mut self, now: u64, heartbeat: Heartbeat, token: u64, keep: bool) {
        if token != self.token {
            return;
        }
        self.away.remove(&heartbeat.machine);
        if keep && self.kept.len() < self.most {
            let Heartbeat { machine, agent_epoch, sequence, tasks, .. } = heartbeat;
            self.kept.insert(machine, Kept { agent_epoch, sequence, tasks, woken: false, at: now });
        } else {
            self.kept.remove(&heartbeat.machine);
        }
    }

    pub fn wake(&mut self, machines: &[String]) {
        for name in machines {
            if let Some(kept) = self.kept.get_mut(name) {
                kept.woken = true;
            }
        }
    }

    /// A heartbeat for the leader, once in a while. It repeats what was not confirmed: a frame may be lost with its
    /// connection, and the leader concludes from a heartbeat that nobody else was answered here before it.
    pub fn tell(&mut self, now: u64) -> Option<BlockHeartbeat> {
        if now < self.tell_due {
            return None;
        }
        // Machines that are gone or report elsewhere are forgotten here, where it happens once in a while.
        self.kept.retain(|_, kept| now < kept.at + limits::KEPT_IDLE);
        let id = self.heartbeats.take();
        let mut room = limits::BLOCK_WORD;
        let fits = |name: &&String| {
            room = room.saturating_sub(name.len() + 1);
            room > 0
        };
        let machines: Vec<String> = self.answered.names().take_while(fits).cloned().collect();
        let whole = machines.len() == self.answered.len();
        // The rest follows at once: what the leader confirms meanwhile need not be named again.
        self.tell_due = now + if whole { limits::BLOCK_TELL } else { limits::BLOCK_TELL_ON };
        self.told.push_back((id, now, machines.clone()));
        if self.told.len() > limits::BLOCK_UNCONFIRMED {
            self.told.pop_front();
        }
        Some(BlockHeartbeat { id, whole, fresh: self.until == 0, machines })
    }

    /// The leader has taken note: our lease runs on from when it was told. Returns whether the heartbeat is one of ours.
    pub fn confirmed(&mut self, id: u64, lease: u64) -> bool {
        let Some(at) = self.told.iter().position(|(told, _, _)| *told == id) else { return false };
        let Some((_, sent, machines)) = self.told.drain(..=at).next_back() else { return false };
        self.until = self.until.max(sent + limits::shortened(lease));
        for name in machines {
            self.answered.acknowledge(&name, id);
        }
        true
    }
}

#[cfg(test)]
#[path = "blocks_tests.rs"]
mod tests;
