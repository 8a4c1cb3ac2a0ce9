//! Requests of a cold start: reads jobs that heartbeats name and the scheduler does not know, and writes the report.

use super::job_loading::stored_job;
use super::Controller;
use crate::limits;
use crate::protocol::state_service::Record;
use crate::scheduler::cold_start::{ColdStartReport, JobReading};
use crate::scheduler::model::JobId;
use crate::scheduler::Command;
use crate::storage::key_value_store::{write_change, VersionedValue};
use crate::storage::keys;

impl Controller {
    /// Reads one job for the scheduler.
    pub(super) fn read_job(&self, job_id: JobId) {
        let store = self.clients.store.clone();
        let sent_at = self.clock.now();
        self.spawn_scheduler_request(async move {
            let key = keys::live_job(job_id);
            let reading = match store.get(&key, limits::STORE_TIMEOUT).await {
                Ok(Some(VersionedValue { value, version })) => {
                    match stored_job(&Record { key, value, version }) {
                        Some(job) => JobReading::Live(Box::new(job)),
                        None => JobReading::Unreadable,
                    }
                }
                Ok(None) => JobReading::Absent,
                Err(_) => JobReading::Failed,
            };
            Command::JobRead { job_id, sent_at, reading }
        });
    }

    /// Stores the report, under the version that is known of it.
    pub(super) fn write_cold_start(&self, report: ColdStartReport) {
        let writer = self.record_writer();
        self.spawn_scheduler_request(async move {
            let changes = write_change(keys::COLD_START_REPORT, report).into_iter().collect();
            Command::ColdStartWritten(writer.write(changes).await)
        });
    }
}
