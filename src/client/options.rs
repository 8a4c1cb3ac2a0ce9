//! The options of every command: the nodes to ask, and the form of the output.

use super::connection::Connection;
use super::ClientError;
use clap::Args;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the client asks, and how it answers.
#[derive(Debug, Args)]
pub struct ClientOptions {
    /// Address of a node (`host:port`); may be given several times
    #[arg(long = "node", value_name = "ADDRESS", required = true, global = false)]
    nodes: Vec<SocketAddr>,
    /// Print JSON for scripts
    #[arg(long)]
    json: bool,
    /// Give up after so many seconds
    #[arg(long, value_name = "SECONDS", default_value_t = 15)]
    pub(super) patience: u64,
}

impl ClientOptions {
    /// A connection to the nodes of the options.
    pub(super) fn connect(&self) -> Result<Connection, ClientError> {
        Connection::new(self.nodes.clone(), Duration::from_secs(self.patience))
    }

    /// The output for a value: JSON for scripts, otherwise `text`.
    pub(super) fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl Fn(&T) -> String,
    ) -> Result<String, ClientError> {
        if !self.json {
            return Ok(text(value));
        }
        let json = serde_json::to_string_pretty(value).map_err(ClientError::Json)?;
        Ok(json + "\n")
    }
}
