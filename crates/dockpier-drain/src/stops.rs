//! Advice on a task of a cordoned machine: let it finish, stop it now, or wait until something changes.

use crate::budget::Cost;
use crate::ledger::Allowance;
use crate::status::Wait;

/// What kind of work a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskKind {
    /// A replica of a service, which serves by itself.
    Replica,
    /// A task of an array.
    Array,
    /// A task of a gang: all of its tasks are stopped, or none.
    Gang,
}

/// A task on a cordoned machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskView {
    /// The job that it belongs to.
    pub job: String,
    /// The team whose budget counts.
    pub team: String,
    /// What kind of work it is.
    pub kind: TaskKind,
    /// It runs; otherwise it waits for its image, saves or is being stopped.
    pub runs: bool,
    /// How long it has run.
    pub ran_s: f64,
    /// How long its owner expects it to run on.
    pub remaining_s: f64,
    /// Interval between checkpoints; 0: it never saves.
    pub checkpoint_s: f64,
    /// Time that it takes to save.
    pub save_s: f64,
    /// How long it would be down on the place found for it; `None`: there is none.
    pub move_s: Option<f64>,
    /// All tasks of its job are where they should be.
    pub job_whole: bool,
    /// Tasks of its gang.
    pub gang_tasks: u32,
    /// All machines of its gang can be reached at once.
    pub gang_reachable: bool,
    /// The drain's deadline has passed.
    pub late: bool,
}

/// What is to be done with a task.
#[derive(Debug, Clone, PartialEq)]
pub enum Advice {
    /// It ends by itself.
    LetFinish,
    /// It is stopped with so much time to save; so many tasks are stopped with it, itself included.
    Stop {
        /// What the stop is expected to take.
        cost: Cost,
        /// Seconds to save.
        grace_s: f64,
        /// Tasks.
        tasks: u32,
    },
    /// Something else has to change first.
    Wait(Wait),
}

/// A task of an array or gang that ends within so many seconds is let finish: stopped, it would save, wait for its turn and
/// fetch its image before it went on.
pub const FINISHES_SOON_S: f64 = 20.0;

/// What may be done with the task now, given what is left of its team's budget.
pub fn advise(task: &TaskView, left: &Allowance) -> Advice {
    if !task.runs {
        // One that waits for its image is about to run; one that saves is about to end.
        return Advice::Wait(Wait::TaskStarting { job: task.job.clone() });
    }
    match task.kind {
        TaskKind::Replica => advise_replica(task, left),
        TaskKind::Array | TaskKind::Gang if task.remaining_s <= FINISHES_SOON_S => Advice::LetFinish,
        TaskKind::Array | TaskKind::Gang if task.checkpoint_s <= 0.0 && !task.late => Advice::LetFinish,
        TaskKind::Array => within(task, left, repeated(task, 1), task.save_s, 1),
        TaskKind::Gang if !task.gang_reachable => {
            Advice::Wait(Wait::GangUnreachable { job: task.job.clone() })
        }
        TaskKind::Gang => within(task, left, repeated(task, task.gang_tasks), task.save_s, task.gang_tasks),
    }
}

fn advise_replica(task: &TaskView, left: &Allowance) -> Advice {
    if !task.job_whole {
        return Advice::Wait(Wait::JobNotWhole { job: task.job.clone() });
    }
    match task.move_s {
        None => Advice::Wait(Wait::NoPlace { job: task.job.clone() }),
        Some(down_s) => within(task, left, Cost::replica(down_s), 0.0, 1),
    }
}

/// The work that so many tasks like this one repeat when they are stopped with the time to save: nothing where
/// they save, all that they have run otherwise.
pub fn repeated(task: &TaskView, tasks: u32) -> Cost {
    let each = if task.checkpoint_s > 0.0 { 0.0 } else { task.ran_s };
    Cost::work(each * f64::from(tasks))
}

fn within(task: &TaskView, left: &Allowance, cost: Cost, grace_s: f64, tasks: u32) -> Advice {
    match left.covers(tasks, cost) {
        true => Advice::Stop { cost, grace_s, tasks },
        false => Advice::Wait(Wait::Budget { team: task.team.clone(), tasks, cost, left: *left }),
    }
}
