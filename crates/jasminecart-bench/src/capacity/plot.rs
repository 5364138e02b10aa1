//! SVG plots of slopes.

use std::path::Path;

use plotters::prelude::*;

use super::fit::Slope;

/// The width and height of a plot in pixels.
const SIZE: (u32, u32) = (640, 400);

/// Draws the points and the fitted line of a slope.
pub(super) fn draw(path: &Path, slope: &Slope) -> Result<(), String> {
    let largest =
        |value: fn(&(f64, f64)) -> f64| slope.points.iter().map(value).fold(1e-9, f64::max);
    let (right, top) = (largest(|(size, _)| *size) * 1.1, largest(|(_, quantity)| *quantity) * 1.2);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let result = (|| {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(slope.name.replace('_', " "), ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(80)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(slope.size_unit).y_desc(slope.unit).draw()?;
        let (intercept, gradient) = slope.line();
        let ends = [0.0, right].map(|size| (size, (intercept + gradient * size).clamp(0.0, top)));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        let points = slope.points.iter().map(|point| Circle::new(*point, 4, BLACK.filled()));
        chart.draw_series(points)?;
        area.present()
    })();
    result.map_err(|error| format!("{}: {error}", path.display()))
}
