//! `dockpier drain start`: sends a drain and waits until the leader has judged it.

use super::render;
use crate::client::connection::Connection;
use crate::client::options::ClientOptions;
use crate::client::{ClientError, InvalidDeadline, LeadershipState};
use crate::drains::view::DrainView;
use crate::http::wall_ms;
use crate::limits;
use clap::Args;
use dockpier_drain::request::{DrainId, DrainRequest, Target};
use reqwest::Method;
use serde::Deserialize;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// A drain to be started.
#[derive(Debug, Args)]
pub struct StartOptions {
    /// Name of the drain; the same command again under its name does nothing twice
    #[arg(long)]
    id: String,
    /// A machine; may be given several times
    #[arg(long = "machine", value_name = "NAME", conflicts_with_all = ["machine_type", "all"])]
    machines: Vec<String>,
    /// Every machine of this type in a zone
    #[arg(long = "type", value_name = "TYPE", requires = "zone", conflicts_with = "all")]
    machine_type: Option<String>,
    /// The zone of the type
    #[arg(long, requires = "machine_type")]
    zone: Option<String>,
    /// Every machine
    #[arg(long)]
    all: bool,
    /// Share of the machines that may be under way at the same time
    #[arg(long)]
    share: Option<f64>,
    /// Why
    #[arg(long)]
    reason: String,
    /// When it should be done: `2026-12-24T06:00:00Z`, or `+2h` from now
    #[arg(long, value_name = "TIME")]
    deadline: Option<String>,
    /// Rent a machine like it for each before it is emptied
    #[arg(long)]
    replace: bool,
    /// How the controller is reached.
    #[command(flatten)]
    client: ClientOptions,
}

/// Starts a drain. The command is idempotent: the same one again under its name only shows the drain.
pub(super) async fn start(options: StartOptions) -> Result<String, ClientError> {
    let request = options.request()?;
    let body = serde_json::to_vec(&request).map_err(ClientError::Json)?;
    let connection = options.client.connect()?;
    let _accepted: DrainView = connection.ask(Method::POST, "/drains", Some(body)).await?;
    let patience = Duration::from_secs(options.client.patience);
    let view = wait_for_summary(&connection, &request.id, patience).await?;
    options.client.print(&view, render::drain)
}

/// Waits for the leader's first summary of a new drain, which tells if it can never finish.
///
/// # Errors
/// There is none within `patience`, or no node answers.
async fn wait_for_summary(
    connection: &Connection,
    id: &DrainId,
    patience: Duration,
) -> Result<DrainView, ClientError> {
    let started = Instant::now();
    loop {
        let view: DrainView = connection.ask(Method::GET, &format!("/drains/{id}"), None).await?;
        if view.summary.is_some() {
            return Ok(view);
        }
        if started.elapsed() >= patience {
            let leadership = leadership(connection).await?;
            return Err(ClientError::NotTakenUp { id: id.clone(), leadership });
        }
        tokio::time::sleep(limits::CLIENT_RETRY_INTERVAL).await;
    }
}

/// The part of the overview that names the leader.
#[derive(Deserialize)]
struct LeaderView {
    leader: Option<String>,
}

async fn leadership(connection: &Connection) -> Result<LeadershipState, ClientError> {
    let view: LeaderView = connection.ask(Method::GET, "/overview", None).await?;
    Ok(view.leader.map_or(LeadershipState::NoLeader, LeadershipState::Leader))
}

impl StartOptions {
    fn request(&self) -> Result<DrainRequest, ClientError> {
        let request = DrainRequest {
            id: DrainId::try_from(self.id.clone())?,
            target: self.target()?,
            share: self.share,
            reason: self.reason.clone(),
            deadline: self.deadline.as_deref().map(deadline).transpose()?,
            replace: self.replace,
        };
        request.check(wall_ms() as f64 / 1_000.0)?;
        Ok(request)
    }

    fn target(&self) -> Result<Target, ClientError> {
        match (&self.machine_type, &self.zone) {
            (Some(machine_type), Some(zone)) => {
                Ok(Target::Kind { machine_type: machine_type.clone(), zone: zone.clone() })
            }
            _ if self.all => Ok(Target::All {}),
            _ if !self.machines.is_empty() => Ok(Target::Machines(self.machines.clone())),
            _ => Err(ClientError::NoTarget),
        }
    }
}

/// A time of day, or one from now on, in seconds since 1970.
fn deadline(text: &str) -> Result<f64, InvalidDeadline> {
    if let Some(from_now) = text.strip_prefix('+') {
        let from_now = humantime::parse_duration(from_now)?;
        return Ok((wall_ms() / 1_000) as f64 + from_now.as_secs_f64());
    }
    let since_1970 = humantime::parse_rfc3339_weak(text)?.duration_since(UNIX_EPOCH)?;
    Ok(since_1970.as_secs_f64())
}
