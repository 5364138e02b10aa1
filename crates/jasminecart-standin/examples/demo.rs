//! Runs the demo: `cargo run -p jasminecart-standin --example demo -- SEED`.

use std::process::ExitCode;

use jasminecart_standin::demo::{self, DemoOptions};

#[tokio::main]
async fn main() -> ExitCode {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    let options = DemoOptions::new(seed).with_progress(|line| println!("{line}"));
    match demo::run(options).await {
        Ok(report) => {
            report.lines().iter().for_each(|line| println!("{line}"));
            ExitCode::from(u8::from(!report.invariants_held()))
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
