//! Checks of the platform's file beyond the types: one function a concern. The first rule that is broken, in the order
//! of [`check`], is the one that is reported, so the order is part of what operators see.

use super::platform::{
    CloudLimits, Deployment, NextLimits, ProcessResources, Settings, StateLimits, Team, Workers,
};
use thiserror::Error;

/// Least size of a value of the key-value store, in KiB: a record of one machine must fit.
const MIN_VALUE_KB: f64 = 2.0;
/// Least number of changes in a transaction of the key-value store.
const MIN_TRANSACTION_CHANGES: usize = 3;

/// The rule that a value breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// A number that is 0, negative, infinite or not a number.
    #[error("must be above 0")]
    NotPositive,
    /// The name of this node is empty.
    #[error("must not be empty")]
    Empty,
    /// This node is listed among the other controllers.
    #[error("must not name this node itself")]
    NamesThisNode,
    /// No zone is named.
    #[error("must name a zone")]
    NoZone,
    /// No team is named.
    #[error("must name a team")]
    NoTeam,
    /// A quota that is negative, infinite or not a number.
    #[error("guarantees and limits must be amounts of 0 or more")]
    NegativeQuota,
    /// A team without a name, or two teams of one name.
    #[error("must not be empty, and each team is named once")]
    TeamName,
    /// A team's guarantee is above its limit.
    #[error("a guarantee must not be above its limit (cpus_max, gpus_max)")]
    GuaranteeAboveLimit,
    /// A lease that is not longer than the interval between heartbeats.
    #[error("must be above report_s")]
    LeaseTooShort,
    /// A gang's task waits no longer for the others than it needs to notice that one is gone.
    #[error("must be above gang_peer_s")]
    GangWaitTooShort,
    /// A request rate of the key-value store that is not above 0.
    #[error("rps and write_rps must be above 0")]
    StoreRates,
    /// Values of the key-value store that are too small for a record.
    #[error("records need at least 2")]
    ValueTooSmall,
    /// Transactions of the key-value store that are too small for a change of leader or job.
    #[error("a transaction needs at least 3 changes")]
    TransactionTooSmall,
    /// A request rate of the cloud that is not above 0, or a negative lag of its list.
    #[error("rps must be above 0")]
    CloudRate,
}

/// A field whose value breaks a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct InvalidField {
    /// The field, with its path.
    pub(super) field: &'static str,
    /// The rule.
    pub(super) rule: InvalidValue,
}

type Checked = Result<(), InvalidField>;

/// Checks all settings.
///
/// # Errors
/// The first field whose value breaks a rule.
pub(super) fn check(settings: &Settings) -> Checked {
    let deployment = &settings.deployment;
    check_process_resources(&deployment.resources)?;
    check_nodes(settings)?;
    check_zones(deployment)?;
    check_teams(&deployment.teams)?;
    check_worker_times(&deployment.workers)?;
    check_store_limits(&deployment.state)?;
    check_gang_times(&deployment.workers)?;
    deployment.state.next.as_ref().map_or(Ok(()), check_next_store_limits)?;
    check_cloud_limits(&deployment.cloud)
}

fn check_process_resources(resources: &ProcessResources) -> Checked {
    use InvalidValue::NotPositive;
    require(is_positive(resources.cpu), "deployment.resources.cpu", NotPositive)?;
    require(is_positive(resources.memory_mb), "deployment.resources.memory_mb", NotPositive)?;
    require(resources.max_sockets > 0, "deployment.resources.max_sockets", NotPositive)
}

fn check_nodes(settings: &Settings) -> Checked {
    let is_this_node = |name: &str| name == settings.node_name;
    let listed = settings.members.iter().any(|member| is_this_node(&member.node_name));
    require(!settings.node_name.is_empty(), "node_name", InvalidValue::Empty)?;
    require(!listed, "members", InvalidValue::NamesThisNode)
}

