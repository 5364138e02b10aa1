//! Tests of the order in which an overloaded service admits the flows of its routes, and of the
//! minimum that each route is guaranteed. `measure overload` shows the effect on many clients.

use jasminecart_core::Millis;
use jasminecart_core::flow::token::{AdmissionOrder, Precedence};
use jasminecart_core::version::{Repeatable, RouteRule};
use test_case::test_case;

use crate::support;

fn rule(name: &str, priority: u8, repeatable: Repeatable) -> RouteRule {
    RouteRule { priority, ..support::rule(name, "desk", repeatable) }
}

fn share(precedence: Precedence) -> f64 {
    match precedence {
        Precedence::Share(share) => share,
        Precedence::Guaranteed => f64::INFINITY,
    }
}

/// Guards against a request that gives way to a less urgent one, and against at-most-once requests that give way to
/// repeatable ones of the same priority.
#[test]
fn priority_decides_and_then_whether_a_request_is_repeatable() {
    let now = Millis(1_000);
    let rules = [
        rule("bookings", 1, Repeatable::Never),
        rule("feed", 1, Repeatable::Always),
        rule("downloads", 2, Repeatable::Never),
        rule("reports", 2, Repeatable::Always),
    ];
    let mut order = AdmissionOrder::default();
    rules.iter().rev().for_each(|rule| order.observe(now, rule));
    let shares = rules.map(|rule| share(order.precedence(now, &rule)));
    assert!(shares.is_sorted_by(|a, b| a > b), "{shares:?}");
    assert!(shares[0] > 1.0 && shares[3] < 1.0, "{shares:?}");
}

/// Guards against a route that gives way to routes which nobody uses any more.
#[test]
fn a_route_alone_goes_first() {
    let (urgent, feed) =
        (rule("urgent", 0, Repeatable::Never), rule("feed", 3, Repeatable::Always));
    let mut order = AdmissionOrder::default();
    order.observe(Millis(1_000), &urgent);
    let beside = share(order.precedence(Millis(1_000), &feed));
    let alone = share(order.precedence(Millis(20_000), &feed));
    assert!(beside < 1.0 && alone > 1.0, "{beside} beside the urgent route, {alone} alone");
}

/// Guards against a route that urgent ones starve: a burst of 2.5 times of the urgent class exceeds what is served. A
/// service serves 100 requests a second, one flow after the other; the less urgent route must get half of its
/// max-min fair share of that.
#[test_case(250, 100, 25.0; "both ask for more than half")]
#[test_case(250, 20, 10.0; "the less urgent one asks for little")]
#[test_case(90, 100, 25.0; "the urgent one can almost fill the service")]
fn no_route_falls_below_half_of_its_fair_share(urgent_rate: u64, feed_rate: u64, least: f64) {
    let urgent = rule("urgent", 0, Repeatable::Never);
    let feed = rule("feed", 3, Repeatable::Always);
    let mut order = AdmissionOrder::default();
    let (mut free, mut feeds) = (0.0_f64, 0);
    for ms in 1..=20_000 {
        let now = Millis(ms);
        free = (free + 0.1).min(2.0);
        for (rule, rate) in [(&urgent, urgent_rate), (&feed, feed_rate)] {
            // Arrivals evenly spaced: one whenever the product passes a multiple of 1,000.
            if ms * rate / 1_000 == (ms - 1) * rate / 1_000 {
                continue;
            }
            // Urgent flows take all that is free; others only what exceeds a reserve for them.
            let reserve = match order.precedence(now, rule) {
                Precedence::Guaranteed => f64::NEG_INFINITY,
                Precedence::Share(share) if share > 1.0 => 1.0,
                Precedence::Share(_) => 2.0,
            };
            if free >= reserve {
                free -= 1.0;
                order.on_served(now, rule);
                feeds += u64::from(rule.name == feed.name && ms > 10_000);
            } else {
                order.on_refused(now, rule);
            }
        }
    }
    let rate = f64::from(u32::try_from(feeds).expect("few")) / 10.0;
    assert!(rate >= least, "{rate} of the less urgent route served a second, {least} guaranteed");
}
