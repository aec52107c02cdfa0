//! Schedules the requests of a load run, sends them and checks the answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Method;
use rampbay_core::job::{Class, GangSpec, JobSpec};
use rampbay_platform::http::{CallError, HttpAnswer, JOB_HEADER, OnceClient};
use rampbay_standin::upstream::{WORK_PREFIX, answer_for};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{sync::mpsc, task::JoinSet};

use crate::report::{Report, Times};

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entries, or upstreams if [`Plan::direct`] is set.
    pub targets: Vec<SocketAddr>,
    /// Send straight to upstreams, as a baseline for comparison.
    pub direct: bool,
    /// Requests a second.
    pub rate: f64,
    /// Requests in all.
    pub count: u64,
    /// Requests due later than this aren't sent.
    pub max_duration: Duration,
    /// Workspaces, each with its share of the requests.
    pub workspaces: Vec<(String, f64)>,
    /// Mean time of the work at the upstream.
    pub work: Duration,
    /// Whether the work's time is drawn from an exponential distribution.
    pub exponential: bool,
    /// Least size of each body, in bytes.
    pub body_bytes: usize,
    /// Share of requests that need a gang.
    pub gangs: f64,
    /// Sizes of the gangs, in devices; each gang takes one at random.
    pub gang_devices: Vec<u32>,
    /// Share of urgent requests.
    pub urgent: f64,
    /// Share of requests that aren't repeatable.
    pub once: f64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Prefix of each id, so that runs don't share ids.
    pub prefix: String,
    /// A caller's key.
    pub key: Option<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            direct: false,
            rate: 100.0,
            count: 1_000,
            max_duration: Duration::from_secs(60),
            workspaces: vec![("default".to_owned(), 1.0)],
            work: Duration::from_millis(20),
            exponential: false,
            body_bytes: 256,
            gangs: 0.0,
            gang_devices: vec![1, 2, 4, 8],
            urgent: 0.0,
            once: 0.0,
            deadline: Duration::from_secs(30),
            seed: 1,
            prefix: "load".to_owned(),
            key: None,
        }
    }
}

/// One request and the time at which it is due.
#[derive(Debug, Clone)]
struct ScheduledRequest {
    at: Duration,
    spec: JobSpec,
    body: Bytes,
    target: usize,
}

/// Unused connections kept to one target.
const MAX_IDLE: usize = 1_024;
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// How long after its deadline a request's answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(10);

fn schedule(plan: &Plan) -> Vec<ScheduledRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut at = 0.0_f64;
    (0..plan.count)
        .map(|number| {
            let gap: f64 = rng.random();
            at += -(1.0 - gap).ln() / plan.rate;
            request(plan, number, Duration::from_secs_f64(at), &mut rng)
        })
        .collect()
}

/// Returns the ids of the plan's requests that must run at most once, each as `workspace/id`.
#[must_use]
pub fn at_most_once_ids(plan: &Plan) -> Vec<String> {
    let once = schedule(plan).into_iter().filter(|scheduled| !scheduled.spec.repeatable);
    once.map(|scheduled| format!("{}/{}", scheduled.spec.workspace, scheduled.spec.id)).collect()
}

fn request(plan: &Plan, number: u64, at: Duration, rng: &mut ChaCha8Rng) -> ScheduledRequest {
    let total: f64 = plan.workspaces.iter().map(|(_, share)| share).sum();
    let mut pick = rng.random::<f64>() * total;
    let workspace = plan
        .workspaces
        .iter()
        .find(|(_, share)| {
            pick -= share;
            pick < 0.0
        })
        .or(plan.workspaces.last())
        .map_or("default", |(name, _)| name.as_str());
    let work = if plan.exponential {
        plan.work.mul_f64(-(1.0 - rng.random::<f64>()).ln())
    } else {
        plan.work
    };
    let mut body = format!("{WORK_PREFIX}{} {number} ", work.as_millis()).into_bytes();
    while body.len() < plan.body_bytes {
        body.push(b'a' + (rng.random::<u8>() % 26));
    }
    let id = format!("{}-{number}", plan.prefix);
    let mut spec = JobSpec::new(id, workspace).deadline(plan.deadline);
    if rng.random::<f64>() < plan.urgent {
        spec = spec.class(Class::Urgent);
    }
    if rng.random::<f64>() < plan.once {
        spec = spec.repeatable(false);
    }
    if rng.random::<f64>() < plan.gangs && !plan.gang_devices.is_empty() {
        let devices = plan.gang_devices[rng.random_range(0..plan.gang_devices.len())];
        spec = spec.gang(GangSpec::new(devices));
    }
    let target = rng.random_range(0..plan.targets.len().max(1));
    ScheduledRequest { at, spec, body: body.into(), target }
}

