//! Which silent machines to give up. Silence has many causes that look alike for a while: a machine's own
//! death, a hang, a way that is lost (the lessee that passed its reports on), a zone that is cut off, a fault
//! of our own. A machine given up is deleted, and with it everything that may still run there, so that the
//! causes in which machines live on are told apart first: by zone, by way and by time.

use super::model::*;
use super::Core;
use crate::limits;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Whether anything is heard from a zone, or by a way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Light {
    dark: bool,
    /// When it was last dark, from and until.
    last: Option<(u64, u64)>,
}

impl Light {
    fn update(&mut self, dark: bool, now: u64) {
        match &mut self.last {
            Some((_, until)) if dark && self.dark => *until = now,
            _ if dark => self.last = Some((now, now)),
            _ => {}
        }
        self.dark = dark;
    }

    fn dark_from(&self) -> u64 {
        self.last.map_or(u64::MAX, |(from, _)| from)
    }

    /// From when on what is still silent after the darkness has no excuse: its machines may hang at two nodes
    /// before they are heard.
    fn back(&self) -> u64 {
        self.last.map_or(0, |(_, until)| until + limits::COMES_LATE)
    }
}

/// A machine as this judgement sees it.
#[derive(Debug, Clone)]
pub struct Seen<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub way: Option<usize>,
    /// The way that it came by before, and when it left that one.
    pub left: Option<(Option<usize>, u64)>,
    pub heard: u64,
    pub deaf: bool,
    /// An earlier leader recorded it, and it has not come to this one.
    pub awaited: bool,
    /// Its lease is over: it holds nothing, and still tells whether its zone is heard.
    pub lost: bool,
}

/// What is known of zones and ways, kept from one look to the next.
#[derive(Debug, Default)]
pub struct Silence {
    zones: BTreeMap<String, Light>,
    ways: BTreeMap<Option<usize>, Light>,
}

/// Times that the judgement rests on, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    pub report: u64,
    /// A machine's own silence.
    pub silent: u64,
    /// How long a lessee out of touch may answer by itself.
    pub block_lease: u64,
    /// When this leader began to listen.
    pub started: u64,
}

fn too_many(silent: usize, of: usize, share: f64) -> bool {
    silent > 2 && silent as f64 > share * of as f64
}

impl Patience {
    /// Nothing has come from so many machines since `latest`. The more there are, the sooner their common
    /// silence means something, but for a while after they all came at once they do so again together.
    fn dark(&self, now: u64, machines: usize, latest: u64) -> bool {
        let interval = self.report / machines.max(1) as u64;
        machines >= limits::SILENT_TOGETHER as usize
            && now >= latest.max(self.started) + limits::way_silent(self.report) + 3 * interval
    }
}

impl Silence {
    /// Looks at all machines that should be heard. `out_of_touch`: lessees that this leader does not reach.
    pub fn look(&mut self, now: u64, p: &Patience, seen: &[Seen], out_of_touch: &BTreeSet<usize>) {
        let mut zones: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
        let mut ways: BTreeMap<Option<usize>, (usize, u64)> = BTreeMap::new();
        for m in seen {
            let zone = zones.entry(m.zone).or_default();
            *zone = (zone.0 + 1, zone.1.max(m.heard));
            if !m.awaited && !m.lost {
                let way = ways.entry(m.way).or_default();
                *way = (way.0 + 1, way.1.max(m.heard));
            }
        }
        for zone in zones.keys() {
            self.zones.entry(zone.to_string()).or_default();
        }
        // A zone whose last machine is gone is not dark any more, or none would ever be rented there again.
        for (zone, light) in &mut self.zones {
            let (machines, latest) = zones.get(zone.as_str()).copied().unwrap_or_default();
            let before = light.dark;
            light.update(p.dark(now, machines, latest), now);
            if light.dark != before {
                info!(zone, dark = light.dark, machines, "zone");
            }
        }
        for (way, (machines, latest)) in ways {
            let lost = way.is_some_and(|node| out_of_touch.contains(&node));
            self.ways.entry(way).or_default().update(lost || p.dark(now, machines, latest), now);
        }
    }

