//! Answers of the state service to what leadership asked of it.

use super::{Action, By, Leadership, Role, StoreAnswer};
use crate::limits::{self, shortened};
use crate::protocol::records::Epoch;
use tracing::info;

impl Leadership {
    pub fn store(&mut self, now: u64, answer: StoreAnswer) -> Vec<Action> {
        let mut actions = Vec::new();
        match answer {
            StoreAnswer::Probed { epoch, locked } => self.probed(now, epoch, locked, &mut actions),
            StoreAnswer::Won { lease, version, lease_sent } => {
                let Role::Taking { token, by } = self.role else {
                    actions.push(Action::Release { lease });
                    return actions;
                };
                let lease_until = lease_sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                // The commit must have been answered while the promises still run.
                let promised = by != By::Promises || self.promises_until(now) > now;
                if !promised || lease_until <= now + limits::GUARD {
                    info!("won too late, starting over");
                    self.role = Role::Follower;
                    actions.push(Action::Release { lease });
                    return actions;
                }
                info!(token, version, "leading");
                self.token = self.token.max(token);
                let epoch = Epoch { token, node: self.names[self.me].clone(), incarnation: self.incarnation };
                self.epoch = Some((epoch, version));
                self.role = Role::Leader { token, lease: Some(lease), lease_until, elected: now };
                self.peers.iter_mut().for_each(|p| (p.granted, p.promised) = (0, 0));
                self.may_resume = false;
                self.reached = false;
                self.autonomous_until = now;
                let given = [self.grant_out, self.promise_out].into_iter().flatten();
                let others = given.filter(|(to, _)| *to != self.me).map(|(_, until)| until);
                self.bound_until = others.max().unwrap_or(0);
                self.grant_out = None;
                self.leader = None;
                self.renew_due = now + limits::RENEW;
                self.heartbeat_due = now;
                actions.push(Action::Elected { token, version });
            }
            StoreAnswer::Lost { lease } => {
                actions.extend(lease.map(|lease| Action::Release { lease }));
                if matches!(self.role, Role::Taking { .. }) {
                    self.role = Role::Follower;
                    self.probe_due = now;
                }
            }
            StoreAnswer::Renewed { lease, sent, alive } => {
                if let Role::Leader { lease: own, lease_until, .. } = &mut self.role {
                    if *own == Some(lease) {
                        if alive {
                            let until = sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                            *lease_until = (*lease_until).max(until);
                        } else {
                            // It ended; grants may carry us on, but the lock is open to others.
                            *own = None;
                            self.probe_due = now;
                        }
                    }
                }
            }
            StoreAnswer::Failed => self.probing = false,
        }
        actions
    }

    pub(super) fn probed(
        &mut self,
        now: u64,
        epoch: Option<(Epoch, u64)>,
        locked: bool,
        actions: &mut Vec<Action>,
    ) {
        self.probing = false;
        let older = match (&epoch, &self.epoch) {
            (Some((_, new)), Some((_, known))) => new < known,
            (None, Some(_)) => true,
            _ => false,
        };
        if older {
            return;
        }
        if let Some((epoch, _)) = &epoch {
            actions.extend(self.seen_token(epoch.token, now));
        }
        // Another's epoch: this leader has been followed.
        self.epoch = epoch;
        self.locked = locked;
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        let since = self.unlocked.filter(|(at, _)| *at == version).map_or(now, |(_, since)| since);
        self.unlocked = (!locked).then_some((version, since));
        self.probed = true;
        self.probed_at = now;
        if let Role::Leader { lease: None, .. } = self.role {
            // The lock is lost while peers still grant: take it anew under a new token.
            if !locked {
                self.step_down(now, actions);
                self.campaign_due = now;
            }
            return;
        }
        let resume = match &self.epoch {
            Some((epoch, version)) if epoch.node == self.names[self.me] => {
                (epoch.incarnation != self.incarnation).then_some(*version)
            }
            _ => None,
        };
        // The epoch names this very node before it restarted: that process is dead, and nobody acts.
        if let (Some(version), true, Role::Follower) = (resume, self.may_resume, &self.role) {
            self.take(version, By::Resuming, actions);
        }
    }
}
