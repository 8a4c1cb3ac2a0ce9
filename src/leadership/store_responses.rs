//! Answers of the state service to what leadership asked of it.

use super::{Action, Leadership, Role, StoreResponse, TakeoverProof};
use crate::limits::{self, shortened};
use crate::protocol::records::Epoch;
use tracing::info;

impl Leadership {
    pub fn handle_store_response(&mut self, now: u64, answer: StoreResponse) -> Vec<Action> {
        let mut actions = Vec::new();
        match answer {
            StoreResponse::Probed { epoch, locked } => self.handle_probe(now, epoch, locked, &mut actions),
            StoreResponse::TakeoverCommitted { lease, version, lease_sent } => {
                let Role::TakingOver { token, proof: by } = self.role else {
                    actions.push(Action::Release { lease });
                    return actions;
                };
                let lease_until = lease_sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                // The commit must have been answered while the votes still run.
                let promised = by != TakeoverProof::Votes || self.votes_until(now) > now;
                if !promised || lease_until <= now + limits::AUTHORITY_MARGIN {
                    info!("takeover committed too late");
                    self.role = Role::Follower;
                    actions.push(Action::Release { lease });
                    return actions;
                }
                info!(token, version, "leadership acquired");
                self.highest_token = self.highest_token.max(token);
                let epoch = Epoch {
                    token,
                    node: self.node_names[self.local_node].clone(),
                    incarnation: self.incarnation,
                };
                self.epoch = Some((epoch, version));
                self.role = Role::Leader { token, lease: Some(lease), lease_until, elected: now };
                self.peers.iter_mut().for_each(|p| (p.grant_until, p.vote_until) = (0, 0));
                self.may_resume = false;
                self.reached_by_workers = false;
                self.autonomous_until = now;
                let given = [self.grant_given, self.vote_given].into_iter().flatten();
                let others = given.filter(|(to, _)| *to != self.local_node).map(|(_, until)| until);
                self.bound_until = others.max().unwrap_or(0);
                self.grant_given = None;
                self.leader = None;
                self.next_renewal_at = now + limits::LOCK_RENEWAL_INTERVAL;
                self.next_heartbeat_at = now;
                actions.push(Action::Elected { token, version });
            }
            StoreResponse::TakeoverFailed { lease } => {
                actions.extend(lease.map(|lease| Action::Release { lease }));
                if matches!(self.role, Role::TakingOver { .. }) {
                    self.role = Role::Follower;
                    self.next_probe_at = now;
                }
            }
            StoreResponse::Renewed { lease, sent, alive } => {
                if let Role::Leader { lease: own, lease_until, .. } = &mut self.role {
                    if *own == Some(lease) {
                        if alive {
                            let until = sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                            *lease_until = (*lease_until).max(until);
                        } else {
                            // It ended; grants may carry us on, but the lock is open to others.
                            *own = None;
                            self.next_probe_at = now;
                        }
                    }
                }
            }
            StoreResponse::Failed => self.probe_in_flight = false,
        }
        actions
    }

    pub(super) fn handle_probe(
        &mut self,
        now: u64,
        epoch: Option<(Epoch, u64)>,
        locked: bool,
        actions: &mut Vec<Action>,
    ) {
        self.probe_in_flight = false;
        let older = match (&epoch, &self.epoch) {
            (Some((_, new)), Some((_, known))) => new < known,
            (None, Some(_)) => true,
            _ => false,
        };
        if older {
            return;
        }
        if let Some((epoch, _)) = &epoch {
            actions.extend(self.observe_token(epoch.token, now));
        }
        // Another's epoch: this leader has been followed.
        self.epoch = epoch;
        self.locked = locked;
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        let since = self.lock_free_since.filter(|(at, _)| *at == version).map_or(now, |(_, since)| since);
        self.lock_free_since = (!locked).then_some((version, since));
        self.epoch_known = true;
        self.probed_at = now;
        if let Role::Leader { lease: None, .. } = self.role {
            // The lock is lost while peers still grant: take it anew under a new token.
            if !locked {
                self.step_down(now, actions);
                self.next_campaign_at = now;
            }
            return;
        }
        let resume = match &self.epoch {
            Some((epoch, version)) if epoch.node == self.node_names[self.local_node] => {
                (epoch.incarnation != self.incarnation).then_some(*version)
            }
            _ => None,
        };
        // The epoch names this very node before it restarted: that process is dead, and nobody acts.
        if let (Some(version), true, Role::Follower) = (resume, self.may_resume, &self.role) {
            self.start_takeover(version, TakeoverProof::PreviousIncarnation, actions);
        }
    }
}
