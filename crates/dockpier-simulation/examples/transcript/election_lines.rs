//! Actions of leadership, and the answers of its public queries, as lines.

use crate::output::Line;
use dockpier::leadership::{Action, Leadership, Message};
use dockpier::lease::cancellation_log::Attestation;
use dockpier::scheduler::model::JobId;
use dockpier::time::{to_micros, Timestamp};
use std::time::Duration;

/// So many of the newest jobs are asked about.
const JOBS_ASKED: u64 = 10;

/// An action of a node.
pub fn action(node: usize, action: &Action) -> Line {
    let of = |kind| Line::new(kind).with("node", node);
    match action {
        Action::Send(to, what) => message(node, *to, what),
        Action::Attest(to, what) => attestation(of("attest").with("to", to), what),
        Action::Probe => of("probe"),
        Action::TakeOver { token, version, ignore_lock: over_lock } => {
            of("take-over").with("token", token).with("version", version).with("over_lock", over_lock)
        }
        Action::Renew { lease } => of("renew").with("lease", lease),
        Action::RevokeLease { lease } => of("release-lease").with("lease", lease),
        Action::Elected { token, version } => of("elected").with("token", token).with("version", version),
        Action::Deposed { keep_alive_until } => of("steps-down").with("keep_until", keep_alive_until),
    }
}

fn message(node: usize, to: usize, message: &Message) -> Line {
    let of = |kind| Line::new(kind).with("node", node).with("to", to);
    match message {
        Message::Heartbeat { token, sent } => of("heartbeat").with("token", token).with("sent", sent),
        Message::Grant { token, echo } => of("grant").with("token", token).with("echo", echo),
        Message::VoteRequest { sent } => of("promise-request").with("sent", sent),
        Message::Vote { echo } => of("promise").with("echo", echo),
        Message::HandOver { token, successor } => {
            of("release").with("token", token).with("successor", successor)
        }
    }
}

fn attestation(line: Line, attestation: &Attestation) -> Line {
    line.with("life", attestation.for_incarnation)
        .with("echo", attestation.echo)
        .with("age", to_micros(attestation.incarnation_age))
        .with("quiet", attestation.confirmations_suspended)
        .with("held", attestation.acknowledged)
        .with("last", attestation.last_number)
        .list("cancelled", &attestation.cancelled)
}

/// What a node answers to the public queries at this moment of its clock.
pub fn queries(node: usize, now: Timestamp, leadership: &Leadership) -> Line {
    let followed = leadership.followed_leader(now);
    let age = Duration::from_secs(9);
    let reported_age = |to| to_micros(leadership.reported_store_answer_age(now, to, age));
    Line::new("queries")
        .with("node", node)
        .with("leads", leadership.is_leader())
        .optional("authority", leadership.authority(now))
        .with("acts_until", leadership.authority_until(now))
        .optional("acts_with", leadership.authority(now))
        .optional("lease_keeper", leadership.keep_alive_token(now))
        .with("block_lease", to_micros(leadership.shard_lease(now)))
        .with("autonomous_until", leadership.others_kept_alive_until(now))
        .optional("leader_name", leadership.leader_name(now))
        .list(
            "followed",
            followed.map(|leader| format!("{}:{}:{}", leader.node, leader.token, leader.heartbeat_stamp)),
        )
        .list("out_of_touch", leadership.unreachable_peers(now))
        .with("peer_has_state", leadership.peer_reaches_store(now))
        .with("hears_a_peer", leadership.has_peer_in_contact(now))
        .list("told_state_age", (0..3).map(reported_age))
}

/// What a node knows of cancellations at this moment of its clock; `last_job` is the newest job.
pub fn cancellations(node: usize, now: Timestamp, leadership: &Leadership, last_job: u64) -> Line {
    let log = &leadership.cancellations;
    let jobs = last_job.saturating_sub(JOBS_ASKED)..=last_job;
    Line::new("cancellations")
        .with("node", node)
        .with("by_members", log.known_until_by_members())
        .with("by_state", log.known_until_by_store())
        .with("keeps_until", log.may_keep_alive_until())
        .with("blindly", log.has_confirmed_none_recently(now))
        .list("over", jobs.clone().filter(|number| log.is_terminated(JobId(*number))))
        .list("live", jobs.filter(|number| log.is_live(JobId(*number))))
}
