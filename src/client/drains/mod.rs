//! `dockpier drain …`: starts, shows and changes drains.

use super::connection::Connection;
use super::options::ClientOptions;
use super::{finish, render, ClientError};
use crate::drains::view::{Action, DrainList, DrainView, TeamList};
use crate::http::wall_ms;
use crate::limits;
use clap::{Args, Subcommand};
use dockpier_drain::request::{DrainId, DrainRequest, Target};
use reqwest::Method;
use serde::Deserialize;
use std::process::ExitCode;
use std::time::{Duration, Instant, UNIX_EPOCH};

/// What operators may do with drains.
#[derive(Debug, Subcommand)]
pub enum DrainCommand {
    /// Empty machines in steps and give them back
    Start(StartOptions),
    /// List all drains
    List {
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
    /// Show one drain with its machines
    Show {
        /// The drain
        id: String,
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
    /// Take no further step; what is cordoned stays so
    Pause {
        /// The drain
        id: String,
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
    /// Go on with a paused drain
    Resume {
        /// The drain
        id: String,
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
    /// End a drain and give cordoned machines back
    Cancel {
        /// The drain
        id: String,
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
    /// Show each team's budget and what is left of it
    Budgets {
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
}

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

/// Carries a command out and prints what there is to say.
pub fn run(command: DrainCommand) -> ExitCode {
    finish(carry_out(command))
}

async fn carry_out(command: DrainCommand) -> Result<String, ClientError> {
    match command {
        DrainCommand::Start(options) => start(options).await,
        DrainCommand::List { client } => {
            let list: DrainList = client.connect()?.ask(Method::GET, "/drains", None).await?;
            client.print(&list, render::list)
        }
        DrainCommand::Show { id, client } => {
            let view: DrainView = client.connect()?.ask(Method::GET, &path_of(&id)?, None).await?;
            client.print(&view, render::drain)
        }
        DrainCommand::Pause { id, client } => change(&id, Action::Pause, &client).await,
        DrainCommand::Resume { id, client } => change(&id, Action::Resume, &client).await,
        DrainCommand::Cancel { id, client } => change(&id, Action::Cancel, &client).await,
        DrainCommand::Budgets { client } => {
            let teams: TeamList = client.connect()?.ask(Method::GET, "/drain-budgets", None).await?;
            client.print(&teams, render::budgets)
        }
    }
}

fn drain_id(id: &str) -> Result<DrainId, ClientError> {
    DrainId::try_from(id.to_string()).map_err(|e| ClientError::BadInput(e.to_string()))
}

fn path_of(id: &str) -> Result<String, ClientError> {
    Ok(format!("/drains/{}", drain_id(id)?))
}

async fn change(id: &str, action: Action, client: &ClientOptions) -> Result<String, ClientError> {
    let path = format!("{}/{}", path_of(id)?, action.path());
    let view: DrainView = client.connect()?.ask(Method::POST, &path, None).await?;
    client.print(&view, render::drain)
}

async fn start(options: StartOptions) -> Result<String, ClientError> {
    let request = options.request()?;
    let body = serde_json::to_vec(&request).map_err(|e| ClientError::Failed(e.to_string()))?;
    let connection = options.client.connect()?;
    let _: DrainView = connection.ask(Method::POST, "/drains", Some(body)).await?;
    let view = taken_up(&connection, &request.id, Duration::from_secs(options.client.patience)).await?;
    options.client.print(&view, render::drain)
}

/// Waits for what the leader says of a new drain, so that one that can never finish says so at once.
async fn taken_up(
    connection: &Connection,
    id: &DrainId,
    patience: Duration,
) -> Result<DrainView, ClientError> {
    let begun = Instant::now();
    loop {
        let view: DrainView = connection.ask(Method::GET, &format!("/drains/{id}"), None).await?;
        if view.summary.is_some() {
            return Ok(view);
        }
        if begun.elapsed() >= patience {
            let why = match leader(connection).await? {
                Some(leader) => format!("{leader} leads and has not taken it up yet"),
                None => "no node leads".into(),
            };
            let text = format!("{id} is recorded, and will be carried out; so far {why}.");
            return Err(ClientError::Unavailable(text));
        }
        tokio::time::sleep(limits::CLIENT_RETRY_INTERVAL).await;
    }
}

/// What the overview tells of leadership.
#[derive(Deserialize)]
struct Leadership {
    leader: Option<String>,
}

async fn leader(connection: &Connection) -> Result<Option<String>, ClientError> {
    let view: Leadership = connection.ask(Method::GET, "/overview", None).await?;
    Ok(view.leader)
}

impl StartOptions {
    fn request(&self) -> Result<DrainRequest, ClientError> {
        let request = DrainRequest {
            id: drain_id(&self.id)?,
            target: self.target()?,
            share: self.share,
            reason: self.reason.clone(),
            deadline: self.deadline.as_deref().map(deadline).transpose()?,
            replace: self.replace,
        };
        let now = wall_ms() as f64 / 1_000.0;
        request.check(now).map_err(|e| ClientError::BadInput(e.to_string()))?;
        Ok(request)
    }

    fn target(&self) -> Result<Target, ClientError> {
        match (&self.machine_type, &self.zone) {
            (Some(machine_type), Some(zone)) => {
                Ok(Target::Kind { machine_type: machine_type.clone(), zone: zone.clone() })
            }
            _ if self.all => Ok(Target::All {}),
            _ if !self.machines.is_empty() => Ok(Target::Machines(self.machines.clone())),
            _ => {
                Err(ClientError::BadInput("one of --machine, --type with --zone, or --all is needed".into()))
            }
        }
    }
}

/// A time of day, or one from now on, in seconds of the time of day.
fn deadline(text: &str) -> Result<f64, ClientError> {
    let wrong = |why: String| ClientError::BadInput(format!("deadline: {why}"));
    if let Some(from_now) = text.strip_prefix('+') {
        let from_now = humantime::parse_duration(from_now).map_err(|e| wrong(e.to_string()))?;
        return Ok((wall_ms() / 1_000) as f64 + from_now.as_secs_f64());
    }
    let at = humantime::parse_rfc3339_weak(text).map_err(|e| wrong(e.to_string()))?;
    let since = at.duration_since(UNIX_EPOCH).map_err(|e| wrong(e.to_string()))?;
    Ok(since.as_secs_f64())
}
