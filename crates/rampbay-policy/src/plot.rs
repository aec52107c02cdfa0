//! Plots of policies against each other, as SVG.

use std::path::Path;

use plotters::prelude::*;

/// A named value with its spread.
#[derive(Debug, Clone)]
pub struct Bar {
    /// The name of the policy.
    pub name: String,
    /// The lowest over all seeds.
    pub low: f64,
    /// The median over all seeds.
    pub median: f64,
    /// The highest over all seeds.
    pub high: f64,
}

/// Draws bars with their spread.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn bars(path: &Path, title: &str, unit: &str, bars: &[Bar]) -> Result<(), String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let root = SVGBackend::new(path, (760, 320)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| text(&e))?;
    let highest = bars.iter().map(|bar| bar.high).fold(0.0, f64::max).max(1e-9) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..highest)
        .map_err(|e| text(&e))?;
    let name_of = |x: &f64| {
        let at = x.floor() as usize;
        let middle = (x - x.floor() - 0.5).abs() < 0.01;
        if middle {
            bars.get(at).map(|bar| bar.name.clone()).unwrap_or_default()
        } else {
            String::new()
        }
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len() * 2 + 1)
        .x_label_formatter(&name_of)
        .y_desc(unit)
        .draw()
        .map_err(|e| text(&e))?;
    for (at, bar) in bars.iter().enumerate() {
        let x = at as f64;
        let color = Palette99::pick(at).mix(0.7);
        let body = Rectangle::new([(x + 0.2, 0.0), (x + 0.8, bar.median)], color.filled());
        let spread = PathElement::new(vec![(x + 0.5, bar.low), (x + 0.5, bar.high)], BLACK);
        chart.draw_series([body]).map_err(|e| text(&e))?;
        chart.draw_series([spread]).map_err(|e| text(&e))?;
    }
    root.present().map_err(|e| text(&e))
}

/// Draws the trade-off between two measures, one point for each value of a knob.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn frontier(
    path: &Path,
    title: &str,
    points: &[(String, f64, f64)],
    axes: (&str, &str),
) -> Result<(), String> {
    let text = |e: &dyn std::fmt::Display| e.to_string();
    let root = SVGBackend::new(path, (760, 420)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| text(&e))?;
    let most = |pick: fn(&(String, f64, f64)) -> f64| {
        points.iter().map(pick).fold(0.0, f64::max).max(1e-9) * 1.15
    };
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..most(|p| p.1), 0.0..most(|p| p.2))
        .map_err(|e| text(&e))?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw().map_err(|e| text(&e))?;
    for (name, x, y) in points {
        let dot = EmptyElement::at((*x, *y))
            + Circle::new((0, 0), 4, BLUE.filled())
            + Text::new(name.clone(), (6, -6), ("sans-serif", 12));
        chart.draw_series([dot]).map_err(|e| text(&e))?;
    }
    root.present().map_err(|e| text(&e))
}