    pub fn zone_dark(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|light| light.dark)
    }

    fn zone(&self, zone: &str) -> Light {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// The machines to give up.
    pub fn given_up<'a>(&self, now: u64, p: &Patience, seen: &[Seen<'a>]) -> Vec<&'a str> {
        // What a dark zone holds may all run on, and its machines could not be replaced there anyway.
        let back = |light: Light| !light.dark && now >= light.back();
        let lit: Vec<&Seen> = seen.iter().filter(|m| !m.lost && back(self.zone(m.zone))).collect();
        let mut up = Vec::new();
        if now < p.started + p.silent.max(limits::COMES_LATE) {
            return up;
        }
        // Those that have not come to a new leader have no way yet: they are judged against all that should.
        let awaited: Vec<&str> = lit.iter().filter(|m| m.awaited).map(|m| m.name).collect();
        if !too_many(awaited.len(), lit.len(), limits::SILENT_SHARE) {
            up.extend(awaited);
        }
        // They fall due one after the other over an interval: those that are late already count, or the first of
        // them would be given up before they were too many.
        let late = |m: &Seen| m.deaf || now >= m.heard + p.report / 4 * 5 + limits::LATE;
        let mut ways: BTreeMap<Option<usize>, Vec<&Seen>> = BTreeMap::new();
        for m in lit.iter().filter(|m| !m.awaited) {
            ways.entry(m.way).or_default().push(m);
        }
        let way_light = |way: &Option<usize>| self.ways.get(way).copied().unwrap_or_default();
        let heard = ways.iter().filter(|(way, _)| back(way_light(way))).flat_map(|(_, here)| here);
        let (known, all_late) = heard.fold((0, 0), |(n, l), m| (n + 1, l + usize::from(late(m))));
        let many = too_many(all_late, known, limits::SILENT_SHARE);
        for (way, here) in &ways {
            let (way, light) = (*way, way_light(way));
            // Those whose lessee has crashed come another way, and only the dead are left on theirs.
            let left = |m: &&&Seen| m.left.is_some_and(|(from, at)| from == way && at >= light.dark_from());
            let block = here.len() + lit.iter().filter(left).count();
            let silent = |m: &&&Seen| now >= m.heard + p.silent;
            let quiet = here.iter().filter(|m| late(m)).count();
            // A lessee that is only out of touch answers what says nothing new until its lease ends.
            let wait = if light.dark {
                light.dark_from() + p.block_lease + limits::COMES_LATE
            } else {
                light.back()
            };
            // Many that fall silent together although others are heard, or most of a way's: their leases will
            // tell. Few are not too many because chance put three of them on one way of nine.
            if now < wait || many && !light.dark || too_many(quiet, block, limits::SILENT_WAY_SHARE) {
                continue;
            }
            up.extend(here.iter().filter(|m| silent(m) || m.deaf).map(|m| m.name));
        }
        up
    }
}

impl Core {
    fn patience(&self) -> Patience {
        let report_s = self.config.workers.report_s;
        Patience {
            report: limits::micros(report_s),
            silent: limits::silent(report_s),
            block_lease: self.config.block_lease,
            started: self.started,
        }
    }

