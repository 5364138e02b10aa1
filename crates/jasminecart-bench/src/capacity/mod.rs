//! Case `capacity`: costs measured at several sizes and extrapolated to the two-year target, for
//! docs/CAPACITY.md.

mod fit;
mod limits;
mod plot;
mod slopes;

use std::path::Path;

use serde_json::{Value, json};

pub use self::fit::Slope;
use self::limits::AdoptionCost;
pub use self::limits::Limit;
use crate::documents;
use crate::report::Report;

/// Runs the case, and writes a plot of each slope to the folder `plots` if there is one.
pub fn run(seed: u64, plots: Option<&Path>) -> Report {
    let slopes: Vec<Slope> = [
        slopes::flows(seed),
        slopes::services(seed),
        slopes::targets(seed),
        slopes::document_size(),
        slopes::changes(seed, limits::TARGETS as usize),
        slopes::members(seed),
        slopes::requests(seed),
    ]
    .concat();
    let adoption = documents::adoption_cost(105, seed);
    let adoption_cost = AdoptionCost {
        adoption_ms: adoption.adoption_ms,
        reads_per_s: adoption.reads_per_s,
        bytes_per_change: adoption.bytes_per_change,
    };
    let limits = limits::limits(&slopes, adoption_cost);
    let mut table = vec![format!(
        "{:<26}{:<22}{:<18}{:>12}{:>14}{:>10}  points",
        "slope", "size", "unit", "intercept", "per unit", "exponent"
    )];
    table.extend(slopes.iter().map(table_row));
    table.push(String::new());
    table.push(format!(
        "{:<44}{:>12}{:>12} {:<14}{:>10}",
        "limit of the two-year target", "value", "limit", "unit", "margin"
    ));
    table.extend(limits.iter().map(Limit::table_row));
    let plot_result = plots.map_or(Ok(()), |folder| draw_plots(folder, &slopes));
    if let Err(error) = &plot_result {
        table.push(format!("no plots: {error}"));
    }
    let figures = json!({
        "seed": seed,
        "slopes": slopes.iter().map(json_row).collect::<Vec<_>>(),
        "limits": limits.iter().map(Limit::json_row).collect::<Vec<_>>(),
    });
    Report::new(table, figures).with_failed(plot_result.is_err())
}

fn draw_plots(folder: &Path, slopes: &[Slope]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    slopes
        .iter()
        .try_for_each(|slope| plot::draw(&folder.join(slope.name).with_extension("svg"), slope))
}

fn table_row(slope: &Slope) -> String {
    let (intercept, gradient) = slope.line();
    let points = slope.points.iter().map(|(size, quantity)| format!("{size:.0}:{quantity:.4}"));
    let points: Vec<String> = points.collect();
    format!(
        "{:<26}{:<22}{:<18}{:>12.4}{:>14.6}{:>10.2}  {}",
        slope.name,
        slope.size_unit,
        slope.unit,
        intercept,
        gradient,
        slope.exponent(),
        points.join(" ")
    )
}

fn json_row(slope: &Slope) -> Value {
    let (intercept, gradient) = slope.line();
    json!({
        "name": slope.name,
        "size_unit": slope.size_unit,
        "unit": slope.unit,
        "points": slope.points,
        "intercept": intercept,
        "slope": gradient,
        "exponent": slope.exponent(),
    })
}
