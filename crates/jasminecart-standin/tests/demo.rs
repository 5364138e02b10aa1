//! The demo as a test of the whole: it takes about half a minute.

use jasminecart_standin::demo::{self, DemoFigures, DemoOptions};

// Guards against a broken promise that only the whole shows, and against a demo that shows nothing.
#[tokio::test(flavor = "multi_thread")]
async fn the_demo_keeps_every_promise() {
    let options = DemoOptions::new(1).with_progress(|line| println!("{line}"));
    let report = demo::run(options).await.unwrap();
    assert!(report.invariants_held(), "{:#?}", report.lines());
    let DemoFigures { feeds, requests, broken_by_kill, .. } = report.figures;
    assert_eq!((feeds, broken_by_kill), (260, 0), "{:#?}", report.lines());
    assert!(requests > 500, "{:#?}", report.lines());
    assert!(report.lines().last().is_some_and(|line| line.starts_with("{\"feeds\":260,")));
}
