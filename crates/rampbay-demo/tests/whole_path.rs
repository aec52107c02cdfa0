//! Requests through a whole site on loopback, with real entries and side processes.

use std::time::Duration;

use rampbay_demo::site::{RunningSite, SiteOptions};
use rampbay_load::run::{Plan, run};
use rampbay_standin::settings::Site;

fn plan(site: &RunningSite) -> Plan {
    Plan {
        targets: site.callers(),
        rate: 200.0,
        count: 200,
        workspaces: site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect(),
        work: Duration::from_millis(5),
        gangs: 0.3,
        gang_devices: vec![1, 2, 4],
        once: 0.2,
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn site_serves_every_request_whole() {
    let options = SiteOptions::new(Site::stockline()).entries(2).upstreams(3);
    let site = RunningSite::start(options).await.expect("site starts");
    let report = run(&plan(&site), |_| {}).await;
    assert_eq!(report.outcome("answered"), 200, "{:?}", report.outcomes);
    assert_eq!(report.wrong_answers, 0);
    let starts = site.starts();
    assert!(report.answered.iter().all(|id| starts.get(id) == Some(&1)));
    let workers = site.platform.workers.record();
    assert_eq!(workers.opened_in_part, 0);
    assert!(workers.opened > 0, "gangs were started");
}
