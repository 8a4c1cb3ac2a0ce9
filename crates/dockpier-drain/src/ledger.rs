//! The ledger of a team: what is spent of its budget within the sliding window, what is reserved for stops under way,
//! and what is left.
//!
//! A planned stop reserves its estimate before it is sent, and is settled with what was observed. Unplanned losses
//! count against the same budget. The window is kept in buckets; a bucket counts in full until all of it
//! has left the window, so that the ledger errs on the high side. So it does after a change of leader: a record does not
//! tell which disruptions are open, so that their reservations stay spent, and tasks that the new leader finds not running
//! are counted again.

use crate::budget::{Budget, Cost};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Buckets in a window.
pub const BUCKETS: u64 = 8;

/// Disruption that began within one part of the window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Bucket {
    /// When it begins, and how long it is, in milliseconds.
    at: u64,
    length: u64,
    /// Estimates of planned stops that are not settled.
    #[serde(default, skip_serializing_if = "Cost::is_none")]
    reserved: Cost,
    /// Estimates of all planned stops, settled ones included.
    #[serde(default, skip_serializing_if = "Cost::is_none")]
    planned: Cost,
    /// What planned stops turned out to take.
    #[serde(default, skip_serializing_if = "Cost::is_none")]
    observed: Cost,
    /// What was lost without a plan.
    #[serde(default, skip_serializing_if = "Cost::is_none")]
    unplanned: Cost,
}

impl Bucket {
    fn spent(&self) -> Cost {
        self.reserved.plus(self.observed).plus(self.unplanned)
    }
}

/// Names a disruption that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DisruptionId(u64);

/// A disruption that has not ended.
#[derive(Debug, Clone, Copy)]
struct OpenDisruption {
    /// When the bucket begins in which it is counted.
    bucket: u64,
    /// When it began, in milliseconds of the time of day.
    since: u64,
    origin: Origin,
    /// A replica's time counts for as long as it lasts; a task of an array waits for its turn as any other.
    replica: bool,
    /// What is reserved for it; nothing where it was not planned.
    estimate: Cost,
}

/// Whether a disruption was planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// By a stop whose estimate is reserved.
    Planned,
    /// A loss.
    Unplanned,
}

/// What a team has left now.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Allowance {
    /// Tasks that may be disrupted besides those that are.
    pub tasks: u32,
    /// Disruption that the window has room for.
    pub cost: Cost,
}

impl Allowance {
    /// Whether a disruption of so many tasks at this cost is within it.
    pub fn covers(&self, tasks: u32, cost: Cost) -> bool {
        tasks <= self.tasks && cost.fits(self.cost)
    }

    /// What is left after a disruption.
    pub fn less(&self, tasks: u32, cost: Cost) -> Allowance {
        Allowance { tasks: self.tasks.saturating_sub(tasks), cost: self.cost.less(cost) }
    }
}

/// The sums of the window, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Totals {
    /// What planned stops were estimated to take.
    pub planned: Cost,
    /// What they took.
    pub observed: Cost,
    /// What was lost without a plan.
    pub unplanned: Cost,
    /// What is reserved for stops that are not settled.
    pub reserved: Cost,
    /// Tasks that are disrupted now.
    pub open: u32,
}

/// The disruption of one team.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    buckets: VecDeque<Bucket>,
    open: BTreeMap<DisruptionId, OpenDisruption>,
    next: u64,
}

/// A ledger as it is stored.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Until when it is complete, in milliseconds of the time of day.
    pub as_of: u64,
    /// The buckets of the window.
    pub buckets: Vec<Bucket>,
    /// Tasks that were disrupted then.
    pub open: u32,
}

impl Ledger {
    /// The ledger that an earlier leader left.
    pub fn restore(record: &LedgerRecord) -> Self {
        Ledger { buckets: record.buckets.iter().copied().collect(), ..Ledger::default() }
    }

    /// The ledger as it is to be stored.
    pub fn record(&mut self, now: u64, budget: &Budget) -> LedgerRecord {
        self.forget(now, budget);
        let mut buckets: Vec<Bucket> = self.buckets.iter().copied().collect();
        // What open disruptions cost beyond their estimates is in memory only until it is added here.
        for open in self.open.values() {
            if let Some(bucket) = buckets.iter_mut().find(|b| b.at == open.bucket) {
                bucket.unplanned = bucket.unplanned.plus(overrun(open, now));
            }
        }
        LedgerRecord { as_of: now, buckets, open: self.open.len() as u32 }
    }

    /// Reserves the estimate of a planned stop, before the stop is sent. `replica`: the task is a service's replica.
    pub fn reserve(&mut self, now: u64, budget: &Budget, replica: bool, estimate: Cost) -> DisruptionId {
        let bucket = self.bucket(now, budget);
        bucket.reserved = bucket.reserved.plus(estimate);
        bucket.planned = bucket.planned.plus(estimate);
        let bucket = bucket.at;
        self.begin(OpenDisruption { bucket, since: now, origin: Origin::Planned, replica, estimate })
    }

