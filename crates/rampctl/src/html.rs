//! The time line as a trace and as a page.

use std::{collections::BTreeMap, fmt::Write as _};

use rampbay_wire::event::Event;
use serde_json::{Value, json};

/// Returns the events in the trace-event format: a lane for each process, an instant for each
/// event, and a span for each job in each process.
#[must_use]
pub fn trace(events: &[Event]) -> Value {
    let lanes = lanes(events);
    let micros = |event: &Event| event.stamp.since_epoch().as_micros() as u64;
    let mut rows: Vec<Value> = lanes
        .iter()
        .map(|(name, lane)| {
            json!({"ph": "M", "name": "process_name", "pid": lane, "args": {"name": name}})
        })
        .collect();
    let mut spans: BTreeMap<(usize, &str), (u64, u64)> = BTreeMap::new();
    for event in events {
        let lane = lanes[&*event.process];
        let at = micros(event);
        rows.push(json!({
            "ph": "i", "s": "t", "pid": lane, "tid": 0, "ts": at,
            "name": format!("E{} {}", event.code as u16, event.code.text()),
            "args": {"job": event.job, "detail": event.detail},
        }));
        if let Some(job) = &event.job {
            let span = spans.entry((lane, &**job)).or_insert((at, at));
            span.1 = at;
        }
    }
    for ((lane, job), (start, end)) in spans {
        let row = json!({
            "ph": "X", "pid": lane, "tid": 1, "ts": start, "dur": (end - start).max(1), "name": job,
        });
        rows.push(row);
    }
    json!({"traceEvents": rows, "displayTimeUnit": "ms"})
}

fn lanes(events: &[Event]) -> BTreeMap<&str, usize> {
    let mut lanes = BTreeMap::new();
    for event in events {
        lanes.entry(&*event.process).or_insert(0);
    }
    for (at, lane) in lanes.values_mut().enumerate() {
        *lane = at;
    }
    lanes
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

// Sizes in the page's drawing, in pixels.
const LANE_HEIGHT: f64 = 46.0;
const WIDTH: f64 = 1_100.0;
const LEFT: f64 = 150.0;
const COLORS: [&str; 6] = ["#2b6cb0", "#2f855a", "#b7791f", "#9b2c2c", "#6b46c1", "#4a5568"];

/// Returns a self-contained page with a lane for each process, and the events as a list below.
#[must_use]
pub fn page(events: &[Event]) -> String {
    let lanes = lanes(events);
    let first = events.first().map(|event| event.stamp.since_epoch()).unwrap_or_default();
    let last = events.last().map(|event| event.stamp.since_epoch()).unwrap_or_default();
    let span = last.saturating_sub(first).as_secs_f64().max(1e-6);
    let height = LANE_HEIGHT * lanes.len() as f64 + 30.0;
    let mut svg = String::new();
    for (name, lane) in &lanes {
        let y = LANE_HEIGHT * *lane as f64 + 20.0;
        let _ = write!(
            svg,
            "<text x='4' y='{:.0}'>{}</text><line x1='{LEFT}' x2='{:.0}' y1='{y:.0}' y2='{y:.0}'/>",
            y + 4.0,
            escape(name),
            LEFT + WIDTH
        );
    }
    let mut list = String::new();
    for event in events {
        let at = event.stamp.since_epoch().saturating_sub(first).as_secs_f64();
        let x = LEFT + at / span * WIDTH;
        let y = LANE_HEIGHT * lanes[&*event.process] as f64 + 20.0;
        let number = event.code as u16;
        let color = COLORS[usize::from(number / 10) % COLORS.len()];
        let job = event.job.as_deref().unwrap_or("");
        let words = format!("E{number} {} {job} {}", event.code.text(), event.detail);
        let _ = write!(
            svg,
            "<circle cx='{x:.1}' cy='{y:.0}' r='5' fill='{color}'><title>{:.3} ms {}</title></circle>",
            at * 1_000.0,
            escape(&words)
        );
        let _ = write!(
            list,
            "<tr><td>{:.3}</td><td>{}</td><td>E{number}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            at * 1_000.0,
            escape(&event.process),
            event.code.text(),
            escape(job),
            escape(&event.detail)
        );
    }
    format!(
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>rampbay time line</title>\
         <style>body{{font:14px sans-serif;margin:1.5em}}svg{{background:#f7f7f7}}\
         line{{stroke:#bbb}}text{{font-size:12px}}td{{padding:2px 10px;border-top:1px solid #ddd}}\
         </style><h1>Time line</h1><p>{} events over {:.1} ms, one lane for each process. Point at \
         a dot to read it.</p><svg width='{:.0}' height='{height:.0}'>{svg}</svg>\
         <table><tr><th>ms</th><th>process</th><th>event</th><th></th><th>job</th><th>detail</th>\
         </tr>{list}</table></html>",
        events.len(),
        span * 1_000.0,
        LEFT + WIDTH + 20.0
    )
}
