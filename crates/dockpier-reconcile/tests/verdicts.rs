//! The same facts give the same verdicts in every order; and the verdicts are right against a plain model.

use dockpier_reconcile::{
    Evidence, Fact, GoneBy, JobFact, MachineFact, Reconciliation, ReportNumber, Reported, ReportedState,
    TaskKey, Verdict,
};
use proptest::prelude::*;

fn reported(job: u64, task: u32, attempt: u64, state: ReportedState) -> Reported {
    Reported { task: TaskKey { job, task }, attempt, state }
}

fn heard(number: u64, at: u64, tasks: Vec<Reported>) -> MachineFact {
    MachineFact::Heard { number: ReportNumber(1, number), at, tasks }
}

fn live(tasks: u32, finished: &[u32]) -> JobFact {
    JobFact::Live { tasks, finished: finished.iter().copied().collect() }
}

fn learn(facts: impl IntoIterator<Item = Fact>) -> Reconciliation {
    let mut all = Reconciliation::default();
    facts.into_iter().for_each(|fact| all.learn(fact));
    all
}

fn verdict(all: &Reconciliation, job: u64, task: u32) -> Option<Verdict> {
    all.verdicts().get(&TaskKey { job, task }).map(|(verdict, _)| *verdict)
}

/// What a machine lists in a heartbeat of this number: a heartbeat is what it is, whenever and however often it comes.
fn listed(machine: usize, number: u64) -> Vec<Reported> {
    let drawn = |salt: u64| {
        let mixed = (machine as u64 * 31 + number * 17 + salt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed >> 60
    };
    let keys = (0..3u64).flat_map(|job| (0..3u32).map(move |task| (job, task)));
    let states = [ReportedState::Alive, ReportedState::Alive, ReportedState::Done, ReportedState::Ended];
    keys.filter(|(job, task)| drawn(job * 3 + u64::from(*task)) < 4)
        .map(|(job, task)| {
            reported(job, task, number, states[drawn(100 + job + u64::from(task)) as usize % 4])
        })
        .collect()
}

fn fact() -> impl Strategy<Value = Fact> {
    let machine = |name: usize, fact| Fact::Machine(format!("m{name}"), fact);
    prop_oneof![
        (0..3usize).prop_map(move |m| machine(m, MachineFact::Unheard)),
        (0..3usize, 1..9u64).prop_map(move |(m, n)| machine(m, heard(n, n, listed(m, n)))),
        (0..3usize).prop_map(move |m| machine(m, MachineFact::Gone(GoneBy::CloudWord))),
        (0..3usize).prop_map(move |m| machine(m, MachineFact::Gone(GoneBy::LeaseOver))),
        (0..3u64, 0..3u32).prop_map(|(job, done)| Fact::Job(job, live(3, &[done]))),
        (0..3u64, 0..9u64).prop_map(|(job, read)| Fact::Job(job, JobFact::Absent { read })),
        (0..3u64).prop_map(|job| Fact::Job(job, JobFact::Unreadable)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn verdicts_do_not_depend_on_order_or_repetition_of_facts(
        facts in proptest::collection::vec(fact(), 0..14),
        shuffled in any::<prop::sample::Index>(),
        again in proptest::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let first = learn(facts.clone());
        let mut other = facts.clone();
        if !facts.is_empty() {
            other.rotate_left(shuffled.index(facts.len()));
            other.reverse();
            other.extend(again.iter().map(|index| facts[index.index(facts.len())].clone()));
        }
        let second = learn(other);
        prop_assert_eq!(&first, &second);
        prop_assert_eq!(first.verdicts(), second.verdicts());
    }

    /// Missing is concluded only where nothing is unheard and nobody reports it alive or done.
    #[test]
    fn tasks_are_missing_only_when_no_machine_can_have_them(facts in proptest::collection::vec(fact(), 0..14)) {
        let all = learn(facts);
        let unheard = all.unheard().count();
        for (task, (verdict, evidence)) in all.verdicts() {
            if verdict == Verdict::Missing {
                let nobody = matches!(evidence, Evidence::NobodyHasIt { .. });
                prop_assert!(unheard == 0 && nobody, "{} is missing: {:?}", task, evidence);
            }
        }
    }
}

#[test]
fn each_kind_of_evidence_has_its_verdict() {
    use ReportedState::{Alive, Done, Ended};
    let all = learn([
        Fact::Job(1, live(6, &[5])),
        Fact::Job(3, JobFact::Unreadable),
        Fact::Job(4, JobFact::Absent { read: 50 }),
        Fact::Machine(
            "a".into(),
            heard(
                7,
                60,
                vec![
                    reported(1, 0, 3, Alive),
                    reported(1, 1, 3, Done),
                    reported(1, 2, 3, Alive),
                    reported(1, 3, 3, Ended),
                    reported(1, 5, 3, Alive),
                    reported(2, 0, 1, Alive),
                    reported(3, 0, 1, Alive),
                    reported(4, 0, 1, Alive),
                ],
            ),
        ),
        Fact::Machine("b".into(), heard(2, 61, vec![reported(1, 2, 4, Alive)])),
        Fact::Machine("c".into(), MachineFact::Gone(GoneBy::LeaseOver)),
    ]);
    let of = |job, task| verdict(&all, job, task).unwrap();
    assert_eq!(of(1, 0), Verdict::Running);
    assert_eq!(of(1, 1), Verdict::FinishedUnrecorded);
    assert_eq!(of(1, 2), Verdict::Twice);
    assert_eq!(of(1, 3), Verdict::Missing, "it ended there without a result");
    assert_eq!(of(1, 4), Verdict::Missing);
    assert_eq!(of(1, 5), Verdict::AlreadyFinished);
    assert_eq!(of(2, 0), Verdict::CannotKnowYet, "nobody has asked the store");
    assert_eq!(of(3, 0), Verdict::CannotKnowYet, "its record can't be read");
    assert_eq!(of(4, 0), Verdict::CannotKnowYet, "the store was read before the report");
    let mut later = all.clone();
    later.learn(Fact::Job(4, JobFact::Absent { read: 61 }));
    assert_eq!(verdict(&later, 4, 0), Some(Verdict::UnknownJob));
    // A machine that nobody has heard may have what is missing, and nothing else changes.
    later.learn(Fact::Machine("d".into(), MachineFact::Unheard));
    assert_eq!(verdict(&later, 1, 4), Some(Verdict::CannotKnowYet));
    assert_eq!(verdict(&later, 1, 0), Some(Verdict::Running));
    later.learn(Fact::Machine("d".into(), MachineFact::Gone(GoneBy::CloudWord)));
    assert_eq!(verdict(&later, 1, 4), Some(Verdict::Missing));
    // A heartbeat from before is a copy, whenever it comes.
    later.learn(Fact::Machine("a".into(), heard(6, 99, Vec::new())));
    assert_eq!(verdict(&later, 1, 0), Some(Verdict::Running));
    // What is gone never comes back.
    later.learn(Fact::Machine("c".into(), heard(9, 99, vec![reported(1, 4, 9, Alive)])));
    assert_eq!(verdict(&later, 1, 4), Some(Verdict::Missing));
}