    /// Gives a reservation back: the stop was not sent after all.
    pub fn release(&mut self, id: DisruptionId) {
        let Some(open) = self.open.remove(&id) else { return };
        if let Some(bucket) = self.buckets.iter_mut().find(|b| b.at == open.bucket) {
            bucket.reserved = bucket.reserved.less(open.estimate);
            bucket.planned = bucket.planned.less(open.estimate);
        }
    }

    /// Counts an unplanned loss; a replica's time counts until the disruption is settled.
    pub fn lose(&mut self, now: u64, budget: &Budget, replica: bool, lost: Cost) -> DisruptionId {
        let bucket = self.bucket(now, budget);
        bucket.unplanned = bucket.unplanned.plus(lost);
        let bucket = bucket.at;
        let (origin, estimate) = (Origin::Unplanned, Cost::NONE);
        self.begin(OpenDisruption { bucket, since: now, origin, replica, estimate })
    }

    /// The stop is sent now: the observed time counts from here.
    pub fn told(&mut self, id: DisruptionId, now: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.since = now;
        }
    }

    /// Ends a disruption: a replica serves again, a task runs again or is not wanted any more. `work` is the run time that
    /// has to be repeated.
    pub fn settle(&mut self, id: DisruptionId, now: u64, work: Cost) {
        let Some(open) = self.open.remove(&id) else { return };
        let lasted = if open.replica { Cost::replica(seconds(open.since, now)) } else { Cost::NONE };
        let observed = lasted.plus(work);
        let Some(bucket) = self.buckets.iter_mut().find(|b| b.at == open.bucket) else { return };
        match open.origin {
            Origin::Planned => {
                bucket.reserved = bucket.reserved.less(open.estimate);
                bucket.observed = bucket.observed.plus(observed);
            }
            Origin::Unplanned => bucket.unplanned = bucket.unplanned.plus(observed),
        }
    }

    /// When the disruption began.
    pub fn since(&self, id: DisruptionId) -> Option<u64> {
        self.open.get(&id).map(|open| open.since)
    }

    /// What of the budget is spent or reserved now.
    pub fn spent(&self, now: u64, budget: &Budget) -> Cost {
        let in_window = self.buckets.iter().filter(|b| counts(b, now, budget));
        let closed = in_window.map(Bucket::spent).fold(Cost::NONE, Cost::plus);
        self.open.values().map(|open| overrun(open, now)).fold(closed, Cost::plus)
    }

    /// What the team has left.
    pub fn allowance(&self, now: u64, budget: &Budget) -> Allowance {
        Allowance {
            tasks: budget.tasks.saturating_sub(self.open.len() as u32),
            cost: budget.cost.less(self.spent(now, budget)),
        }
    }

    /// The sums of the window.
    pub fn totals(&self, now: u64, budget: &Budget) -> Totals {
        let mut totals = Totals { open: self.open.len() as u32, ..Totals::default() };
        for bucket in self.buckets.iter().filter(|b| counts(b, now, budget)) {
            totals.planned = totals.planned.plus(bucket.planned);
            totals.observed = totals.observed.plus(bucket.observed);
            totals.unplanned = totals.unplanned.plus(bucket.unplanned);
            totals.reserved = totals.reserved.plus(bucket.reserved);
        }
        totals
    }

    fn begin(&mut self, open: OpenDisruption) -> DisruptionId {
        self.next += 1;
        let id = DisruptionId(self.next);
        self.open.insert(id, open);
        id
    }

    /// The bucket of this moment.
    fn bucket(&mut self, now: u64, budget: &Budget) -> &mut Bucket {
        self.forget(now, budget);
        let length = ((budget.window_s * 1_000.0) as u64 / BUCKETS).max(1);
        let at = now / length * length;
        let place = self.buckets.iter().position(|b| b.at == at && b.length == length);
        let place = place.unwrap_or_else(|| {
            self.buckets.push_back(Bucket {
                at,
                length,
                reserved: Cost::NONE,
                planned: Cost::NONE,
                observed: Cost::NONE,
                unplanned: Cost::NONE,
            });
            self.buckets.len() - 1
        });
        &mut self.buckets[place]
    }

    /// Drops what has left the window, unless a disruption that began in it is open.
    fn forget(&mut self, now: u64, budget: &Budget) {
        let open = &self.open;
        self.buckets.retain(|b| counts(b, now, budget) || open.values().any(|o| o.bucket == b.at));
    }
}

/// The seconds between two times in milliseconds; 0 where the second is earlier.
fn seconds(from: u64, to: u64) -> f64 {
    to.saturating_sub(from) as f64 / 1_000.0
}

/// Whether any part of the bucket is within the window.
fn counts(bucket: &Bucket, now: u64, budget: &Budget) -> bool {
    bucket.at + bucket.length + (budget.window_s * 1_000.0) as u64 > now
}

/// The cost of an open disruption beyond its estimate.
fn overrun(open: &OpenDisruption, now: u64) -> Cost {
    match open.replica {
        true => Cost::replica(seconds(open.since, now) - open.estimate.replica_s),
        false => Cost::NONE,
    }
}