fn check_zones(deployment: &Deployment) -> Checked {
    require(!deployment.zones.is_empty(), "deployment.zones", InvalidValue::NoZone)
}

fn check_teams(teams: &[Team]) -> Checked {
    let amounts = |team: &Team| [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
    let has_own_name = |(place, team): (usize, &Team)| {
        !team.name.is_empty() && teams[..place].iter().all(|earlier| earlier.name != team.name)
    };
    let is_within_limits =
        |team: &Team| is_within(team.cpus, team.cpus_max) && is_within(team.gpus, team.gpus_max);
    let are_amounts = teams.iter().flat_map(amounts).all(is_amount);
    require(!teams.is_empty(), "deployment.teams", InvalidValue::NoTeam)?;
    require(are_amounts, "deployment.teams", InvalidValue::NegativeQuota)?;
    require(teams.iter().enumerate().all(has_own_name), "deployment.teams.name", InvalidValue::TeamName)?;
    require(teams.iter().all(is_within_limits), "deployment.teams", InvalidValue::GuaranteeAboveLimit)
}

fn check_worker_times(workers: &Workers) -> Checked {
    let outlasts_interval = is_positive(workers.lease_s) && workers.lease_s > workers.report_s;
    require(is_positive(workers.report_s), "deployment.workers.report_s", InvalidValue::NotPositive)?;
    require(outlasts_interval, "deployment.workers.lease_s", InvalidValue::LeaseTooShort)?;
    require(is_positive(workers.cancel_s), "deployment.workers.cancel_s", InvalidValue::NotPositive)
}

fn check_gang_times(workers: &Workers) -> Checked {
    let outlasts_notice = is_positive(workers.gang_wait_s) && workers.gang_wait_s > workers.gang_peer_s;
    require(outlasts_notice, "deployment.workers.gang_wait_s", InvalidValue::GangWaitTooShort)?;
    require(is_positive(workers.gang_peer_s), "deployment.workers.gang_peer_s", InvalidValue::NotPositive)
}

fn check_store_limits(store: &StateLimits) -> Checked {
    let are_rates = is_positive(store.rps) && is_positive(store.write_rps);
    let is_enough = store.txn_ops >= MIN_TRANSACTION_CHANGES;
    require(are_rates, "deployment.state", InvalidValue::StoreRates)?;
    require(store.value_kb >= MIN_VALUE_KB, "deployment.state.value_kb", InvalidValue::ValueTooSmall)?;
    require(is_enough, "deployment.state.txn_ops", InvalidValue::TransactionTooSmall)
}

/// A limit that is not named stays as it is, so only those that are named are checked.
fn check_next_store_limits(next: &NextLimits) -> Checked {
    use InvalidValue::{NotPositive, TransactionTooSmall, ValueTooSmall};
    let is_enough = |value_kb: f64| value_kb.is_finite() && value_kb >= MIN_VALUE_KB;
    let takes_changes = next.txn_ops.is_none_or(|changes| changes >= MIN_TRANSACTION_CHANGES);
    require(next.rps.is_none_or(is_positive), "deployment.state.next.rps", NotPositive)?;
    require(next.write_rps.is_none_or(is_positive), "deployment.state.next.write_rps", NotPositive)?;
    require(next.value_kb.is_none_or(is_enough), "deployment.state.next.value_kb", ValueTooSmall)?;
    require(takes_changes, "deployment.state.next.txn_ops", TransactionTooSmall)
}

fn check_cloud_limits(cloud: &CloudLimits) -> Checked {
    let holds = is_positive(cloud.rps) && is_amount(cloud.list_lag_s);
    require(holds, "deployment.cloud", InvalidValue::CloudRate)
}

fn require(holds: bool, field: &'static str, rule: InvalidValue) -> Checked {
    if holds {
        Ok(())
    } else {
        Err(InvalidField { field, rule })
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Whether a guarantee is within its limit; a limit of 0 is none.
fn is_within(guarantee: f64, limit: f64) -> bool {
    limit <= 0.0 || guarantee <= limit
}
