//! Timeouts of the operators' client.

use std::time::Duration;

/// Time limit of one request to a node. The client then tries the next node.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two requests of the client.
pub const CLIENT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
