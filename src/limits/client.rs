//! The operators' client.

use std::time::Duration;

/// A node that does not answer the client within this is left for the next.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Between two questions of the client.
pub const CLIENT_RETRY_INTERVAL: Duration = Duration::from_millis(300);
