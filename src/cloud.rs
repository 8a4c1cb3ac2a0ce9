//! The client of the cloud.

use crate::http::{Answer, CallError, Http};
use crate::limits;
use crate::protocol::cloud::{Catalog, MachineList, MachineNames, RentalRequest, FAILED};
use crate::scheduler::model::{MachineType, Resources};
use crate::scheduler::{ListedMachine, StoredMachine, WriteOutcome};
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
        let machines = page
            .machines
            .into_iter()
            .map(|entry| ListedMachine {
                failed: entry.status == FAILED,
                age_s: entry.age_s,
                machine: StoredMachine {
                    name: entry.name,
                    machine_type: entry.machine_type,
                    zone: entry.zone,
                    spot: entry.spot,
                    address: entry.address,
                    images: Default::default(),
                },
            })
            .collect();
        Some((machines, page.has_more))
    }

    /// Rents machines; returns the outcome and the names of those rented. After an unknown outcome the same request name must be repeated.
    pub async fn rent(&self, rental: &RentalRequest<'_>) -> (WriteOutcome, Vec<String>) {
        let Ok(body) = serde_json::to_vec(rental) else { return (WriteOutcome::Refused, Vec::new()) };
        match self.call(Method::POST, "/rentals", Some(body)).await {
            Ok(a) if a.status == 200 => match serde_json::from_slice::<MachineNames>(&a.body) {
                Ok(names) => (WriteOutcome::Done, names.machines),
                Err(_) => (WriteOutcome::Unknown, Vec::new()),
            },
            // Too many requests or trouble at the cloud: not carried out, worth another try.
            Ok(a) if a.status == 429 || is_trouble(&a) => (WriteOutcome::Unknown, Vec::new()),
            Ok(_) => (WriteOutcome::Refused, Vec::new()),
            Err(_) => (WriteOutcome::Unknown, Vec::new()),
        }
    }

    /// Deletes machines. The outcome `Done` proves that they and their tasks are gone.
    pub async fn delete(&self, names: &[String]) -> WriteOutcome {
        let Ok(body) = serde_json::to_vec(&MachineNames { machines: names.to_vec() }) else {
            return WriteOutcome::Refused;
        };
        match self.call(Method::POST, "/rentals/delete", Some(body)).await {
            Ok(a) if a.status == 200 => WriteOutcome::Done,
            Ok(_) => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Unknown,
        }
    }
}

fn is_trouble(answer: &Answer) -> bool {
    answer.status == 503 && !String::from_utf8_lossy(&answer.body).contains("no capacity")
}

/// The machine types of a catalog.
pub fn types(catalog: &Catalog) -> Vec<MachineType> {
    catalog
        .machine_types
        .iter()
        .map(|entry| MachineType {
            name: entry.name.clone(),
            capacity: Resources::offered(entry.cpus, entry.gpus, entry.memory_gb),
            price: entry.price,
            spot_price: entry.spot_price,
            boot_s: entry.boot_s,
            fetch_gb_per_s: entry.fetch_gb_per_s,
            zones: entry.zones.clone(),
        })
        .collect()
}