struct RequestEnd {
    group: String,
    id: String,
    outcome: String,
    is_correct: bool,
    took: Duration,
}

/// Sends the load and returns its results.
///
/// Calls `progress` after each request that ended, with the number of requests ended so far.
pub async fn run(plan: &Plan, progress: impl Fn(u64)) -> Report {
    let requests = schedule(plan);
    let clients: Arc<Vec<OnceClient>> =
        Arc::new(plan.targets.iter().map(|addr| OnceClient::new(*addr, MAX_IDLE)).collect());
    let (tx, mut rx) = mpsc::unbounded_channel();
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    let sender = {
        let (plan, clients) = (plan.clone(), clients.clone());
        async move {
            for scheduled in requests {
                if scheduled.at > plan.max_duration {
                    break;
                }
                tokio::time::sleep_until((start + scheduled.at).into()).await;
                let (plan, clients, tx) = (plan.clone(), clients.clone(), tx.clone());
                tasks.spawn(async move {
                    let ended = send(&plan, &clients[scheduled.target], &scheduled, start).await;
                    // Can't fail: the receiver is open until the last sender is dropped.
                    let _ = tx.send(ended);
                });
            }
            drop(tx);
            while tasks.join_next().await.is_some() {}
        }
    };
    let collector = async {
        let mut report = Report::default();
        let mut groups: std::collections::BTreeMap<String, Times> = Default::default();
        let mut all = Times::default();
        while let Some(ended) = rx.recv().await {
            report.sent += 1;
            progress(report.sent);
            count(&mut report, &ended);
            if ended.outcome.starts_with("answered") {
                groups.entry(ended.group).or_default().add(ended.took);
                all.add(ended.took);
            }
        }
        report.completion =
            groups.into_iter().map(|(name, times)| (name, times.quantiles())).collect();
        report.all = all.quantiles();
        let wall = start.elapsed();
        report.wall_ms = wall.as_secs_f64() * 1_000.0;
        report.answers_per_second = report.outcome("answered") as f64 / wall.as_secs_f64();
        report
    };
    tokio::join!(sender, collector).1
}

fn count(report: &mut Report, ended: &RequestEnd) {
    *report.outcomes.entry(ended.outcome.clone()).or_default() += 1;
    if ended.outcome.starts_with("answered") {
        report.answered.push(ended.id.clone());
        report.wrong_answers += u64::from(!ended.is_correct);
    }
    if ended.outcome.starts_with("not_run") {
        report.not_run.push(ended.id.clone());
    }
}

async fn send(
    plan: &Plan,
    client: &OnceClient,
    scheduled: &ScheduledRequest,
    start: Instant,
) -> RequestEnd {
    let spec = &scheduled.spec;
    let wait = plan.deadline + ANSWER_GRACE;
    let job = format!("{}/{}", spec.workspace, spec.id);
    let result = if plan.direct {
        let headers = [(JOB_HEADER, job.as_str())];
        client.call(Method::POST, "/work", &headers, scheduled.body.clone(), wait, MAX_ANSWER).await
    } else {
        let head = serde_json::to_string(spec).unwrap_or_default();
        let bearer = plan.key.as_ref().map(|key| format!("Bearer {key}"));
        let mut headers = vec![("rampbay-job", head.as_str())];
        headers.extend(bearer.as_deref().map(|bearer| ("authorization", bearer)));
        client
            .call(Method::POST, "/v1/jobs", &headers, scheduled.body.clone(), wait, MAX_ANSWER)
            .await
    };
    let took = start.elapsed().saturating_sub(scheduled.at);
    let (outcome, is_correct) = classify(plan.direct, &job, &scheduled.body, result);
    let class = serde_json::to_value(spec.class).ok();
    let class = class.as_ref().and_then(|class| class.as_str()).unwrap_or_default();
    RequestEnd { group: format!("{} {class}", spec.workspace), id: job, outcome, is_correct, took }
}

fn classify(
    direct: bool,
    job: &str,
    body: &[u8],
    result: Result<HttpAnswer, CallError>,
) -> (String, bool) {
    let answer = match result {
        Ok(answer) => answer,
        Err(e) => return (format!("no_answer {e}"), false),
    };
    let header = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
    let outcome = if direct {
        if answer.status.is_success() { "answered ok" } else { "failed" }.to_owned()
    } else {
        match (header("rampbay-outcome"), header("rampbay-reason")) {
            (Some(outcome), Some(reason)) => format!("{outcome} {reason}"),
            _ => format!("refused {}", answer.status.as_u16()),
        }
    };
    let is_correct = answer.body == answer_for(job, body);
    (outcome, is_correct)
}
