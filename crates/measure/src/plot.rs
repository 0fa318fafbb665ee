//! Charts of goodput and wasted prefill against load, with one line per policy.

use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::row::Row;
use super::site::as_f64;

const PLOT_SIZE_PX: (u32, u32) = (900, 420);
const POLICY_COLOURS: [RGBColor; 6] = [BLUE, RED, GREEN, MAGENTA, BLACK, CYAN];

/// Computes the value that a chart shows for a row.
type PlotValue = fn(&Row) -> f64;

/// Writes an SVG file with both charts; rows with a fault are left out. Fails if the file cannot be
/// written.
pub fn write(path: &Path, title: &str, rows: &[Row]) -> Result<(), Box<dyn Error>> {
    let rows: Vec<&Row> = rows.iter().filter(|row| row.fault == "none").collect();
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let panels = area.split_evenly((1, 2));
    let goodput: PlotValue = |row| as_f64(row.goodput) / as_f64(row.offered.max(1));
    draw_chart(
        &panels[0],
        &format!("{title}: goodput, share of offered"),
        &rows,
        goodput,
    )?;
    let wasted: PlotValue = Row::wasted_share;
    draw_chart(
        &panels[1],
        &format!("{title}: wasted share of prefill"),
        &rows,
        wasted,
    )?;
    area.present()?;
    Ok(())
}

fn draw_chart(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    caption: &str,
    rows: &[&Row],
    value: PlotValue,
) -> Result<(), Box<dyn Error>> {
    let loads = rows.iter().map(|row| row.load);
    let (low, high) = (
        loads.clone().fold(f64::MAX, f64::min),
        loads.fold(0.0, f64::max),
    );
    let top = rows.iter().map(|row| value(row)).fold(0.01, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(low..high.max(low + 0.1), 0.0..top)?;
    chart.configure_mesh().x_desc("load").draw()?;
    for (policy, colour) in distinct_policies(rows).into_iter().zip(POLICY_COLOURS) {
        let of_policy = rows.iter().filter(|row| row.policy == policy);
        let points = of_policy.map(|row| (row.load, value(row)));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

fn distinct_policies(rows: &[&Row]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for row in rows {
        if !names.contains(&row.policy) {
            names.push(row.policy.clone());
        }
    }
    names
}
