//! The report: one HTML page with the plots as SVG and the figures as tables.

use crate::measure::Run;
use crate::planner::Solve;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;
use thiserror::Error;

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[error("plot: {0}")]
    Plot(#[from] DrawingAreaErrorKind<std::io::Error>),
    /// The file could not be written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The page could not be put together.
    #[error("page: {0}")]
    Page(#[from] std::fmt::Error),
}

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 360);

const HEAD: &str =
    "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Draining in steps</title><style>\
     body{font-family:sans-serif;max-width:920px;margin:2em auto}table{border-collapse:collapse}\
     td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}</style></head><body>\
     <h1>Draining in steps</h1><p>Simulated: the real scheduler in virtual time, with stand-ins for workers, cloud and \
     state service. The planner's times are real ones of the machine that made this page.</p>";

/// Writes the page.
///
/// # Errors
/// A plot can't be drawn, or the file can't be written.
pub fn write(file: &Path, runs: &[Run], solves: &[Solve]) -> Result<(), ReportError> {
    let mut page = String::from(HEAD);
    let mut sizes: Vec<usize> = runs.iter().map(|run| run.machines).collect();
    sizes.dedup();
    for size in sizes {
        let of_size: Vec<&Run> = runs.iter().filter(|run| run.machines == size).collect();
        write_fleet(&mut page, size, &of_size)?;
    }
    write_planner(&mut page, solves)?;
    page.push_str("</body></html>\n");
    Ok(std::fs::write(file, page)?)
}

/// The section of the fleets of one size.
fn write_fleet(page: &mut String, size: usize, runs: &[&Run]) -> Result<(), ReportError> {
    writeln!(page, "<h2>{size} machines</h2>{}", curves(runs)?)?;
    page.push_str(
        "<table><tr><th>way</th><th>replaced after</th><th>planned, replica-s</th><th>observed</th>\
         <th>by the workers' records</th><th>most down at once</th></tr>",
    );
    for run in runs {
        let took = run.took_s.map_or("not finished".into(), |took| format!("{took:.0} s"));
        writeln!(
            page,
            "<tr><td>{}</td><td>{took}</td><td>{:.0}</td><td>{:.0}</td><td>{:.0}</td><td>{} of {}</td></tr>",
            run.way, run.planned_s, run.observed_s, run.happened_s, run.at_once, run.replicas
        )?;
    }
    page.push_str("</table>");
    Ok(())
}

/// The section of the planner's own time.
fn write_planner(page: &mut String, solves: &[Solve]) -> Result<(), ReportError> {
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
    page.push_str("</table>");
    Ok(())
}

/// Machines replaced over time, a line for each way.
fn curves(runs: &[&Run]) -> Result<String, ReportError> {
    let longest_s = runs.iter().flat_map(|run| run.curve.last()).map(|point| point.at_s).fold(1.0, f64::max);
    let max_machines = runs.iter().map(|run| run.machines).max().unwrap_or(1);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..longest_s, 0..max_machines)?;
        chart.configure_mesh().x_desc("seconds").y_desc("machines replaced").draw()?;
        for (number, run) in runs.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let points = run.curve.iter().map(|point| (point.at_s, point.replaced));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(run.way.to_string())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}
