//! Planned draining in virtual time, judged by the workers' own records: budgets, reserved places, no task twice,
//! every machine replaced once, whatever fails on the way.

mod budgets;
mod drain_fleet;
mod failures;
mod requests;
mod tasks;
