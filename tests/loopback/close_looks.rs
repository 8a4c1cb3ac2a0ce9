//! Users ask at all nodes at once, and repeat the submission, right after a job was accepted, ended or confirmed as
//! cancelled: no node may answer something older, also while transactions lose their answers.

use crate::standins::Trouble;
use crate::{on_runtime, standins, start_nodes, submission, User};
use serde_json::Value;

/// How far a job has come by the state that a user was given; what comes later in the list is newer.
const PROGRESS: [&[&str]; 2] = [&["pending", "running"], &["done", "aborted"]];

fn progress(status: &Value) -> usize {
    let text = status.as_str().unwrap_or_default();
    PROGRESS.iter().position(|stage| stage.contains(&text)).unwrap_or_else(|| panic!("unknown {status}"))
}

/// Asks and repeats the submission at every node, all at the same time; a node that cannot tell yet counts as no answer.
async fn look(user: &User, id: &str, body: &str) -> Vec<Value> {
    let path = format!("/submissions/{id}");
    let at = |node: usize| {
        let path = &path;
        async move {
            let (asked, repeated) = tokio::join!(
                user.ask(node, "GET", path, String::new()),
                user.ask(node, "POST", "/submissions", body.to_string()),
            );
            [asked, repeated]
        }
    };
    let (a, b, c) = tokio::join!(at(0), at(1), at(2));
    let answers = [a, b, c].into_iter().flatten().flatten();
    let known = answers.filter(|(status, _)| *status < 500);
    known
        .map(|(status, answer)| {
            assert_eq!(status, 200, "{id} is known: {answer}");
            answer["status"].clone()
        })
        .collect()
}

/// Looks again and again; returns how many answers there were.
async fn look_closely(user: &User, id: &str, body: &str, seen: &Value, rounds: usize) -> usize {
    let mut answers = 0;
    for _ in 0..rounds {
        for status in look(user, id, body).await {
            assert!(progress(&status) >= progress(seen), "{id}: {status} after {seen}");
            if progress(seen) == 1 {
                assert_eq!(status, *seen, "{id} has one end");
            }
            answers += 1;
        }
    }
    answers
}

fn job_id(number: u64) -> String {
    format!("job-{number:06}")
}

#[test]
fn no_node_answers_with_an_older_state_than_any_node_before() {
    on_runtime(async {
        let (_state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_nodes("looks", state_at, cloud_at).await;
        tokio::spawn(standins::workers(cloud, public.clone()));
        let user = User::new(public);
        let mut answers = 0;
        for round in 0..8 {
            // Jobs from 900 on run until they are stopped.
            let id = job_id(if round % 2 == 0 { 100 + round } else { 900 + round });
            let body = submission(&id, "sweep", 1).to_string();
            let (_, answer) = user.insist("POST", "/submissions", &body).await;
            answers += look_closely(&user, &id, &body, &answer["status"], 3).await;
            let seen = match round % 2 {
                0 => {
                    user.wait_for(&id, "done").await;
                    Value::from("done")
                }
                _ => {
                    let (_, answer) = user.insist("POST", &format!("/submissions/{id}/withdraw"), "").await;
                    answer["status"].clone()
                }
            };
            answers += look_closely(&user, &id, &body, &seen, 3).await;
        }
        assert!(answers > 200, "only {answers} answers");
    });
}

/// A transaction is carried out at once and only its answer is lost, while other nodes read what it wrote.
#[test]
fn a_write_whose_answer_was_lost_is_reported_alike_by_every_node() {
    on_runtime(async {
        let (state, state_at) = standins::state_service().await;
        let (cloud, cloud_at) = standins::cloud().await;
        let (_nodes, public) = start_nodes("lost", state_at, cloud_at).await;
        let user = User::new(public);
        let first = submission("job-000001", "sweep", 1).to_string();
        assert_eq!(user.insist("POST", "/submissions", &first).await.0, 201);
        let lose = |prefix: &str| {
            state.lock().unwrap().trouble = Some((prefix.to_string(), Trouble::AnswerLost));
        };
        for round in 0..2 {
            let id = job_id(900 + round);
            let body = submission(&id, "sweep", 1).to_string();
            lose("live/");
            let (asked_at, path) = (round as usize % 3, format!("/submissions/{id}"));
            // One node is asked to accept it, and another one is looked at meanwhile.
            let accepted = user.ask(asked_at, "POST", "/submissions", body.clone());
            let elsewhere = async {
                loop {
                    let answer = user.ask((asked_at + 1) % 3, "GET", &path, String::new()).await;
                    if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
                        return answer;
                    }
                }
            };
            let (accepted, elsewhere) = tokio::join!(accepted, elsewhere);
            assert_eq!(elsewhere.unwrap().1["status"], "pending");
            assert!(accepted.is_none_or(|(status, _)| status == 200 || status == 503));
            assert!(look_closely(&user, &id, &body, &Value::from("pending"), 2).await > 0);
            lose("over/");
            let cancel = format!("{path}/withdraw");
            let (_, answer) = user.insist("POST", &cancel, "").await;
            assert_eq!(answer["status"], "aborted");
            assert!(look_closely(&user, &id, &body, &answer["status"], 2).await > 0);
            state.lock().unwrap().trouble = None;
        }
        drop(cloud);
        let overwritten = state.lock().unwrap().overwritten.clone();
        assert!(overwritten.is_empty(), "ended twice: {overwritten:?}");
    });
}