    fn seen(&self) -> Vec<Seen<'_>> {
        let awaited = |m: &Machine| m.inherited && !m.reconciled && m.phase == Phase::Expected;
        let heard = self.machines.values().filter(|m| m.phase != Phase::Expected || awaited(m));
        heard
            .map(|m| Seen {
                name: &m.name,
                zone: &m.zone,
                way: m.via,
                left: m.left,
                heard: m.heard,
                deaf: m.unheard >= limits::UNHEARD_DEAF,
                awaited: awaited(m),
                lost: m.phase == Phase::Lost,
            })
            .collect()
    }

    /// Notes which zones and ways are dark.
    pub fn look_at_silence(&mut self) {
        let mut silence = std::mem::take(&mut self.silence);
        let recent = |(_, last): &(&usize, &u64)| self.now < *last + limits::HEARTBEAT;
        let out_of_touch = self.out_of_touch.iter().filter(recent).map(|(node, _)| *node).collect();
        silence.look(self.now, &self.patience(), &self.seen(), &out_of_touch);
        self.silence = silence;
    }

    pub fn silent_to_give_up(&self) -> Vec<String> {
        let seen = self.seen();
        let up = self.silence.given_up(self.now, &self.patience(), &seen);
        let deleting = |name: &str| self.machines.get(name).is_some_and(|m| m.deleting);
        up.into_iter().filter(|name| !deleting(name)).map(str::to_string).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::limits::SECOND;

    const REPORT: u64 = 3 * SECOND;
    const BLOCK_LEASE: u64 = 22 * SECOND;
    /// When the trouble begins.
    const FROM: u64 = 100 * SECOND;
    const ZONES: [&str; 2] = ["a", "b"];

    /// What befalls a machine: silent for so long from `FROM` on.
    type Trouble = fn(usize, usize) -> u64;

    /// Machines that report evenly over the interval, a third by each of three ways, and the trouble that some
    /// have. Returns which are given up, and how long after its beginning the first is.
    fn play(machines: usize, trouble: Trouble, lost_way: Option<usize>, time: u64) -> (usize, u64) {
        let names: Vec<String> = (0..machines).map(|i| format!("m-{i}")).collect();
        let patience = Patience {
            report: REPORT,
            silent: limits::silent(3.0),
            block_lease: BLOCK_LEASE,
            started: SECOND,
        };
        let mut silence = Silence::default();
        let mut given_up: BTreeSet<usize> = BTreeSet::new();
        let mut first = u64::MAX;
        for step in 0..(FROM / 2 + time) / limits::EXPIRE_EVERY {
            let now = FROM / 2 + step * limits::EXPIRE_EVERY;
            let heard = |i: usize| {
                let phase = i as u64 * 7_919 % 1_000 * REPORT / 1_000;
                let report = |at: u64| at.saturating_sub(phase) / REPORT * REPORT + phase;
                let until = FROM + trouble(i, machines);
                if now < FROM || trouble(i, machines) == 0 {
                    report(now)
                } else if now < until {
                    report(FROM)
                } else {
                    // Back, all at once, as after a cut.
                    report(now).max(until)
                }
            };
            let seen: Vec<Seen> = (0..machines)
                .filter(|i| !given_up.contains(i))
                .map(|i| Seen {
                    name: &names[i],
                    zone: ZONES[i % 2],
                    way: [None, Some(1), Some(2)][i % 3],
                    left: None,
                    heard: heard(i),
                    deaf: false,
                    awaited: false,
                    lost: false,
                })
                .collect();
            let lost = lost_way.filter(|_| now >= FROM).into_iter().collect();
            silence.look(now, &patience, &seen, &lost);
            for name in silence.given_up(now, &patience, &seen) {
                first = first.min(now - FROM);
                given_up.extend(name[2..].parse::<usize>());
            }
        }
        (given_up.len(), first)
    }

    /// A zone stayed dark for ever once the list had said that all its machines had failed.
    #[test]
    fn a_zone_without_machines_is_not_dark() {
        let patience = Patience {
            report: REPORT,
            silent: limits::silent(3.0),
            block_lease: BLOCK_LEASE,
            started: SECOND,
        };
        let machine = |name, lost| Seen {
            name,
            zone: "a",
            way: None,
            left: None,
            heard: SECOND,
            deaf: false,
            awaited: false,
            lost,
        };
        let mut silence = Silence::default();
        let all = ["x", "y", "z"].map(|name| machine(name, false));
        silence.look(FROM, &patience, &all, &BTreeSet::new());
        assert!(silence.zone_dark("a"));
        // Their leases are over, and still nobody hears them: the cut goes on.
        let all = ["x", "y", "z"].map(|name| machine(name, true));
        silence.look(FROM + 60 * SECOND, &patience, &all, &BTreeSet::new());
        assert!(silence.zone_dark("a"));
        silence.look(FROM + 61 * SECOND, &patience, &[], &BTreeSet::new());
        assert!(!silence.zone_dark("a"));
    }

    #[test]
    fn silence_is_told_apart_at_every_size() {
        const LONG: u64 = 1_000 * SECOND;
        let at_once = limits::silent(3.0) + SECOND;
        let never = u64::MAX;
        let half = |n: usize| n / 2;
        type Size = fn(usize) -> usize;
        // What happens, to whom and for how long, a way that is lost, how many are to be given up, how soon.
        let cases: [(&str, Trouble, Option<usize>, Size, u64); 10] = [
            ("nothing", |_, _| 0, None, |_| 0, never),
            ("a machine dies", |i, _| if i == 5 { LONG } else { 0 }, None, |_| 1, at_once),
            ("a tenth dies", |i, _| if i % 10 == 4 { LONG } else { 0 }, None, |n| n / 10, at_once),
            (
                "a tenth hangs past its lease",
                |i, _| if i % 10 == 4 { 25 * SECOND } else { 0 },
                None,
                |n| n / 10,
                at_once,
            ),
            // A third of those that report one way: chance on a small fleet.
            (
                "a ninth dies, all of one way",
                |i, _| if i % 9 == 1 { LONG } else { 0 },
                None,
                |n| (n + 7) / 9,
                at_once,
            ),
            ("a third of each zone at once", |i, _| if i % 6 < 2 { LONG } else { 0 }, None, |_| 0, never),
            ("a zone is cut off", |i, _| if i % 2 == 1 { 45 * SECOND } else { 0 }, None, |_| 0, never),
            ("a zone for good", |i, _| if i % 2 == 1 { LONG } else { 0 }, None, |_| 0, never),
            ("all are silent", |_, _| 45 * SECOND, None, |_| 0, never),
            // Its lessee answers by itself; the machines come another way when its lease has ended.
            (
                "a lessee is out of touch",
                |i, _| if i % 3 == 1 { 25 * SECOND } else { 0 },
                Some(1),
                |_| 0,
                never,
            ),
        ];
        for machines in [20, 120, 1_900] {
            for (what, trouble, lost, expected, soon) in &cases {
                let (given_up, first) = play(machines, *trouble, *lost, 90 * SECOND);
                let expected = expected(machines);
                assert_eq!(given_up, expected, "{what}, {machines} machines");
                assert!(expected == 0 || first <= *soon, "{what}, {machines} machines: after {first}");
            }
            // A zone comes back without some of its machines: those are dead, the others only needed time.
            let cut = |i: usize, n: usize| match i % 2 {
                1 if i > n - n / 10 => LONG,
                1 => 45 * SECOND,
                _ => 0,
            };
            let (given_up, first) = play(machines, cut, None, 90 * SECOND);
            let dead = (0..machines).filter(|i| cut(*i, machines) == LONG).count();
            assert!(dead < half(machines) / 2);
            assert_eq!(given_up, dead, "a cut, {machines} machines");
            assert!(first >= 44 * SECOND + limits::COMES_LATE, "{machines} machines: after {first}");
        }
    }
}
