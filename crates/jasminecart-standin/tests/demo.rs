//! Runs the demo as an end-to-end test, which takes about 40 s.

use jasminecart_standin::demo::{self, DemoFigures, DemoOptions};

// Guards against violations of invariants that only show when all components run together, and against a demo that
// passes because it does too little.
#[tokio::test(flavor = "multi_thread")]
async fn all_invariants_hold_in_the_demo() {
    let options = DemoOptions::new(1).with_progress(|line| println!("{line}"));
    let report = demo::run(options).await.unwrap();
    assert!(report.invariants_held(), "{:#?}", report.lines());
    let DemoFigures { feeds, requests, broken_by_kill, .. } = report.figures;
    assert_eq!((feeds, broken_by_kill), (260, 0), "{:#?}", report.lines());
    assert!(requests > 500, "{:#?}", report.lines());
    assert!(report.lines().last().is_some_and(|line| line.starts_with("{\"feeds\":260,")));
}
