//! Failure detection: decides which machines without heartbeats are declared dead.
//!
//! Missing heartbeats have many causes that look alike for a while: a failed machine, a hang, a lost route
//! (the controller that relayed its heartbeats), a partitioned zone, a fault of the leader itself. A machine
//! that is declared dead is deleted, and with it everything that may still run there. So causes that leave
//! the machines running are ruled out first: by zone, by route, and by waiting for a while after an outage or
//! a change of leader.
//!
//! [`FailureDetector`] owns the reachability of zones and routes. `lease_expiry` has it updated, the
//! autoscaler asks which machines to delete, and placement asks which zones are unreachable.

use super::model::{Machine, MachineState, PreviousRoute};
use super::Scheduler;
use crate::limits;
use crate::time::{from_seconds, to_micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::info;

/// Whether heartbeats arrive from a zone, or by a route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reachability {
    unreachable: bool,
    /// The last outage, which may still last.
    last_outage: Option<Outage>,
}

/// A period in which a zone or a route was unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    from: Timestamp,
    /// When it was last observed.
    until: Timestamp,
}

impl Reachability {
    fn update(&mut self, unreachable: bool, now: Timestamp) {
        match &mut self.last_outage {
            Some(outage) if unreachable && self.unreachable => outage.until = now,
            Some(_) | None if unreachable => self.last_outage = Some(Outage { from: now, until: now }),
            Some(_) | None => {}
        }
        self.unreachable = unreachable;
    }

    /// When the last outage began; `Timestamp::MAX` if there was none.
    fn outage_began_at(&self) -> Timestamp {
        self.last_outage.map_or(Timestamp::MAX, |outage| outage.from)
    }

    /// Until when the last outage explains that a machine is still silent; zero if there was none. After an
    /// outage, a machine may first try two nodes that do not respond before its heartbeats arrive.
    fn outage_explains_silence_until(&self) -> Timestamp {
        self.last_outage.map_or(Timestamp::ZERO, |outage| outage.until + limits::FAILOVER_GRACE_PERIOD)
    }

    /// Whether no outage explains silence at `now`.
    fn is_recovered(&self, now: Timestamp) -> bool {
        !self.unreachable && now >= self.outage_explains_silence_until()
    }
}

/// A machine as failure detection sees it.
#[derive(Debug, Clone)]
pub struct ObservedMachine<'a> {
    /// Name of the machine.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// The node that relays its heartbeats. None: they come straight to the leader.
    pub route: Option<usize>,
    /// The route before this one.
    pub previous_route: Option<PreviousRoute>,
    /// When its last heartbeat arrived.
    pub last_heartbeat_at: Timestamp,
    /// Whether its heartbeats show that it receives no responses.
    pub receives_no_responses: bool,
    /// Whether an earlier leader recorded it and none of its heartbeats has stated this leader's token.
    pub awaits_first_heartbeat: bool,
    /// Whether its lease has expired: it holds no task, but still counts for the reachability of its zone.
    pub lost: bool,
}

impl ObservedMachine<'_> {
    /// Whether its heartbeat is overdue.
    ///
    /// Machines hit by one outage fall silent one after another over a heartbeat interval. So late ones count
    /// towards a common cause; otherwise the first would be declared dead before enough of them were silent.
    fn is_late(&self, now: Timestamp, timeouts: &DetectionTimeouts) -> bool {
        // Heartbeats arrive up to 1.25 intervals apart.
        let due = self.last_heartbeat_at + timeouts.heartbeat_interval / 4 * 5;
        self.receives_no_responses || now >= due + limits::LATE_HEARTBEAT_MARGIN
    }

    /// Whether it is dead, if no common cause explains its silence.
    fn is_dead(&self, now: Timestamp, timeouts: &DetectionTimeouts) -> bool {
        self.receives_no_responses || now >= self.last_heartbeat_at + timeouts.silence
    }

    /// Whether it left this route since the route became unreachable.
    fn left_during_outage(&self, route: Option<usize>, reachability: Reachability) -> bool {
        let previous = self.previous_route;
        previous
            .is_some_and(|left| left.relayed_by == route && left.left_at >= reachability.outage_began_at())
    }
}

/// Durations and times that failure detection uses.
#[derive(Debug, Clone, Copy)]
pub struct DetectionTimeouts {
    /// Interval between the heartbeats of a machine.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a machine is silent.
    pub silence: Duration,
    /// How long a leaseholder that the leader cannot reach may respond without the leader.
    pub shard_lease: Duration,
    /// When this leader loaded its state. Earlier heartbeats are not recorded.
    pub started_at: Timestamp,
}

impl DetectionTimeouts {
    /// Whether a zone or route is unreachable, judged by the last heartbeat of any of its machines.
    ///
    /// The time limit is `route_silence_timeout` plus three times the mean interval between heartbeats of all
    /// machines. The first covers the gap after heartbeats that all arrived together, as after a partition.
    /// The second is shorter with more machines: their common silence is significant sooner.
    fn is_unreachable(&self, now: Timestamp, arrivals: Arrivals) -> bool {
        let mean_interval =
            Duration::from_micros(to_micros(self.heartbeat_interval) / arrivals.machines.max(1) as u64);
        let silent_since = arrivals.latest.max(self.started_at);
        let timeout = limits::route_silence_timeout(self.heartbeat_interval);
        arrivals.machines >= limits::MIN_CORRELATED_SILENT_MACHINES as usize
            && now >= silent_since + timeout + 3 * mean_interval
    }

