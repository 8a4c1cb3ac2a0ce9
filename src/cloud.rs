//! The client of the cloud. A read that fails is logged and gives `None`: its caller asks again later. A change gives
//! its outcome, since one that may have been carried out must be repeated under its name.

use crate::http::{Answer, CallError, Http};
use crate::limits;
use crate::protocol::cloud::{Catalog, MachineList, MachineNames, RentalRequest};
use crate::scheduler::model::MachineType;
use crate::scheduler::{ListedMachine, RequestOutcome};
use reqwest::Method;
use tracing::{debug, warn};

/// Client of the cloud's HTTP interface. Cheap to clone.
#[derive(Clone)]
pub struct Cloud {
    http: Http,
    base: String,
}

impl Cloud {
    /// A client for the cloud at this address.
    pub fn new(http: Http, address: std::net::SocketAddr) -> Self {
        Cloud { http, base: format!("http://{address}") }
    }

    async fn call(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> Result<Answer, CallError> {
        self.http.call(method, &format!("{}{path}", self.base), body, limits::CLOUD_TIMEOUT).await
    }

    async fn read<T: for<'a> serde::Deserialize<'a>>(&self, path: &str) -> Option<T> {
        match self.call(Method::GET, path, None).await {
            Ok(answer) if answer.status == 200 => serde_json::from_slice(&answer.body)
                .inspect_err(|error| warn!(path, %error, "malformed answer from the cloud"))
                .ok(),
            Ok(answer) => {
                debug!(path, status = answer.status, "cloud refuses");
                None
            }
            Err(error) => {
                debug!(path, %error, "cloud");
                None
            }
        }
    }

    /// The machine types on offer; `None` when the cloud refuses, does not answer or sends what cannot be read.
    pub async fn catalog(&self) -> Option<Catalog> {
        self.read("/catalog").await
    }

    /// One page of the machine list, and whether more follow.
    pub async fn page(&self, from: &str) -> Option<(Vec<ListedMachine>, bool)> {
        let from = if from.is_empty() { String::new() } else { format!("from={from}&") };
        let page: MachineList =
            self.read(&format!("/rentals?{from}limit={}", limits::MACHINE_LIST_PAGE_SIZE)).await?;
        let machines = page.machines.into_iter().map(ListedMachine::from).collect();
        Some((machines, page.has_more))
    }

    /// Rents machines; returns the outcome and the names of those rented. After an unknown outcome the same request name
    /// must be repeated.
    pub async fn rent(&self, rental: &RentalRequest<'_>) -> (RequestOutcome, Vec<String>) {
        let Ok(body) = serde_json::to_vec(rental) else { return (RequestOutcome::Refused, Vec::new()) };
        match self.call(Method::POST, "/rentals", Some(body)).await {
            Ok(answer) if answer.status == 200 => {
                match serde_json::from_slice::<MachineNames>(&answer.body) {
                    Ok(names) => (RequestOutcome::Done, names.machines),
                    // Machines were rented, and their names are to be asked for again.
                    Err(_) => (RequestOutcome::Unknown, Vec::new()),
                }
            }
            // Too many requests, or the cloud is unavailable: not carried out, and worth another try.
            Ok(answer) if answer.status == 429 || is_unavailable(&answer) => {
                (RequestOutcome::Unknown, Vec::new())
            }
            Ok(_) => (RequestOutcome::Refused, Vec::new()),
            Err(CallError::NotSent(_) | CallError::NoAnswer(_)) => (RequestOutcome::Unknown, Vec::new()),
        }
    }

    /// Deletes machines. The outcome `Done` proves that they and their tasks are gone.
    pub async fn delete(&self, names: &[String]) -> RequestOutcome {
        let Ok(body) = serde_json::to_vec(&MachineNames { machines: names.to_vec() }) else {
            return RequestOutcome::Refused;
        };
        match self.call(Method::POST, "/rentals/delete", Some(body)).await {
            Ok(answer) if answer.status == 200 => RequestOutcome::Done,
            Ok(_) => RequestOutcome::Refused,
            Err(CallError::NotSent(_) | CallError::NoAnswer(_)) => RequestOutcome::Unknown,
        }
    }
}

/// Whether the cloud can't serve requests now. It refuses with the same status, and this text, where it has no machines.
fn is_unavailable(answer: &Answer) -> bool {
    answer.status == 503 && !String::from_utf8_lossy(&answer.body).contains("no capacity")
}

/// The machine types of a catalog.
pub fn types(catalog: &Catalog) -> Vec<MachineType> {
    catalog.machine_types.iter().map(MachineType::from).collect()
}
