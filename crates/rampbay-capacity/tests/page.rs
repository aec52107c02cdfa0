//! The committed page and the committed figures.

use rampbay_capacity::{fit::Line, measure::Figures, page};

fn committed(path: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/");
    std::fs::read_to_string(format!("{root}{path}")).expect("the file is committed")
}

#[test]
fn write_committed_figures_gives_the_committed_page() {
    let figures: Figures =
        serde_json::from_str(&committed("measurements/capacity.json")).expect("figures");
    assert_eq!(page::write(&figures), committed("CAPACITY.md"));
}

#[test]
fn write_other_figures_gives_another_page() {
    let mut figures: Figures =
        serde_json::from_str(&committed("measurements/capacity.json")).expect("figures");
    figures.edit_bytes += 100.0;
    assert_ne!(page::write(&figures), committed("CAPACITY.md"));
}

#[test]
fn fit_straight_points_gives_their_line() {
    let line = Line::fit(vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residue < 1e-9);
}

#[test]
fn fit_curved_points_shows_a_residue() {
    let line = Line::fit(vec![(1.0, 1.0), (2.0, 4.0), (4.0, 16.0)]);
    assert!(line.residue > 0.05);
}
