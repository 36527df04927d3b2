//! The results of an experiment, for people and for other programs: CSV, a Markdown table, and charts in one
//! HTML page.

use crate::plan::Plan;
use crate::run::Row;
use crate::stats::{mean, paired, Figure, Mean, FIGURES};
use garnettally_emulator::policy::PolicyKind;
use plotters::coord::ranged1d::{IntoSegmentedCoord, SegmentValue};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

/// Writes `results.csv`, `results.md` and `results.html` into a folder.
pub fn publish(plan: &Plan, rows: &[Row], out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let mut csv = csv::Writer::from_path(out.join("results.csv"))?;
    for r in rows {
        csv.serialize(r)?;
    }
    csv.flush()?;
    std::fs::write(out.join("results.md"), markdown(plan, rows))?;
    std::fs::write(out.join("results.html"), html(plan, rows)?)?;
    Ok(())
}

/// Formats a mean with its interval; the larger the mean, the fewer decimal places.
fn format_mean(m: &Mean) -> String {
    let decimals = if m.mean.abs() >= 100.0 {
        0
    } else if m.mean.abs() >= 10.0 {
        1
    } else {
        3
    };
    match m.half.is_finite() {
        true => format!("{:.decimals$} ± {:.decimals$}", m.mean, m.half),
        false => format!("{:.decimals$}", m.mean),
    }
}

/// A table for each case: a row per policy, a column per figure, and the difference of service from the first
/// policy's.
pub fn markdown(plan: &Plan, rows: &[Row]) -> String {
    let mut out = format!("# {}\n\n", plan.name);
    let first = plan.policies[0];
    let _ = writeln!(
        out,
        "{} seeds ({} to {}); means with 95% confidence intervals over seeds. The last column is the difference of \
         service from {} on the same seeds; in bold where the interval leaves out 0.\n",
        plan.seeds.len(),
        plan.seeds.first().unwrap_or(&0),
        plan.seeds.last().unwrap_or(&0),
        first.name()
    );
    for case in &plan.cases {
        let _ = writeln!(out, "## {}\n", case.name);
        let heads: Vec<&str> = FIGURES.iter().map(|f| f.name).collect();
        let _ = writeln!(out, "| policy | {} | rules broken | service, difference |", heads.join(" | "));
        let _ = writeln!(out, "| --- | {} --- | --- |", "--- | ".repeat(FIGURES.len()));
        for &policy in &plan.policies {
            let cells: Vec<String> =
                FIGURES.iter().map(|f| format_mean(&mean(rows, &case.name, policy, f))).collect();
            let matching = rows.iter().filter(|r| r.case == case.name && r.policy == policy);
            let broken: u64 = matching.map(|r| r.broken).sum();
            let difference = match policy == first {
                true => "".to_string(),
                false => {
                    let d = paired(rows, &case.name, policy, first, &FIGURES[0]);
                    let text = format!("{:+.3} ± {:.3}", d.mean, d.half);
                    if d.excludes_zero() {
                        format!("**{text}**")
                    } else {
                        text
                    }
                }
            };
            let _ = writeln!(out, "| {} | {} | {broken} | {difference} |", label(policy), cells.join(" | "));
        }
        let _ = writeln!(out);
    }
    out
}

/// The policy's name as shown in tables; policies other than the module are marked as references.
fn label(policy: PolicyKind) -> String {
    match policy {
        PolicyKind::Module => "module".into(),
        other => format!("{} (reference)", other.name()),
    }
}

/// The page with a chart for each figure and case.
fn html(plan: &Plan, rows: &[Row]) -> io::Result<String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:15px \
         sans-serif;max-width:1000px;margin:2em auto}}svg{{width:100%;height:auto}}</style></head><body><h1>{0}</h1>\n",
        escape_html(&plan.name)
    );
    let _ = writeln!(
        page,
        "<p>Means over {} seeds with 95% confidence intervals; figures in results.md and results.csv.</p>",
        plan.seeds.len()
    );
    for figure in &FIGURES {
        let side = if figure.more_is_better { "more is better" } else { "less is better" };
        let _ = writeln!(page, "<h2>{} ({side})</h2>", figure.name);
        for case in &plan.cases {
            page += &chart(plan, rows, &case.name, figure)
                .map_err(|e| io::Error::other(format!("a chart could not be drawn: {e}")))?;
        }
    }
    page += "</body></html>\n";
    Ok(page)
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

/// Draws a figure of a case as an SVG: a bar with its confidence interval for each policy.
fn chart(
    plan: &Plan,
    rows: &[Row],
    case: &str,
    figure: &Figure,
) -> Result<String, Box<dyn std::error::Error>> {
    let means: Vec<Mean> = plan.policies.iter().map(|&p| mean(rows, case, p, figure)).collect();
    let half = |m: &Mean| if m.half.is_finite() { m.half } else { 0.0 };
    let top = means.iter().map(|m| m.mean + half(m)).filter(|v| v.is_finite()).fold(0.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1000, 280)).into_drawing_area();
        area.fill(&WHITE)?;
        let names: Vec<&str> = plan.policies.iter().map(|p| p.name()).collect();
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{case}: {}", figure.name), ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d((0..names.len()).into_segmented(), 0.0..(top * 1.1).max(1e-9))?;
        let label = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(i) => names.get(*i).copied().unwrap_or("").to_string(),
            _ => String::new(),
        };
        chart.configure_mesh().disable_x_mesh().x_labels(names.len()).x_label_formatter(&label).draw()?;
        for (i, m) in means.iter().enumerate().filter(|(_, m)| m.mean.is_finite()) {
            let color = if plan.policies[i] == PolicyKind::Module {
                RGBColor(160, 40, 70)
            } else {
                RGBColor(110, 130, 150)
            };
            let corners = [(SegmentValue::Exact(i), 0.0), (SegmentValue::Exact(i + 1), m.mean)];
            let mut bar = Rectangle::new(corners, color.filled());
            bar.set_margin(0, 0, 14, 14);
            chart.draw_series([bar])?;
            let ends = [(m.mean - half(m)).max(0.0), m.mean + half(m)];
            let line = [(SegmentValue::CenterOf(i), ends[0]), (SegmentValue::CenterOf(i), ends[1])];
            chart.draw_series([PathElement::new(line, BLACK.stroke_width(2))])?;
        }
        area.present()?;
    }
    Ok(svg)
}
