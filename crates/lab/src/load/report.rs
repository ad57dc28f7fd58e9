//! The HTML report, with plots as SVG.

use super::latency::Latencies;
use super::record::RequestRecord;
use super::summary::LoadSummary;
use plotters::prelude::*;
use std::collections::BTreeMap;

const PLOT_SIZE: (u32, u32) = (860, 320);
/// Shares of requests that the percentile plot shows.
const SHARES: [f64; 9] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0];
const COLOURS: [RGBColor; 3] = [RED, BLUE, GREEN];

type PlotError = Box<dyn std::error::Error>;

/// One line of a plot.
struct Line {
    name: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

/// A page with the summary and plots.
#[must_use]
pub fn html(title: &str, records: &[RequestRecord], summary: &LoadSummary) -> String {
    let throughput = plot(
        "requests per second over time (s)",
        &throughput_lines(summary),
    );
    let percentiles = plot(
        "time to the whole answer (ms) by share of requests, as -log10(1 - share)",
        &percentile_lines(records),
    );
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font-family:sans-serif;max-width:60em;margin:2em auto}}</style></head>\n\
         <body><h1>{title}</h1>\n<p>Latencies count from the planned time of each request.</p>\n\
         <pre>{}</pre>\n{throughput}\n{percentiles}\n</body></html>\n",
        summary.text(),
        title = escape(title),
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn throughput_lines(summary: &LoadSummary) -> Vec<Line> {
    let line = |name: &str, colour, value: fn(&super::SecondCount) -> u64| Line {
        name: name.to_owned(),
        colour,
        points: summary
            .seconds
            .iter()
            .enumerate()
            .map(|(second, count)| (second as f64, value(count) as f64))
            .collect(),
    };
    vec![
        line("planned", BLUE, |count| count.planned),
        line("answered", GREEN, |count| count.answered),
        line("not answered", RED, |count| count.not_answered),
    ]
}

fn percentile_lines(records: &[RequestRecord]) -> Vec<Line> {
    let mut by_class: BTreeMap<&str, Latencies> = BTreeMap::new();
    for record in records.iter().filter(|record| record.is_answered()) {
        let class = record.request.class.as_str();
        by_class.entry(class).or_default().record(record.total());
    }
    let pairs = by_class.into_iter().zip(COLOURS);
    pairs
        .map(|((name, latencies), colour)| Line {
            name: name.to_owned(),
            colour,
            points: SHARES
                .iter()
                .map(|share| (nines(*share), latencies.quantile_ms(*share) as f64))
                .collect(),
        })
        .collect()
}

/// 0.9 gives 1, 0.99 gives 2; 1.0 is drawn at 4.
fn nines(share: f64) -> f64 {
    let rest = (1.0 - share).max(1e-4);
    -rest.log10()
}

/// A plot as an SVG element, or the reason why there is none.
fn plot(caption: &str, lines: &[Line]) -> String {
    let mut svg = String::new();
    match draw(&mut svg, caption, lines) {
        Ok(()) => svg,
        Err(error) => format!("<p>no plot: {}</p>", escape(&error.to_string())),
    }
}

fn draw(svg: &mut String, caption: &str, lines: &[Line]) -> Result<(), PlotError> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)?;
    chart.configure_mesh().draw()?;
    for line in lines {
        let series = LineSeries::new(line.points.iter().copied(), line.colour);
        let drawn = chart.draw_series(series)?;
        let colour = line.colour;
        drawn
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
