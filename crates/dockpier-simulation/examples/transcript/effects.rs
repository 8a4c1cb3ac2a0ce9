//! The scheduler's effects as lines: the kind and every field.

use crate::output::{Line, Transcript};
use crate::{drain_records, words};
use dockpier::lease::renewal::LeaseRenewal;
use dockpier::scheduler::cold_start::{ColdStartReport, Phase};
use dockpier::scheduler::{Effect, TaskCommand};

/// Writes an effect, and after it one line for each of its commands.
pub fn write(out: &mut Transcript, at: u64, effect: &Effect) {
    out.write(at, line(effect));
    if let Effect::HeartbeatResponse { task_commands: commands, .. }
    | Effect::DirectCommands { task_commands: commands, .. } = effect
    {
        write_commands(out, at, commands);
    }
}

/// Writes one line for each command.
pub fn write_commands(out: &mut Transcript, at: u64, commands: &[TaskCommand]) {
    commands.iter().for_each(|command| out.write(at, command_line(command)));
}

fn command_line(command: &TaskCommand) -> Line {
    let of = |kind, id, attempt: u64| Line::new(kind).with("task", words::task(id)).with("attempt", attempt);
    match command {
        TaskCommand::Start { id, attempt } => of("start", id, *attempt),
        TaskCommand::Stop { id, attempt, grace_s } => of("stop", id, *attempt).amount("grace_s", *grace_s),
        TaskCommand::Forget { id, attempt } => of("forget", id, *attempt),
    }
}

fn line(effect: &Effect) -> Line {
    match effect {
        Effect::HeartbeatResponse { response_id, renewal, task_commands, leaseholder_may_respond } => {
            response(*response_id, renewal.as_ref(), task_commands, *leaseholder_may_respond)
        }
        Effect::RequestRelay { node, machine } => {
            Line::new("wake").with("node", node).with("machine", machine)
        }
        Effect::DirectCommands { machine, address, agent_epoch, task_commands } => {
            direct(machine, address, *agent_epoch, task_commands)
        }
        Effect::WriteFinishedTasks { job_id, version, tasks, all_succeeded } => Line::new("commit-done")
            .with("job", job_id.0)
            .with("version", version)
            .list("tasks", tasks)
            .list("all_done", all_succeeded),
        Effect::WriteJobEnd { job_id, version, tasks, chunks } => Line::new("finish")
            .with("job", job_id.0)
            .with("version", version)
            .with("tasks", tasks)
            .list("chunks", chunks),
        Effect::WriteMachineRecord { key, machines } => {
            Line::new("record").with("key", key).list("machines", machines.iter().map(words::stored_machine))
        }
        Effect::Rent { request, name, machine_type, zone, spot, count } => Line::new("rent")
            .with("request", request)
            .optional("name", name.as_ref())
            .with("type", machine_type)
            .with("zone", zone)
            .with("spot", spot)
            .with("count", count),
        Effect::Delete(machines) => Line::new("delete").list("machines", machines),
        Effect::WriteDrain { key, value } => drain_records::line(key, value),
        Effect::ReadJob { job_id } => Line::new("read-job").with("job", job_id.0),
        Effect::WriteColdStart(report) => cold_start(report),
        Effect::Deposed(token) => Line::new("deposed").with("token", token),
    }
}

fn response(
    response_id: u64,
    renewal: Option<&LeaseRenewal>,
    task_commands: &[TaskCommand],
    leaseholder_may_respond: bool,
) -> Line {
    Line::new("answer")
        .with("reply", response_id)
        .with("renewal", words::renewal(renewal))
        .with("keep", leaseholder_may_respond)
        .with("orders", task_commands.len())
}

fn direct(machine: &str, address: &str, agent_epoch: u64, task_commands: &[TaskCommand]) -> Line {
    Line::new("direct")
        .with("machine", machine)
        .with("address", address)
        .with("session", agent_epoch)
        .with("orders", task_commands.len())
}

fn cold_start(report: &ColdStartReport) -> Line {
    let phase = match report.phase {
        Phase::Reconciling => "reconciling",
        Phase::Restarting => "restarting",
        Phase::Ended => "ended",
    };
    let (machines, verdicts) = (&report.machines, &report.verdicts);
    Line::new("cold-start")
        .with("phase", phase)
        .with("token", report.token)
        .with("began", report.began_ms)
        .with("updated", report.updated_ms)
        .optional("reconciled_after", report.reconciled_after_ms)
        .optional("ended_after", report.ended_after_ms)
        .with("heard", machines.heard)
        .with("gone", machines.gone)
        .with("unheard", machines.unheard)
        .with("running", verdicts.running)
        .with("finished_unrecorded", verdicts.finished_unrecorded)
        .with("missing", verdicts.missing)
        .with("twice", verdicts.twice)
        .with("already_finished", verdicts.already_finished)
        .with("unknown_job", verdicts.unknown_job)
        .with("cannot_know_yet", verdicts.cannot_know_yet)
        .with("orders", report.orders)
        .with("not_ordered", report.not_ordered)
        .with("waits_for", report.waits_for.replace(' ', "_"))
        .optional("until", report.until_ms)
        .list("unheard_machines", &report.unheard)
        .list("unknown_tasks", &report.unknown_tasks)
}
