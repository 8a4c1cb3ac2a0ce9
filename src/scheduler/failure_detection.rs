//! Failure detection: which machines that do not report are declared dead.
//!
//! Missing heartbeats have many causes that look alike for a while: a machine's own death, a hang, a route that is
//! lost (the controller that passed its heartbeats on), a partitioned zone, a fault of our own. A machine that is
//! declared dead is deleted, and with it everything that may still run there. So the causes in which machines
//! live on are told apart first: by zone, by route and by time.

use super::model::*;
use super::Scheduler;
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Whether anything is heard from a zone, or by a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    unreachable: bool,
    /// When it was last unreachable, from and until.
    last: Option<(u64, u64)>,
}

impl Reachability {
    fn update(&mut self, unreachable: bool, now: u64) {
        match &mut self.last {
            Some((_, until)) if unreachable && self.unreachable => *until = now,
            _ if unreachable => self.last = Some((now, now)),
            _ => {}
        }
        self.unreachable = unreachable;
    }

    fn unreachable_from(&self) -> u64 {
        self.last.map_or(u64::MAX, |(from, _)| from)
    }

    /// From when on what is still silent after that has no excuse: its machines may hang at two nodes
    /// before they are heard.
    fn back(&self) -> u64 {
        self.last.map_or(0, |(_, until)| until + limits::FAILOVER_GRACE_PERIOD)
    }
}

/// A machine as this judgement sees it.
#[derive(Debug, Clone)]
pub struct Observed<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub route: Option<usize>,
    /// The route that it came by before, and when it left that one.
    pub previous_route: Option<(Option<usize>, u64)>,
    pub last_heartbeat_at: u64,
    pub unresponsive: bool,
    /// An earlier leader recorded it, and it has not come to this one.
    pub expected: bool,
    /// Its lease is over: it holds nothing, and still tells whether its zone is heard.
    pub lost: bool,
}

/// What is known of zones and routes, kept from one observation to the next.
#[derive(Debug, Default)]
pub struct FailureDetector {
    zones: BTreeMap<String, Reachability>,
    routes: BTreeMap<Option<usize>, Reachability>,
}

/// Times that the judgement rests on, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    pub heartbeat_interval: u64,
    /// A machine's own silence.
    pub silent: u64,
    /// How long a leaseholder out of touch may answer by itself.
    pub shard_lease: u64,
    /// When this leader began to listen.
    pub started: u64,
}

fn too_many(silent: usize, of: usize, share: f64) -> bool {
    silent > 2 && silent as f64 > share * of as f64
}

impl Patience {
    /// Nothing has come from so many machines since `latest`. The more there are, the sooner their common
    /// silence means something, but for a while after they all came at once they do so again together.
    fn unreachable(&self, now: u64, machines: usize, latest: u64) -> bool {
        let interval = self.heartbeat_interval / machines.max(1) as u64;
        machines >= limits::MIN_CORRELATED_SILENCE as usize
            && now
                >= latest.max(self.started)
                    + limits::route_silence_timeout(self.heartbeat_interval)
                    + 3 * interval
    }
}

impl FailureDetector {
    /// Looks at all machines that should be heard. `out_of_touch`: leaseholders that this leader does not reach.
    pub fn observe(&mut self, now: u64, p: &Patience, observed: &[Observed], out_of_touch: &BTreeSet<usize>) {
        let mut zones: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
        let mut routes: BTreeMap<Option<usize>, (usize, u64)> = BTreeMap::new();
        for m in observed {
            let zone = zones.entry(m.zone).or_default();
            *zone = (zone.0 + 1, zone.1.max(m.last_heartbeat_at));
            if !m.expected && !m.lost {
                let route = routes.entry(m.route).or_default();
                *route = (route.0 + 1, route.1.max(m.last_heartbeat_at));
            }
        }
        for zone in zones.keys() {
            self.zones.entry(zone.to_string()).or_default();
        }
        // A zone whose last machine is gone is not unreachable any more, or none would ever be rented there again.
        for (zone, reachability) in &mut self.zones {
            let (machines, latest) = zones.get(zone.as_str()).copied().unwrap_or_default();
            let before = reachability.unreachable;
            reachability.update(p.unreachable(now, machines, latest), now);
            if reachability.unreachable != before {
                info!(zone, unreachable = reachability.unreachable, machines, "zone");
            }
        }
        for (route, (machines, latest)) in routes {
            let lost = route.is_some_and(|node| out_of_touch.contains(&node));
            self.routes.entry(route).or_default().update(lost || p.unreachable(now, machines, latest), now);
        }
    }

