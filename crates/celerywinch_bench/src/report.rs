//! Renders results of the bench as one self-contained HTML page with plots.

use anyhow::Context;
use plotters::prelude::*;

use crate::bench::{RunMetrics, RunResult};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 320);

/// Renders a page with a table of all runs, a comparison of the first two, and plots.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn.
pub fn render_html(results: &[RunResult]) -> anyhow::Result<String> {
    let mut html = String::from(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>Bench</title>\n\
         <style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}\
         </style>\n<h1>Bench</h1>\n",
    );
    html.push_str(&render_table(results));
    if let [first, second, ..] = results {
        html.push_str(&render_comparison(first, second));
    }
    html.push_str("<h2>Response time divided by the run time of the longest task, p99</h2>\n");
    html.push_str(&draw_bars(results, |f| f.ratio[1])?);
    html.push_str("<h2>Wasted messages per useful message</h2>\n");
    html.push_str(&draw_bars(results, wasted_per_useful)?);
    html.push_str("<h2>Answered on time, by tenth of the run</h2>\n");
    html.push_str(&draw_lines(results)?);
    html.push_str("</html>\n");
    Ok(html)
}

fn run_name(result: &RunResult) -> String {
    format!(
        "{} {} {}",
        result.deployment, result.scenario, result.policy
    )
}

/// Returns the number of wasted messages to endpoints per useful message. A message is useful if it sent a task
/// whose submission was answered on time.
fn wasted_per_useful(metrics: &RunMetrics) -> f64 {
    let sent = metrics.starts + metrics.refused_full + metrics.refused_leaving;
    sent.saturating_sub(metrics.useful) as f64 / metrics.useful.max(1) as f64
}

/// Returns the columns of a run in the table, with their headings.
fn columns(metrics: &RunMetrics) -> [(&'static str, f64); 10] {
    [
        ("submitted", metrics.submitted as f64),
        ("on time", metrics.answered as f64),
        ("failed", metrics.failed as f64),
        ("refused", metrics.refused as f64),
        ("useful tasks", metrics.useful as f64),
        ("ratio p50", metrics.ratio[0]),
        ("ratio p99", metrics.ratio[1]),
        ("ideal p99", metrics.ideal_ratio[1]),
        ("wasted", wasted_per_useful(metrics)),
        ("core us per start", metrics.core_us),
    ]
}

fn render_table(results: &[RunResult]) -> String {
    let mut html = String::from("<table><tr><th>run</th>");
    for (name, _) in columns(&RunMetrics::default()) {
        html.push_str(&format!("<th>{name}</th>"));
    }
    html.push_str("</tr>\n");
    for result in results {
        html.push_str(&format!("<tr><td>{}</td>", run_name(result)));
        for (_, value) in columns(&result.metrics) {
            html.push_str(&format!("<td>{}</td>", (value * 1000.0).round() / 1000.0));
        }
        html.push_str("</tr>\n");
    }
    html.push_str("</table>\n");
    html
}

/// Renders the ratios of two runs' values. Only runs of the same call should be compared, since the load of the
/// machine varies between calls.
fn render_comparison(first: &RunResult, second: &RunResult) -> String {
    let mut html = format!(
        "<h2>{} over {}</h2>\n<ul>\n",
        run_name(second),
        run_name(first)
    );
    let pairs = columns(&first.metrics)
        .into_iter()
        .zip(columns(&second.metrics));
    for ((name, first), (_, second)) in pairs {
        if first > 0.0 {
            html.push_str(&format!("<li>{name}: {:.3}</li>\n", second / first));
        }
    }
    html.push_str("</ul>\n");
    html
}

/// Draws a bar of `value` for each run.
fn draw_bars(results: &[RunResult], value: impl Fn(&RunMetrics) -> f64) -> anyhow::Result<String> {
    let max = results
        .iter()
        .map(|r| value(&r.metrics))
        .fold(0.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(10)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..results.len() as f64, 0.0..max.max(0.001) * 1.1)
            .context("report: cannot lay out a plot")?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .draw()
            .context("report: cannot draw a plot")?;
        for (index, result) in results.iter().enumerate() {
            let (left, right) = (index as f64 + 0.1, index as f64 + 0.9);
            let corners = [(left, 0.0), (right, value(&result.metrics))];
            let colour = Palette99::pick(index).filled();
            chart
                .draw_series([Rectangle::new(corners, colour)])
                .context("report: cannot draw a plot")?;
        }
    }
    Ok(svg + &render_legend(results))
}

/// Draws a line for each run: the answers on time in each tenth of the run.
fn draw_lines(results: &[RunResult]) -> anyhow::Result<String> {
    let tenths = results.iter().flat_map(|r| r.metrics.answered_by_tenth);
    let max = tenths.max().unwrap_or(1).max(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(20)
            .y_label_area_size(50)
            .build_cartesian_2d(0_usize..9, 0..max)
            .context("report: cannot lay out a plot")?;
        chart
            .configure_mesh()
            .draw()
            .context("report: cannot draw a plot")?;
        for (index, result) in results.iter().enumerate() {
            let points = result.metrics.answered_by_tenth.into_iter().enumerate();
            let series = LineSeries::new(points, Palette99::pick(index).stroke_width(2));
            chart
                .draw_series(series)
                .context("report: cannot draw a plot")?;
        }
    }
    Ok(svg + &render_legend(results))
}

fn render_legend(results: &[RunResult]) -> String {
    let entries = results.iter().enumerate().map(|(index, result)| {
        let (red, green, blue) = Palette99::COLORS[index % Palette99::COLORS.len()];
        let name = run_name(result);
        format!("<span style=\"color:rgb({red},{green},{blue})\">&#9632;</span> {name}")
    });
    let entries: Vec<_> = entries.collect();
    format!("<p>{}</p>\n", entries.join(" &nbsp; "))
}
