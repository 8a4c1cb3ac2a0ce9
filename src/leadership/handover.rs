//! How a leader stops: it hands over to a peer that fares better, steps down, or learns that another one leads.

use super::{Action, Leadership, Message, Role};
use crate::limits::{self, shortened};
use tracing::{info, warn};

impl Leadership {
    /// A leader whom no worker reaches is of no use to them, whatever else it reaches.
    pub(super) fn check_reachability(
        &mut self,
        token: u64,
        elected: u64,
        now: u64,
        actions: &mut Vec<Action>,
    ) {
        let asked = self
            .others()
            .filter(|i| self.is_peer_alive(*i, now) && self.peers[*i].status.workers > 0)
            .max_by_key(|i| self.peers[*i].status.workers);
        let fresh = self.others().find(|i| self.is_peer_alive(*i, now));
        let isolated = self.node_names.len() > 1 && fresh.is_none();
        // That several machines fall silent at once is our cut, not theirs; a peer should stand ready
        // before they have given up on us and come to it.
        let asked = asked.or(fresh.filter(|_| self.status.machines >= limits::MIN_CORRELATED_SILENCE));
        self.reached_by_workers |= self.status.workers > 0;
        // Before any worker has come here, the first ones may well ask a peer first.
        let unreached = self.reached_by_workers && self.status.workers == 0 && (asked.is_some() || isolated);
        if !unreached || now < elected + limits::GRANT_DURATION {
            self.unreached_since = None;
            return;
        }
        let since = *self.unreached_since.get_or_insert(now);
        if now < since + limits::HEARTBEAT_INTERVAL {
            return;
        }
        match asked {
            Some(successor) => {
                info!(
                    successor = self.node_names[successor],
                    "leadership handed over: workers reach only a peer"
                );
                self.hand_over(token, successor, now, actions);
            }
            None => {
                info!("leadership released: unreachable by peers and workers");
                self.step_down(now, actions);
                self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
            }
        }
    }

    pub(super) fn hand_over(&mut self, token: u64, successor: usize, now: u64, actions: &mut Vec<Action>) {
        let release = Message::Release { token, successor };
        actions.extend(self.others().map(|i| Action::Send(i, release)));
        self.step_down(now, actions);
        self.next_campaign_at = now + limits::STEP_DOWN_BACKOFF;
    }

    pub(super) fn step_down(&mut self, now: u64, actions: &mut Vec<Action>) {
        if let Role::Leader { lease, lease_until, .. } = self.role {
            actions.extend(lease.map(|lease| Action::Release { lease }));
            // Counted from when it surely acted: it may have stood still since.
            let acted =
                self.majority_until(self.own_vote_counts(now), |p| p.grant_until).max(lease_until).min(now);
            let keep_until =
                (acted + shortened(self.longest_autonomy)).min(self.cancellations.keep_alive_until());
            actions.push(Action::Deposed { keep_until });
        }
        self.role = Role::Follower;
        self.leader = None;
        self.unreached_since = None;
        self.next_probe_at = now;
        self.peers.iter_mut().for_each(|p| p.grant_until = 0);
    }

    /// A worker or peer has shown a higher token.
    pub fn observe_token(&mut self, token: u64, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.highest_token = self.highest_token.max(token);
        if matches!(self.role, Role::Leader { token: own, .. } if own < token) {
            warn!(token, "higher fencing token observed");
            self.step_down(now, &mut actions);
        }
        actions
    }
}
