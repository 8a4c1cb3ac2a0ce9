//! Dealings with workers: check-ins read into reports, orders written as signals.

use crate::core::model::{Report, ReportedTask, TaskId};
use crate::core::Order;
use crate::http::Http;
use crate::limits;
use crate::wire::{Checkin, Orders, Signal};
use reqwest::Method;
use tracing::{debug, warn};

/// None when a report cannot be taken as a whole: a task list with an unreadable entry would seem to
/// prove that a task is gone.
pub fn report(checkin: Checkin) -> Option<Report> {
    let mut tasks = Vec::with_capacity(checkin.loads.len());
    for task in &checkin.loads {
        let Some(id) = task.id() else {
            warn!(machine = checkin.vessel, task = task.load, "unreadable task in a report: dropped");
            return None;
        };
        tasks.push(ReportedTask { id, attempt: task.launch, status: task.status() });
    }
    Some(Report {
        machine: checkin.vessel,
        address: checkin.address,
        machine_type: checkin.hull,
        zone: checkin.quay,
        spot: checkin.driftwood,
        session: checkin.watch,
        seq: checkin.tally,
        token: checkin.helm,
        notice_s: checkin.recall_s.filter(|s| s.is_finite() && *s >= 0.0),
        tasks,
    })
}

pub fn signal(order: &Order) -> Signal {
    let load = |id: &TaskId| id.to_string();
    match order {
        Order::Start { id, attempt } => Signal::Run { load: load(id), launch: *attempt },
        Order::Stop { id, attempt, grace_s } => {
            Signal::Stop { load: load(id), launch: *attempt, mooring_s: *grace_s }
        }
        Order::Forget { id, attempt } => Signal::Reap { load: load(id), launch: *attempt },
    }
}

/// Direct commands; the worker's report after them, if it answers. Only stops go this way: a held
/// start could be carried out minutes late.
pub async fn direct(http: &Http, address: &str, orders: &Orders) -> Option<Report> {
    let address: std::net::SocketAddr = address.parse().ok()?;
    let body = serde_json::to_vec(orders).ok()?;
    let url = format!("http://{address}/orders");
    match http.call(Method::POST, &url, Some(body), limits::ORDERS_TIMEOUT).await {
        Ok(answer) if answer.status == 200 => match serde_json::from_slice(&answer.body) {
            Ok(checkin) => report(checkin),
            Err(error) => {
                warn!(%address, %error, "malformed answer from a worker");
                None
            }
        },
        Ok(answer) => {
            debug!(%address, status = answer.status, "worker refuses orders");
            None
        }
        Err(error) => {
            debug!(%address, %error, "worker");
            None
        }
    }
}
