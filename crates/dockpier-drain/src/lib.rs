//! Planned draining of machines in steps, each team's disruption kept within a budget that it has agreed to.
//!
//! The crate decides and does nothing else: what it is given is a view of the fleet, what it returns is a choice.
//! It does no I/O and keeps no clock (times come with every call, in milliseconds of the time of day); only the
//! solver watches its own time limit. The scheduler holds the state, carries choices out under the rules that it
//! enforces anyway, and writes the records.
//!
//! | module | job |
//! | --- | --- |
//! | [`request`] | operators' requests, checked |
//! | [`budget`] | the disruption that a team has agreed to |
//! | [`ledger`] | how much of a budget is spent, reserved and left in the sliding window |
//! | [`progress`] | the state of each machine of a drain |
//! | [`plan`] | which machines the next step may take |
//! | [`stops`] | whether a task on a cordoned machine may be stopped |
//! | [`status`] | what operators see of a drain |

#![deny(missing_docs)]

pub mod budget;
pub mod ledger;
pub mod plan;
pub mod progress;
pub mod request;
pub mod status;
pub mod stops;