    /// Whether the leader is too young to declare any machine dead.
    fn is_initial_grace(&self, now: Timestamp) -> bool {
        now < self.started_at + self.silence.max(limits::FAILOVER_GRACE_PERIOD)
    }
}

/// Heartbeats from the machines of a zone or of a route.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Number of machines.
    machines: usize,
    /// When the last heartbeat of any of them arrived.
    latest: Timestamp,
}

impl Arrivals {
    fn add(&mut self, last_heartbeat_at: Timestamp) {
        self.machines += 1;
        self.latest = self.latest.max(last_heartbeat_at);
    }
}

/// Whether so many machines, at least three, are missing (late or not heard from) that a common cause is more
/// likely than chance.
fn suggest_common_cause(missing: usize, total: usize, max_share: f64) -> bool {
    missing > 2 && missing as f64 > max_share * total as f64
}

/// The reachability of zones and routes, updated by each observation.
#[derive(Debug, Default)]
pub struct FailureDetector {
    zones: BTreeMap<String, Reachability>,
    routes: BTreeMap<Option<usize>, Reachability>,
}

/// Machines that have sent heartbeats to this leader, by route.
type MachinesByRoute<'o, 'a> = BTreeMap<Option<usize>, Vec<&'o ObservedMachine<'a>>>;

impl FailureDetector {
    /// Updates zones and routes. `unreachable_nodes`: leaseholders that this leader cannot reach.
    pub fn observe(
        &mut self,
        now: Timestamp,
        timeouts: &DetectionTimeouts,
        observed: &[ObservedMachine],
        unreachable_nodes: &BTreeSet<usize>,
    ) {
        self.observe_zones(now, timeouts, observed);
        let mut arrivals: BTreeMap<Option<usize>, Arrivals> = BTreeMap::new();
        for machine in observed.iter().filter(|machine| !machine.awaits_first_heartbeat && !machine.lost) {
            arrivals.entry(machine.route).or_default().add(machine.last_heartbeat_at);
        }
        for (route, arrivals) in arrivals {
            let node_is_unreachable = route.is_some_and(|node| unreachable_nodes.contains(&node));
            let unreachable = node_is_unreachable || timeouts.is_unreachable(now, arrivals);
            self.routes.entry(route).or_default().update(unreachable, now);
        }
    }

    fn observe_zones(&mut self, now: Timestamp, timeouts: &DetectionTimeouts, observed: &[ObservedMachine]) {
        let mut arrivals: BTreeMap<&str, Arrivals> = BTreeMap::new();
        for machine in observed {
            arrivals.entry(machine.zone).or_default().add(machine.last_heartbeat_at);
        }
        for zone in arrivals.keys() {
            self.zones.entry(zone.to_string()).or_default();
        }
        // Zones without machines are updated too and become reachable. Otherwise no machine would be rented
        // any more in a zone whose last machine is gone.
        for (zone, reachability) in &mut self.zones {
            let arrivals = arrivals.get(zone.as_str()).copied().unwrap_or_default();
            let before = reachability.unreachable;
            reachability.update(timeouts.is_unreachable(now, arrivals), now);
            let unreachable = reachability.unreachable;
            if unreachable != before {
                info!(zone, unreachable, machines = arrivals.machines, "zone reachability changed");
            }
        }
    }

    /// Whether no heartbeat arrives from the zone.
    pub fn zone_unreachable(&self, zone: &str) -> bool {
        self.zone(zone).unreachable
    }

    fn zone(&self, zone: &str) -> Reachability {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    fn route(&self, route: Option<usize>) -> Reachability {
        self.routes.get(&route).copied().unwrap_or_default()
    }

    /// Names of the machines that are silent or receive no responses and for which no common cause is likely.
    pub fn declared_dead<'a>(
        &self,
        now: Timestamp,
        timeouts: &DetectionTimeouts,
        observed: &[ObservedMachine<'a>],
    ) -> Vec<&'a str> {
        if timeouts.is_initial_grace(now) {
            return Vec::new();
        }
        // Tasks in an unreachable zone may still run, and its machines could not be replaced there anyway.
        let reachable: Vec<&ObservedMachine> = observed
            .iter()
            .filter(|machine| !machine.lost && self.zone(machine.zone).is_recovered(now))
            .collect();
        let mut dead = dead_among_awaited(&reachable);
        let mut routes = MachinesByRoute::new();
        for &machine in reachable.iter().filter(|machine| !machine.awaits_first_heartbeat) {
            routes.entry(machine.route).or_default().push(machine);
        }
        let many_are_late = self.many_are_late(now, timeouts, &routes);
        for (route, machines) in &routes {
            let reachability = self.route(*route);
            // After a crash of the leaseholder, its machines move to another route and only dead ones stay.
            // Those that moved still count in the size of the route.
            let moved = reachable.iter().filter(|machine| machine.left_during_outage(*route, reachability));
            let route_size = machines.len() + moved.count();
            let late = machines.iter().filter(|machine| machine.is_late(now, timeouts)).count();
            // If many of the cluster or the route are late, none is declared dead: tasks restart when leases
            // expire. The limit is higher for a route: three of its nine machines may be dead by chance.
            if now < silence_explained_until(reachability, timeouts)
                || many_are_late && !reachability.unreachable
                || suggest_common_cause(late, route_size, limits::MAX_SILENT_ROUTE_SHARE)
            {
                continue;
            }
            let silent = machines.iter().filter(|machine| machine.is_dead(now, timeouts));
            dead.extend(silent.map(|machine| machine.name));
        }
        dead
    }

