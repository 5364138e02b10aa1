//! Case `capacity`: slopes at several sizes and their extrapolation, for docs/CAPACITY.md.

mod fit;
mod limits;
mod plot;
mod slopes;

use std::path::Path;

use serde_json::{Value, json};

pub use self::fit::Slope;
pub use self::limits::Limit;
use self::limits::PlatformUse;
use crate::documents;
use crate::report::Report;

/// Runs the case. With a folder, a plot of each slope is written to it.
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
    let adoption = documents::adoption_at(105, seed);
    let platform = PlatformUse {
        in_force_ms: adoption.in_force_ms,
        reads_per_s: adoption.reads_per_s,
        bytes_per_change: adoption.bytes_per_change,
    };
    let limits = limits::limits(&slopes, platform);
    let mut table = vec![format!(
        "{:<26}{:<22}{:<18}{:>12}{:>14}{:>10}  points",
        "slope", "size", "unit", "intercept", "per unit", "exponent"
    )];
    table.extend(slopes.iter().map(line));
    table.push(String::new());
    table.push(format!(
        "{:<44}{:>12}{:>12} {:<14}{:>10}",
        "limit of the two-year target", "value", "limit", "unit", "margin"
    ));
    table.extend(limits.iter().map(Limit::line));
    let drawn = plots.map_or(Ok(()), |folder| draw_all(folder, &slopes));
    if let Err(error) = &drawn {
        table.push(format!("no plots: {error}"));
    }
    let figures = json!({
        "seed": seed,
        "slopes": slopes.iter().map(figures).collect::<Vec<_>>(),
        "limits": limits.iter().map(Limit::figures).collect::<Vec<_>>(),
    });
    Report::new(table, figures).with_failed(drawn.is_err())
}

fn draw_all(folder: &Path, slopes: &[Slope]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    slopes
        .iter()
        .try_for_each(|slope| plot::draw(&folder.join(slope.name).with_extension("svg"), slope))
}

fn line(slope: &Slope) -> String {
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

fn figures(slope: &Slope) -> Value {
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
