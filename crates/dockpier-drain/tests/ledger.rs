//! The ledger against a plain model: a list of everything that ever happened.

use dockpier_drain::budget::{Budget, BudgetError, Budgets, Cost, ANY_TEAM};
use dockpier_drain::ledger::{DisruptionId, Ledger};
use proptest::prelude::*;

const BUDGET: Budget = Budget { tasks: 3, cost: Cost { replica_s: 100.0, work_s: 50.0 }, window_s: 80.0 };
/// A bucket of the window in milliseconds: what the ledger may count too long.
const BUCKET: u64 = 10_000;
const BEGINS: u64 = 1_000_000_000;

#[derive(Debug, Clone)]
enum Step {
    Reserve(u32),
    Lose(u32),
    Settle(usize),
    Release(usize),
    Pass(u64),
    /// A new leader reads what the last one wrote.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1..20u32).prop_map(Step::Reserve),
        (0..20u32).prop_map(Step::Lose),
        (0..4usize).prop_map(Step::Settle),
        (0..4usize).prop_map(Step::Release),
        (1..30_000u64).prop_map(Step::Pass),
        Just(Step::Restore),
    ]
}

/// What the plain model knows of a disruption.
struct Known {
    id: DisruptionId,
    planned: bool,
    since: u64,
    until: Option<u64>,
    /// Beyond the time that it lasted.
    besides: f64,
    estimate: f64,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Never less is counted as spent than what really happened within the window, and never more is left.
    #[test]
    fn spent_is_never_below_the_disruption_within_the_window(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut ledger, mut now) = (Ledger::default(), BEGINS);
        let mut known: Vec<Known> = Vec::new();
        let mut settled_by_change = 0.0;
        for step in steps {
            let open: Vec<usize> = (0..known.len()).filter(|at| known[*at].until.is_none()).collect();
            match step {
                Step::Reserve(estimate) => {
                    let estimate = f64::from(estimate);
                    let id = ledger.reserve(now, &BUDGET, true, Cost::replica(estimate));
                    known.push(Known { id, planned: true, since: now, until: None, besides: 0.0, estimate });
                }
                Step::Lose(lost) => {
                    let besides = f64::from(lost);
                    let id = ledger.lose(now, &BUDGET, true, Cost::replica(besides));
                    known.push(Known { id, planned: false, since: now, until: None, besides, estimate: 0.0 });
                }
                Step::Settle(nth) => if let Some(at) = open.get(nth) {
                    ledger.settle(known[*at].id, now, Cost::NONE);
                    known[*at].until = Some(now);
                },
                Step::Release(nth) => if let Some(at) = open.get(nth).filter(|at| known[**at].planned) {
                    ledger.release(known[*at].id);
                    known.remove(*at);
                },
                Step::Pass(ms) => now += ms,
                Step::Restore => {
                    ledger = Ledger::restore(&ledger.record(now, &BUDGET));
                    // What is open ends for this ledger; what it took until now, or was set aside, stays counted.
                    for one in known.iter_mut().filter(|one| one.until.is_none()) {
                        one.until = Some(now);
                    }
                    settled_by_change += 1.0;
                }
            }
            let begins = now.saturating_sub(80_000);
            let happened: f64 = known
                .iter()
                .filter(|one| one.since >= begins)
                .map(|one| (one.until.unwrap_or(now) - one.since) as f64 / 1_000.0 + one.besides)
                .sum();
            let spent = ledger.spent(now, &BUDGET).replica_s;
            prop_assert!(spent + 0.001 * (1.0 + settled_by_change) * known.len() as f64 + 1e-6 >= happened,
                "{spent} counted, {happened} happened");
            let left = ledger.allowance(now, &BUDGET);
            let open = known.iter().filter(|one| one.until.is_none()).count() as u32;
            prop_assert_eq!(left.tasks, BUDGET.tasks.saturating_sub(open));
            prop_assert!(left.cost.replica_s <= (BUDGET.cost.replica_s - spent).max(0.0) + 1e-9);
            // Nor is it counted for ever: a bucket longer than the window is the most.
            let latest = now.saturating_sub(80_000 + 2 * BUCKET);
            let most: f64 = known
                .iter()
                .filter(|one| one.until.is_none_or(|until| until >= latest) || one.since >= latest)
                .map(|one| {
                    let lasted = (one.until.unwrap_or(now) - one.since) as f64 / 1_000.0;
                    lasted.max(one.estimate) + one.besides + one.estimate + lasted
                })
                .sum();
            prop_assert!(spent <= most + 0.01, "{spent} counted, at most {most} expected");
        }
    }
}

#[test]
fn a_reservation_is_spent_until_it_is_settled_with_what_was_observed() {
    let mut ledger = Ledger::default();
    let id = ledger.reserve(BEGINS, &BUDGET, true, Cost::replica(10.0));
    assert_eq!(ledger.spent(BEGINS, &BUDGET).replica_s, 10.0);
    ledger.told(id, BEGINS + 2_000);
    // It takes longer than estimated: what is observed counts.
    assert_eq!(ledger.spent(BEGINS + 17_000, &BUDGET).replica_s, 15.0);
    ledger.settle(id, BEGINS + 18_000, Cost::NONE);
    let totals = ledger.totals(BEGINS + 18_000, &BUDGET);
    assert_eq!((totals.planned.replica_s, totals.observed.replica_s), (10.0, 16.0));
    assert_eq!((totals.reserved, totals.open), (Cost::NONE, 0));
    assert_eq!(ledger.spent(BEGINS + 200_000, &BUDGET), Cost::NONE, "it has left the window");
}

#[test]
fn refused_budgets_name_the_amount() {
    let mut budgets = Budgets::default();
    let with =
        |replica_s: f64, window_s: f64| Budget { tasks: 1, cost: Cost { replica_s, work_s: 0.0 }, window_s };
    assert_eq!(budgets.add("t", with(-1.0, 60.0)), Err(BudgetError::Amount { field: "replica-s" }));
    assert_eq!(budgets.add("t", with(f64::NAN, 60.0)), Err(BudgetError::Amount { field: "replica-s" }));
    assert_eq!(budgets.add("t", with(1.0, 59.0)), Err(BudgetError::Window));
    assert_eq!(budgets.add("t", with(1.0, 60.0)), Ok(()));
    assert_eq!(budgets.add("t", with(1.0, 60.0)), Err(BudgetError::Duplicate { team: "t".into() }));
    assert_eq!(budgets.of("u"), Budget::NONE);
    budgets.add(ANY_TEAM, with(7.0, 60.0)).unwrap();
    assert_eq!((budgets.of("u").cost.replica_s, budgets.of("t").cost.replica_s), (7.0, 1.0));
}
