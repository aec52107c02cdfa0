//! An upstream leaves while work runs there.
//!
//! `cargo run -p rampbay-demo --example drain`
//!
//! Expected output: every request is answered, and after the drain began no new request starts at
//! the upstream that leaves.

use std::time::Duration;

use rampbay_demo::site::{RunningSite, SiteError, SiteOptions};
use rampbay_load::run::{Plan, run};
use rampbay_standin::settings::Site;

#[tokio::main]
async fn main() -> Result<(), SiteError> {
    let options = SiteOptions::new(Site::verbund()).entries(2).upstreams(3);
    let site = RunningSite::start(options).await?;
    let plan = Plan {
        targets: site.callers(),
        workspaces: vec![("subjects".to_owned(), 1.0)],
        rate: 100.0,
        count: 300,
        work: Duration::from_millis(100),
        ..Plan::default()
    };
    let load = tokio::spawn(async move { run(&plan, |_| {}).await });
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let leaving = &site.upstreams[0];
    if let Some(side) = &leaving.side {
        side.begin_drain();
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = leaving.model.record().starts.len();
    if let Ok(report) = load.await {
        println!("outcomes: {:?}", report.outcomes);
    }
    let after = leaving.model.record().starts.len();
    println!(
        "started at the leaving upstream: {before} until 100 ms after the drain, {after} in all"
    );
    Ok(())
}
