//! `dockpier drain …`: one function a command; `start` has the command that starts a drain, `render` the output for
//! people.

mod render;
mod start;

use super::options::ClientOptions;
use super::{finish, ClientError};
use crate::drains::view::{Action, DrainList, DrainView, TeamList};
use clap::{Args, Subcommand};
use dockpier_drain::request::DrainId;
use reqwest::Method;
use start::{start, StartOptions};
use std::process::ExitCode;

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
    Show(OneDrain),
    /// Take no further step; what is cordoned stays so
    Pause(OneDrain),
    /// Go on with a paused drain
    Resume(OneDrain),
    /// End a drain and give cordoned machines back
    Cancel(OneDrain),
    /// Show each team's budget and what is left of it
    Budgets {
        /// How the controller is reached.
        #[command(flatten)]
        client: ClientOptions,
    },
}

/// A drain that exists.
#[derive(Debug, Args)]
pub struct OneDrain {
    /// The drain
    id: String,
    /// How the controller is reached.
    #[command(flatten)]
    client: ClientOptions,
}

/// Carries a command out and prints its outcome.
pub fn run(command: DrainCommand) -> ExitCode {
    finish(carry_out(command))
}

async fn carry_out(command: DrainCommand) -> Result<String, ClientError> {
    match command {
        DrainCommand::Start(options) => start(options).await,
        DrainCommand::List { client } => list(&client).await,
        DrainCommand::Show(drain) => show(&drain).await,
        DrainCommand::Pause(drain) => change(&drain, Action::Pause).await,
        DrainCommand::Resume(drain) => change(&drain, Action::Resume).await,
        DrainCommand::Cancel(drain) => change(&drain, Action::Cancel).await,
        DrainCommand::Budgets { client } => budgets(&client).await,
    }
}

async fn list(client: &ClientOptions) -> Result<String, ClientError> {
    let drains: DrainList = client.connect()?.ask(Method::GET, "/drains", None).await?;
    client.print(&drains, render::list)
}

async fn show(drain: &OneDrain) -> Result<String, ClientError> {
    let view: DrainView = drain.client.connect()?.ask(Method::GET, &drain.path()?, None).await?;
    drain.client.print(&view, render::drain)
}

async fn change(drain: &OneDrain, action: Action) -> Result<String, ClientError> {
    let path = format!("{}/{}", drain.path()?, action.path());
    let view: DrainView = drain.client.connect()?.ask(Method::POST, &path, None).await?;
    drain.client.print(&view, render::drain)
}

async fn budgets(client: &ClientOptions) -> Result<String, ClientError> {
    let teams: TeamList = client.connect()?.ask(Method::GET, "/drain-budgets", None).await?;
    client.print(&teams, render::budgets)
}

impl OneDrain {
    /// The path of the drain on a node. The name is checked first, so that it needs no escaping.
    fn path(&self) -> Result<String, ClientError> {
        let id = DrainId::try_from(self.id.clone())?;
        Ok(format!("/drains/{id}"))
    }
}
