//! Checks that the documents match the code.

use std::collections::BTreeSet;

use rampbay_entry::{callers::ROUTES, settings::EntrySettings};
use rampbay_node::settings::parse;
use rampbay_side::settings::SideSettings;
use rampbay_wire::event::Code;
use rstest::rstest;
use serde_json::Value;

fn doc(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/");
    std::fs::read_to_string(format!("{root}{path}")).expect("the document is there")
}

#[test]
fn openapi_has_every_route_and_no_other() {
    let openapi: Value = serde_json::from_str(&doc("openapi.json")).expect("JSON");
    let paths = openapi["paths"].as_object().expect("paths");
    let documented: BTreeSet<(String, String)> = paths
        .iter()
        .flat_map(|(path, methods)| {
            let methods = methods.as_object().expect("methods");
            methods.keys().map(|method| (path.clone(), method.clone()))
        })
        .collect();
    let routes: BTreeSet<(String, String)> = ROUTES
        .iter()
        .flat_map(|(path, methods)| methods.iter().map(|m| ((*path).into(), (*m).into())))
        .collect();
    assert_eq!(documented, routes);
}

#[test]
fn events_page_lists_every_event_and_no_other() {
    let page = doc("EVENTS.md");
    let listed: BTreeSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| E"))
        .map(|line| line.split('|').take(2).map(str::trim).collect::<Vec<_>>().join(" "))
        .collect();
    let known: BTreeSet<String> =
        Code::ALL.iter().map(|code| format!("{} {}", *code as u16, code.text())).collect();
    assert_eq!(listed, known);
}

#[test]
fn knobs_page_lists_every_column() {
    let page = doc("KNOBS.md");
    for column in rampbay_core::knobs::COLUMNS {
        assert!(page.contains(&format!("| `{column}` |")), "{column}");
    }
}

#[rstest]
#[case("examples/entry-stockline.json")]
#[case("examples/entry-verbund.json")]
fn parse_entry_example_is_good(#[case] path: &str) {
    parse::<EntrySettings>(&doc(path)).expect("good settings");
}

#[rstest]
#[case("examples/side-stockline.json")]
#[case("examples/side-verbund.json")]
fn parse_side_example_is_good(#[case] path: &str) {
    parse::<SideSettings>(&doc(path)).expect("good settings");
}

#[test]
fn parse_bad_settings_reports_every_fault_at_once() {
    let text = r#"{"id": "", "failure_domain": "a", "platform": "127.0.0.1:1",
        "limits": {"body_bytes": 0}, "times": {"lease_ms": 5}, "keys": [{"key": "short"}]}"#;
    let error = parse::<EntrySettings>(text).expect_err("faults").to_string();
    let expected = "settings have 4 fault(s):\n  id = \"\": expected a text that is not empty\n  \
        limits.body_bytes = 0: expected 1 to 33554432 bytes\n  \
        times.lease_ms = 5: expected 300 to 60000 ms\n  \
        keys[0].key = (not shown): expected a secret of at least 16 characters";
    assert_eq!(error, expected);
}
