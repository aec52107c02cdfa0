//! The callers' interface over HTTP: bad input, keys, answers fetched later, cancel, drain.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use rampbay_demo::site::{RunningSite, SiteOptions};
use rampbay_entry::{
    callers::{ErrorBody, StatusBody},
    entry::Entry,
    settings::{EntrySettings, KeySettings},
};
use rampbay_platform::http::{HttpAnswer, OnceClient};
use rampbay_standin::{settings::Site, upstream::answer_for};
use rstest::rstest;

const WAIT: Duration = Duration::from_secs(20);
const MAX: usize = 64 * 1024 * 1024;

async fn site() -> RunningSite {
    let options = SiteOptions::new(Site::stockline()).entries(1).upstreams(1);
    RunningSite::start(options).await.expect("site starts")
}

async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> HttpAnswer {
    let client = OnceClient::new(addr, 1);
    client.call(method, path, headers, body.into(), WAIT, MAX).await.expect("an answer")
}

async fn submit(addr: SocketAddr, head: &str, body: &'static str) -> HttpAnswer {
    call(addr, Method::POST, "/v1/jobs", &[("rampbay-job", head)], body).await
}

fn header<'a>(answer: &'a HttpAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name).and_then(|value| value.to_str().ok())
}

#[rstest]
#[case::no_head("", 400, "rampbay-job")]
#[case::broken_json("{", 400, "rampbay-job")]
#[case::unknown_field(r#"{"id":"a","workspace":"trials","wish":1}"#, 400, "rampbay-job")]
#[case::no_id(r#"{"id":"","workspace":"trials"}"#, 400, "id")]
#[case::slash_in_id(r#"{"id":"a/b","workspace":"trials"}"#, 400, "id")]
#[case::unknown_workspace(r#"{"id":"a","workspace":"nowhere"}"#, 400, "workspace")]
#[case::zero_deadline(r#"{"id":"a","workspace":"trials","deadline_ms":0}"#, 400, "deadline_ms")]
#[case::zero_devices(
    r#"{"id":"a","workspace":"trials","gang":{"devices":0}}"#,
    400,
    "gang.devices"
)]
#[case::too_large_gang(
    r#"{"id":"a","workspace":"trials","gang":{"devices":25}}"#,
    400,
    "gang.devices"
)]
#[case::minimum_above_size(
    r#"{"id":"a","workspace":"trials","gang":{"devices":4,"min_devices":5}}"#,
    400,
    "gang.min_devices"
)]
#[tokio::test(flavor = "multi_thread")]
async fn submit_bad_input_names_the_field(
    #[case] head: &str,
    #[case] status: u16,
    #[case] field: &str,
) {
    let site = site().await;
    let addr = site.callers()[0];
    let headers: Vec<(&str, &str)> =
        if head.is_empty() { Vec::new() } else { vec![("rampbay-job", head)] };
    let answer = call(addr, Method::POST, "/v1/jobs", &headers, "x").await;
    assert_eq!(answer.status.as_u16(), status);
    let body: ErrorBody = serde_json::from_slice(&answer.body).expect("an error's body");
    assert_eq!(body.field, field, "{}", body.error);
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_too_large_body_is_refused_before_it_is_read() {
    let site = site().await;
    let head = r#"{"id":"a","workspace":"trials"}"#;
    let body = vec![b'x'; 5 * 1024 * 1024];
    let addr = site.callers()[0];
    let client = OnceClient::new(addr, 1);
    let headers = [("rampbay-job", head)];
    let answer = client.call(Method::POST, "/v1/jobs", &headers, body.into(), WAIT, MAX).await;
    // The server may close before the whole body is sent; either way nothing ran.
    if let Ok(answer) = answer {
        assert_eq!(answer.status.as_u16(), 413);
    }
    assert!(site.starts().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_same_request_twice_runs_once() {
    let site = site().await;
    let addr = site.callers()[0];
    let head = r#"{"id":"twice","workspace":"trials","repeatable":false}"#;
    let (first, second) =
        tokio::join!(submit(addr, head, "work_ms=200 x"), submit(addr, head, "work_ms=200 x"));
    let whole = answer_for("trials/twice", b"work_ms=200 x");
    assert_eq!((first.body, second.body), (whole.clone(), whole));
    assert_eq!(site.starts()["trials/twice"], 1);
    let other = submit(addr, head, "work_ms=200 other").await;
    assert_eq!(other.status.as_u16(), 409, "another request can't take the id");
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_without_waiting_answer_is_fetched_later() {
    let site = site().await;
    let addr = site.callers()[0];
    let headers = [("rampbay-job", r#"{"id":"later","workspace":"trials"}"#)];
    let answer = call(addr, Method::POST, "/v1/jobs?wait=false", &headers, "work_ms=50 x").await;
    assert_eq!(answer.status.as_u16(), 202);
    let status: StatusBody = serde_json::from_slice(&answer.body).expect("a status");
    assert_eq!(status.kept_by, "entry-0");
    let fetched = call(addr, Method::GET, "/v1/jobs/trials/later/answer", &[], "").await;
    assert_eq!(fetched.body, answer_for("trials/later", b"work_ms=50 x"));
    assert_eq!(header(&fetched, "rampbay-outcome"), Some("answered"));
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_waiting_gang_is_not_run() {
    let site = site().await;
    let addr = site.callers()[0];
    for at in 0..4 {
        let head = format!(r#"{{"id":"g{at}","workspace":"forecasts","gang":{{"devices":24}}}}"#);
        let headers = [("rampbay-job", head.as_str())];
        call(addr, Method::POST, "/v1/jobs?wait=false", &headers, "work_ms=60000 x").await;
    }
    let mut waiting = None;
    for round in 0..400 {
        let path = format!("/v1/jobs/forecasts/g{}", round % 4);
        let asked = call(addr, Method::GET, &path, &[], "").await;
        let status: StatusBody = serde_json::from_slice(&asked.body).expect("a status");
        if status.reason == "no_room" {
            waiting = Some(path);
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let path = waiting.expect("80 devices in racks of 24 hold three such gangs");
    call(addr, Method::DELETE, &path, &[], "").await;
    let fetched = call(addr, Method::GET, &format!("{path}/answer"), &[], "").await;
    assert_eq!(header(&fetched, "rampbay-outcome"), Some("not_run"));
    assert_eq!(header(&fetched, "rampbay-reason"), Some("cancelled"));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_workspace_key_covers_its_own_requests_only() {
    let site = site().await;
    let key = |key: &str, workspace: Option<&str>| KeySettings {
        key: key.to_owned(),
        workspace: workspace.map(Into::into),
    };
    let settings = EntrySettings::new("entry-k", "kwadaso-hall", site.platform_addr).keys(vec![
        key("trials-secret-0001", Some("trials")),
        key("forecasts-secret-1", Some("forecasts")),
        key("operators-secret-1", None),
    ]);
    let entry = Entry::start(settings).await.expect("entry starts");
    let addr = entry.callers();
    // Waits until the entry has the table and has received the load of the side process.
    loop {
        let has_upstream = entry.parts().dispatching.view().await.iter().any(|row| row.slots > 0);
        if has_upstream && entry.parts().shared.table().version() > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let own = ("authorization", "Bearer trials-secret-0001");
    let other = ("authorization", "Bearer forecasts-secret-1");
    let head = ("rampbay-job", r#"{"id":"mine","workspace":"trials"}"#);
    let answer = call(addr, Method::POST, "/v1/jobs", &[own, head], "x").await;
    assert_eq!(answer.status.as_u16(), 200);
    let path = "/v1/jobs/trials/mine";
    for (headers, status) in [(vec![], 401), (vec![other], 403), (vec![own], 200)] {
        let answer = call(addr, Method::GET, path, &headers, "").await;
        assert_eq!(answer.status.as_u16(), status);
    }
    let cancel = call(addr, Method::DELETE, path, &[other], "").await;
    assert_eq!(cancel.status.as_u16(), 403);
    let submitted = call(addr, Method::POST, "/v1/jobs", &[other, head], "x").await;
    assert_eq!(submitted.status.as_u16(), 403);
    let table = call(entry.operators(), Method::GET, "/v1/table", &[own], "").await;
    assert_eq!(table.status.as_u16(), 401, "a caller is no operator");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_entry_ends_after_its_last_answer() {
    let mut site = site().await;
    let addr = site.callers()[0];
    let head = r#"{"id":"slow","workspace":"trials"}"#;
    let slow = tokio::spawn(submit(addr, head, "work_ms=700 x"));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let entry = site.entries[0].take().expect("entry runs");
    entry.parts().begin_drain();
    let refused = submit(addr, r#"{"id":"new","workspace":"trials"}"#, "x").await;
    assert_eq!(header(&refused, "rampbay-reason"), Some("stopping"));
    entry.drain(WAIT).await;
    let answer = slow.await.expect("task ends");
    assert_eq!(answer.body, answer_for("trials/slow", b"work_ms=700 x"));
    assert!(!site.starts().contains_key("trials/new"));
}