    pub fn zone_unreachable(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|reachability| reachability.unreachable)
    }

    fn zone(&self, zone: &str) -> Reachability {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The machines that are dead, as far as can be told.
    pub fn declared_dead<'a>(&self, now: u64, p: &Patience, observed: &[Observed<'a>]) -> Vec<&'a str> {
        // What an unreachable zone holds may all run on, and its machines could not be replaced there anyway.
        let back = |reachability: Reachability| !reachability.unreachable && now >= reachability.back();
        let reachable: Vec<&Observed> =
            observed.iter().filter(|m| !m.lost && back(self.zone(m.zone))).collect();
        let mut dead = Vec::new();
        if now < p.started + p.silent.max(limits::FAILOVER_GRACE_PERIOD) {
            return dead;
        }
        // Those that have not come to a new leader have no route yet: they are judged against all that should.
        let expected: Vec<&str> = reachable.iter().filter(|m| m.expected).map(|m| m.name).collect();
        if !too_many(expected.len(), reachable.len(), limits::MAX_SILENT_SHARE) {
            dead.extend(expected);
        }
        // They fall due one after the other over an interval: those that are late already count, or the first of
        // them would be declared dead before they were too many.
        let late = |m: &Observed| {
            m.unresponsive
                || now >= m.last_heartbeat_at + p.heartbeat_interval / 4 * 5 + limits::LATE_HEARTBEAT_MARGIN
        };
        let mut routes: BTreeMap<Option<usize>, Vec<&Observed>> = BTreeMap::new();
        for m in reachable.iter().filter(|m| !m.expected) {
            routes.entry(m.route).or_default().push(m);
        }
        let route_reachability = |route: &Option<usize>| self.routes.get(route).copied().unwrap_or_default();
        let heard =
            routes.iter().filter(|(route, _)| back(route_reachability(route))).flat_map(|(_, here)| here);
        let (known, all_late) = heard.fold((0, 0), |(n, l), m| (n + 1, l + usize::from(late(m))));
        let many = too_many(all_late, known, limits::MAX_SILENT_SHARE);
        for (route, here) in &routes {
            let (route, reachability) = (*route, route_reachability(route));
            // Those whose leaseholder has crashed come by another route, and only the dead are left on theirs.
            let left = |m: &&&Observed| {
                m.previous_route
                    .is_some_and(|(from, at)| from == route && at >= reachability.unreachable_from())
            };
            let route_size = here.len() + reachable.iter().filter(left).count();
            let silent = |m: &&&Observed| now >= m.last_heartbeat_at + p.silent;
            let quiet = here.iter().filter(|m| late(m)).count();
            // A leaseholder that is only out of touch answers what says nothing new until its lease ends.
            let wait = if reachability.unreachable {
                reachability.unreachable_from() + p.shard_lease + limits::FAILOVER_GRACE_PERIOD
            } else {
                reachability.back()
            };
            // Many that fall silent together although others are heard, or most of a route's: their leases will
            // tell. Few are not too many because chance put three of them on one route of nine.
            if now < wait
                || many && !reachability.unreachable
                || too_many(quiet, route_size, limits::MAX_SILENT_ROUTE_SHARE)
            {
                continue;
            }
            dead.extend(here.iter().filter(|m| silent(m) || m.unresponsive).map(|m| m.name));
        }
        dead
    }
}

impl Scheduler {
    fn patience(&self) -> Patience {
        let report_s = self.config.workers.report_s;
        Patience {
            heartbeat_interval: limits::micros(report_s),
            silent: limits::silence_timeout(report_s),
            shard_lease: self.config.shard_lease,
            started: self.started_at,
        }
    }

    fn observed(&self) -> Vec<Observed<'_>> {
        let expected = |m: &Machine| m.inherited && !m.reconciled && m.state == MachineState::Pending;
        let heard = self.machines.values().filter(|m| m.state != MachineState::Pending || expected(m));
        heard
            .map(|m| Observed {
                name: &m.name,
                zone: &m.zone,
                route: m.route.via,
                previous_route: m.route.previous,
                last_heartbeat_at: m.heartbeats.last_at,
                unresponsive: m.commands.unacknowledged_heartbeats >= limits::MAX_UNACKNOWLEDGED_HEARTBEATS,
                expected: expected(m),
                lost: m.state == MachineState::Lost,
            })
            .collect()
    }

    /// Notes which zones and routes are unreachable.
    pub fn update_reachability(&mut self) {
        let mut detector = std::mem::take(&mut self.failure_detector);
        let recent = |(_, last): &(&usize, &u64)| self.now < *last + limits::HEARTBEAT_INTERVAL;
        let out_of_touch = self.out_of_touch.iter().filter(recent).map(|(node, _)| *node).collect();
        detector.observe(self.now, &self.patience(), &self.observed(), &out_of_touch);
        self.failure_detector = detector;
    }

    pub fn machines_to_declare_dead(&self) -> Vec<String> {
        let observed = self.observed();
        let dead = self.failure_detector.declared_dead(self.now, &self.patience(), &observed);
        let deleting = |name: &str| self.machines.get(name).is_some_and(|m| m.lifecycle.deleting);
        dead.into_iter().filter(|name| !deleting(name)).map(str::to_string).collect()
    }
}

#[cfg(test)]
#[path = "failure_detection_tests.rs"]
mod tests;
