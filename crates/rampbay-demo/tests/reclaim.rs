//! An urgent job reclaims its workspace's guarantee from borrowed gangs that another entry holds.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Method;
use rampbay_demo::site::{RunningSite, SiteOptions};
use rampbay_platform::http::{HttpAnswer, OnceClient};
use rampbay_standin::{faults::FaultSet, settings::Site, upstream::answer_for};
use rstest::rstest;

const WAIT: Duration = Duration::from_secs(30);
const MAX: usize = 1024 * 1024;

async fn submit(addr: SocketAddr, path: &str, head: &str, body: &'static str) -> HttpAnswer {
    let client = OnceClient::new(addr, 1);
    let headers = [("rampbay-job", head)];
    client.call(Method::POST, path, &headers, body.into(), WAIT, MAX).await.expect("an answer")
}

/// Fills every device with borrowed gangs through the first entry.
async fn full_fleet(checkpointable: bool) -> RunningSite {
    let options = SiteOptions::new(Site::stockline()).entries(2).upstreams(4);
    let site = RunningSite::start(options).await.expect("site starts");
    for at in 0..10 {
        let head = format!(
            r#"{{"id":"b{at}","workspace":"trials","class":"batch",
                "gang":{{"devices":8,"adjacency":"worker","checkpointable":{checkpointable}}}}}"#
        )
        .replace('\n', "");
        let answer =
            submit(site.callers()[0], "/v1/jobs?wait=false", &head, "work_ms=25000 x").await;
        assert_eq!(answer.status.as_u16(), 202);
    }
    while site.platform.workers.devices_running() < 80 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site
}

#[rstest]
#[case::stopped(false, false)]
#[case::checkpointed(true, false)]
#[case::worker_ignores_the_first_stops(false, true)]
#[tokio::test(flavor = "multi_thread")]
async fn urgent_on_a_full_fleet_starts_in_its_guarantee(
    #[case] checkpointable: bool,
    #[case] ignored: bool,
) {
    let site = full_fleet(checkpointable).await;
    if ignored {
        site.platform.workers.faults.set(FaultSet { ignore_stop: true, ..FaultSet::default() });
    }
    let asked = Instant::now();
    let head = r#"{"id":"now","workspace":"expiry","class":"urgent","repeatable":false,"gang":{"devices":8}}"#;
    let urgent = tokio::spawn(submit(site.callers()[1], "/v1/jobs", head, "work_ms=1 sweep"));
    if ignored {
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        site.platform.workers.faults.set(FaultSet::default());
    }
    let answer = urgent.await.expect("task ends");
    println!(
        "checkpointable {checkpointable}, stops ignored {ignored}: answered {} ms after it was asked",
        asked.elapsed().as_millis()
    );
    assert_eq!(answer.body, answer_for("expiry/now", b"work_ms=1 sweep"));
    let record = site.platform.workers.record();
    assert!(record.stopped >= 1, "no borrowed gang was stopped: {record:?}");
    assert_eq!(record.opened_in_part, 0);
    assert_eq!(site.starts()["expiry/now"], 1);
}