    /// Whether so many machines of all recovered routes are late that a common cause is likely. Does not
    /// apply to machines of unreachable routes, which are not counted either: each such route is judged
    /// separately.
    fn many_are_late(&self, now: Timestamp, timeouts: &DetectionTimeouts, routes: &MachinesByRoute) -> bool {
        let recovered = routes.iter().filter(|(route, _)| self.route(**route).is_recovered(now));
        let (mut total, mut late) = (0, 0);
        for machine in recovered.flat_map(|(_, machines)| machines) {
            total += 1;
            late += usize::from(machine.is_late(now, timeouts));
        }
        suggest_common_cause(late, total, limits::MAX_SILENT_SHARE)
    }
}

/// Names of the machines of earlier leaders of which no heartbeat has stated this leader's token: they are
/// dead, unless they are many. They may have no route yet, so their number is compared with all machines
/// that should send heartbeats.
fn dead_among_awaited<'a>(reachable: &[&ObservedMachine<'a>]) -> Vec<&'a str> {
    let awaited: Vec<&str> = reachable
        .iter()
        .filter(|machine| machine.awaits_first_heartbeat)
        .map(|machine| machine.name)
        .collect();
    if suggest_common_cause(awaited.len(), reachable.len(), limits::MAX_SILENT_SHARE) {
        return Vec::new();
    }
    awaited
}

/// Until when the state of a route explains the silence of its machines. A leaseholder that the leader cannot
/// reach, but its machines can, responds to unchanged heartbeats until its shard lease ends.
fn silence_explained_until(reachability: Reachability, timeouts: &DetectionTimeouts) -> Timestamp {
    if reachability.unreachable {
        reachability.outage_began_at() + timeouts.shard_lease + limits::FAILOVER_GRACE_PERIOD
    } else {
        reachability.outage_explains_silence_until()
    }
}

impl Scheduler {
    fn detection_timeouts(&self) -> DetectionTimeouts {
        let report_s = self.config.workers.report_s;
        DetectionTimeouts {
            heartbeat_interval: from_seconds(report_s),
            silence: limits::silence_timeout(report_s),
            shard_lease: self.config.shard_lease,
            started_at: self.loaded_at,
        }
    }

    /// All machines from which heartbeats should arrive.
    fn observed_machines(&self) -> Vec<ObservedMachine<'_>> {
        let awaits_first_heartbeat =
            |machine: &Machine| machine.may_hold_unknown_tasks() && machine.state == MachineState::Pending;
        self.machines
            .values()
            .filter(|machine| machine.state != MachineState::Pending || awaits_first_heartbeat(machine))
            .map(|machine| ObservedMachine {
                name: &machine.name,
                zone: &machine.zone,
                route: machine.route.relayed_by,
                previous_route: machine.route.previous,
                last_heartbeat_at: machine.heartbeats.last_at,
                receives_no_responses: machine.commands.responses_without_effect
                    >= limits::MAX_RESPONSES_WITHOUT_EFFECT,
                awaits_first_heartbeat: awaits_first_heartbeat(machine),
                lost: machine.state == MachineState::Lost,
            })
            .collect()
    }

    /// Updates which zones and routes are unreachable.
    pub(super) fn observe_zones_and_routes(&mut self) {
        let mut detector = std::mem::take(&mut self.failure_detector);
        let unreachable_nodes = self.peers.recently_unreachable(self.now);
        let observed = self.observed_machines();
        detector.observe(self.now, &self.detection_timeouts(), &observed, &unreachable_nodes);
        self.failure_detector = detector;
    }

    /// Names of the machines that are declared dead and are not being deleted yet.
    pub(super) fn machines_to_declare_dead(&self) -> Vec<String> {
        let observed = self.observed_machines();
        let dead = self.failure_detector.declared_dead(self.now, &self.detection_timeouts(), &observed);
        let is_deleting =
            |name: &str| self.machines.get(name).is_some_and(|machine| machine.lifecycle.deleting);
        dead.into_iter().filter(|name| !is_deleting(name)).map(str::to_string).collect()
    }
}

#[cfg(test)]
#[path = "failure_detection_tests.rs"]
mod tests;
