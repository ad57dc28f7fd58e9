//! Plots of comparisons, as SVG.

use super::Run;
use plotters::prelude::*;

const SIZE: (u32, u32) = (800, 600);
const MARKER: i32 = 5;
/// Room above the largest figure.
const HEADROOM: f64 = 1.1;

/// Cold start p99 against idle hours: a point for each run, a colour for each
/// policy. The better runs lie to the lower left.
///
/// # Errors
/// When the drawing fails.
pub fn trade_off(title: &str, runs: &[Run], policies: &[String]) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, title, runs, policies).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    runs: &[Run],
    policies: &[String],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let largest = |figure: fn(&Run) -> f64| runs.iter().map(figure).fold(1.0, f64::max) * HEADROOM;
    let idle = largest(|run| run.report.idle_accelerator_hours);
    let wait = largest(|run| run.report.cold_start_p99_s);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(45)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..idle, 0.0..wait)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours")
        .y_desc("cold start p99, s")
        .draw()?;
    for (number, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let mine = runs.iter().filter(|run| run.report.policy == *policy);
        let points = mine.map(|run| {
            let report = &run.report;
            (report.idle_accelerator_hours, report.cold_start_p99_s)
        });
        let circles = points.map(|point| Circle::new(point, MARKER, color.filled()));
        chart
            .draw_series(circles)?
            .label(policy)
            .legend(move |(x, y)| Circle::new((x + 10, y), MARKER, color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
