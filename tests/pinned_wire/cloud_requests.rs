//! What the cloud is asked, and what is made of its answers.

use crate::transcript::{object, with, without, Fields, Transcript};
use crate::wire::{nobody, StandIn};
use crate::{on_runtime, spell};
use dockpier::cloud::{types, Cloud};
use dockpier::http::Http;
use dockpier::protocol::cloud::{Catalog, RentalRequest};
use dockpier::scheduler::ListedMachine;

const TYPE: &Fields = &[
    ("label", r#""g8""#),
    ("cores", "96"),
    ("gpus", "8"),
    ("memory_gb", "768"),
    ("cache_gb", "200"),
    ("pull_gb_per_s", "1.0"),
    ("hourly", "12.0"),
    ("spot_price", "4.5"),
    ("boot_s", "45"),
    ("quays", r#"["a","b"]"#),
];

const MACHINE: &Fields = &[
    ("uid", r#""m-000231""#),
    ("address", r#""10.1.0.232:9000""#),
    ("hull", r#""g8""#),
    ("quay", r#""a""#),
    ("driftwood", "true"),
    ("status", r#""running""#),
    ("age_s", "61.5"),
];

fn client(cloud: &StandIn) -> Cloud {
    Cloud::new(Http::new().unwrap(), cloud.address)
}

fn catalog_of(entry: &str) -> String {
    format!(r#"{{"hulls":[{entry}],"later":1}}"#)
}

fn list_of(entry: &str) -> String {
    format!(r#"{{"vessels":[{entry}],"has_next":true,"later":1}}"#)
}

/// The types as they are read, and the catalog as it is written again for the state service.
fn catalog_text(catalog: Option<Catalog>) -> String {
    let Some(catalog) = catalog else { return "nothing".into() };
    let mut lines: Vec<String> = types(&catalog).iter().map(spell::machine_type).collect();
    lines.push(serde_json::to_string(&catalog).unwrap());
    lines.join("\n")
}

fn page_text(page: Option<(Vec<ListedMachine>, bool)>) -> String {
    let Some((machines, more)) = page else { return "nothing".into() };
    let mut lines: Vec<String> = machines.iter().map(spell::listed_machine).collect();
    lines.push(format!("more: {more}"));
    lines.join("\n")
}

#[test]
fn the_catalog_is_asked_for_and_read_as_ever() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let mut answers = vec![
            ("the protocol's page".to_string(), 200, catalog_of(&object(TYPE))),
            ("no types".into(), 200, r#"{"hulls":[]}"#.into()),
            ("no object".into(), 200, "[]".into()),
            ("too many requests".into(), 429, catalog_of(&object(TYPE))),
            ("trouble".into(), 503, r#"{"error":"trouble"}"#.into()),
        ];
        for (field, _) in TYPE {
            answers.push((format!("{field} left out"), 200, catalog_of(&without(TYPE, field))));
            for value in ["null", "7.0009", r#""x""#] {
                let entry = with(TYPE, field, value);
                answers.push((format!("{field}: {value}"), 200, catalog_of(&entry)));
            }
        }
        for (title, status, body) in answers {
            let cloud = StandIn::answering(status, &body).await;
            let read = client(&cloud).catalog().await;
            if transcript_begins(&title) {
                transcript.case("asked", cloud.asked_text());
            }
            transcript.case(format!("{title}, {status}"), catalog_text(read));
        }
        transcript.must_equal(include_str!("../golden/wire-cloud-catalog.txt"));
    });
}

/// Requests that do not depend on the answer are shown once.
fn transcript_begins(title: &str) -> bool {
    title == "the protocol's page"
}

#[test]
fn the_list_of_machines_is_asked_for_and_read_as_ever() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let mut answers = vec![
            ("the protocol's page".to_string(), 200, list_of(&object(MACHINE))),
            ("the last page".into(), 200, r#"{"vessels":[]}"#.into()),
            ("too many requests".into(), 429, list_of(&object(MACHINE))),
            ("trouble".into(), 503, r#"{"error":"trouble"}"#.into()),
        ];
        for status in [r#""booting""#, r#""failed""#, r#""later""#] {
            let entry = with(MACHINE, "status", status);
            answers.push((format!("status: {status}"), 200, list_of(&entry)));
        }
        for (field, _) in MACHINE {
            answers.push((format!("{field} left out"), 200, list_of(&without(MACHINE, field))));
            for value in ["null", "7.5", r#""x""#] {
                let entry = with(MACHINE, field, value);
                answers.push((format!("{field}: {value}"), 200, list_of(&entry)));
            }
        }
        for (title, status, body) in answers {
            let cloud = StandIn::answering(status, &body).await;
            let read = client(&cloud).page("").await;
            if transcript_begins(&title) {
                transcript.case("asked from the beginning", cloud.asked_text());
                client(&cloud).page("m-000230").await;
                transcript.case("asked from a machine", cloud.asked_text());
            }
            transcript.case(format!("{title}, {status}"), page_text(read));
        }
        transcript.must_equal(include_str!("../golden/wire-cloud-list.txt"));
    });
}

const RENTAL: RentalRequest<'_> =
    RentalRequest { request_id: "r-17", machine_type: "g8", zone: "a", spot: true, count: 12 };

/// Answers to rentals and deletions.
const ANSWERS: &[(u16, &str)] = &[
    (200, r#"{"vessels":["m-000231","m-000232"]}"#),
    (200, r#"{"vessels":[]}"#),
    (200, "{}"),
    (200, "nonsense"),
    (400, r#"{"error":"malformed"}"#),
    (429, r#"{"error":"too many"}"#),
    (503, r#"{"error":"no capacity"}"#),
    (503, r#"{"error":"trouble"}"#),
    (500, "(empty)"),
];

#[test]
fn rentals_and_deletions_go_out_with_the_same_bytes() {
    on_runtime(async {
        let mut transcript = Transcript::default();
        let cloud = StandIn::answering(200, ANSWERS[0].1).await;
        client(&cloud).rent(&RENTAL).await;
        transcript.case("rental", cloud.asked_text());
        client(&cloud).rent(&RentalRequest { spot: false, count: 50, ..RENTAL }).await;
        transcript.case("rental of ordinary machines", cloud.asked_text());
        client(&cloud).delete(&["m-000231".into(), "m-000232".into()]).await;
        transcript.case("deletion", cloud.asked_text());
        for (status, body) in ANSWERS {
            let cloud = StandIn::answering(*status, body).await;
            let (outcome, names) = client(&cloud).rent(&RENTAL).await;
            let outcome = spell::cloud_outcome(outcome);
            transcript.case(format!("rental answered {status} {body}"), format!("{outcome} {names:?}"));
            let outcome = client(&cloud).delete(&["m-000231".into()]).await;
            transcript.case(format!("deletion answered {status} {body}"), spell::cloud_outcome(outcome));
        }
        let gone = Cloud::new(Http::new().unwrap(), nobody());
        let (outcome, names) = gone.rent(&RENTAL).await;
        transcript.case("rental, nobody there", format!("{} {names:?}", spell::cloud_outcome(outcome)));
        let outcome = gone.delete(&["m-000231".into()]).await;
        transcript.case("deletion, nobody there", spell::cloud_outcome(outcome));
        transcript.case("catalog, nobody there", catalog_text(gone.catalog().await));
        transcript.case("list, nobody there", page_text(gone.page("").await));
        transcript.must_equal(include_str!("../golden/wire-cloud-rentals.txt"));
    });
}
