//! Linear and power-law fits of measured points.

/// A quantity that grows with a size, measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// The name of the quantity, also in the JSON output and as the file name of its plot.
    pub name: &'static str,
    /// The unit of the size.
    pub size_unit: &'static str,
    /// The unit of the quantity.
    pub unit: &'static str,
    /// Pairs of size and quantity, in ascending order of size.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Creates a slope from its points.
    pub fn new(
        name: &'static str,
        size_unit: &'static str,
        unit: &'static str,
        points: impl IntoIterator<Item = (f64, f64)>,
    ) -> Slope {
        Slope { name, size_unit, unit, points: points.into_iter().collect() }
    }

    /// Returns the intercept and the slope of the least-squares line through the points.
    pub fn line(&self) -> (f64, f64) {
        least_squares(self.points.iter().copied())
    }

    /// Returns the exponent of the power law fitted to the points. Above 1, growth is faster than
    /// linear.
    pub fn exponent(&self) -> f64 {
        let positive = self.points.iter().filter(|(size, quantity)| *size > 0.0 && *quantity > 0.0);
        least_squares(positive.map(|(size, quantity)| (size.ln(), quantity.ln()))).1
    }

    /// Returns the estimated quantity at a size by the fitted line. Beyond the largest measured
    /// size, it follows the power law if the quantity grows faster than linearly.
    pub fn at(&self, size: f64) -> f64 {
        let (intercept, slope) = self.line();
        let linear = (intercept + slope * size).max(0.0);
        let Some((last_size, last)) = self.points.last().copied() else { return linear };
        if size > last_size && self.exponent() > 1.0 {
            return linear.max(last * (size / last_size).powf(self.exponent()));
        }
        linear
    }
}

fn least_squares(points: impl Iterator<Item = (f64, f64)>) -> (f64, f64) {
    let points: Vec<(f64, f64)> = points.collect();
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|(x, _)| *x), mean(|(_, y)| *y));
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (mean_y - slope * mean_x, slope)
}
