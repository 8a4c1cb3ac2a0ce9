//! The report: plots as SVG within one HTML page, and the figures as tables.

use crate::measure::Run;
use crate::planner::Solve;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;
use thiserror::Error;

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[error("plot: {0}")]
    Plot(String),
    /// The file could not be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The page could not be put together.
    #[error("page: {0}")]
    Page(#[from] std::fmt::Error),
}

const SIZE: (u32, u32) = (860, 360);

/// Writes the page.
pub fn write(file: &Path, runs: &[Run], solves: &[Solve]) -> Result<(), ReportError> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Draining in steps</title><style>\
         body{font-family:sans-serif;max-width:920px;margin:2em auto}table{border-collapse:collapse}\
         td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}</style></head><body>\
         <h1>Draining in steps</h1><p>Simulated: the real scheduler in virtual time, with stand-ins for workers, cloud and \
         state service. The planner's times are real ones of the machine that made this page.</p>",
    );
    let mut sizes: Vec<usize> = runs.iter().map(|run| run.machines).collect();
    sizes.dedup();
    for size in sizes {
        let own: Vec<&Run> = runs.iter().filter(|run| run.machines == size).collect();
        writeln!(page, "<h2>{size} machines</h2>{}", curves(&own)?)?;
        page.push_str(
            "<table><tr><th>way</th><th>replaced after</th><th>planned, replica-s</th><th>observed</th>\
             <th>by the workers' records</th><th>most down at once</th></tr>",
        );
        for run in own {
            let took = run.took_s.map_or("not finished".into(), |took| format!("{took:.0} s"));
            writeln!(
                page,
                "<tr><td>{}</td><td>{took}</td><td>{:.0}</td><td>{:.0}</td><td>{:.0}</td><td>{} of {}</td></tr>",
                run.way, run.planned_s, run.observed_s, run.happened_s, run.at_once, run.replicas
            )?;
        }
        page.push_str("</table>");
    }
    page.push_str(
        "<h2>The planner</h2><table><tr><th>candidates</th><th>limit, ms</th><th>longest, ms</th><th>by the solver</th>\
         <th>in order after it</th><th>machines chosen</th></tr>",
    );
    for solve in solves {
        writeln!(
            page,
            "<tr><td>{}</td><td>{:.0}</td><td>{:.1}</td><td>{} of {}</td><td>{}</td><td>{}</td></tr>",
            solve.candidates,
            solve.limit_s * 1_000.0,
            solve.longest_ms,
            solve.solved,
            solve.choices,
            solve.greedy,
            solve.chosen
        )?;
    }
    page.push_str("</table></body></html>\n");
    Ok(std::fs::write(file, page)?)
}

/// Machines replaced over time, a line for each way.
fn curves(runs: &[&Run]) -> Result<String, ReportError> {
    let plot = |e: &dyn std::fmt::Display| ReportError::Plot(e.to_string());
    let longest = runs.iter().flat_map(|run| run.curve.last()).map(|(at, _)| *at).fold(1.0, f64::max);
    let most = runs.iter().map(|run| run.machines).max().unwrap_or(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| plot(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..longest, 0..most)
            .map_err(|e| plot(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds").y_desc("machines replaced").draw().map_err(|e| plot(&e))?;
        for (number, run) in runs.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let points = run.curve.iter().copied();
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|e| plot(&e))?
                .label(run.way.to_string())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| plot(&e))?;
        area.present().map_err(|e| plot(&e))?;
    }
    Ok(svg)
}
