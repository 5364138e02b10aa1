//! Tests of the packets that wait for the first routes and targets.

use jasminecart_core::Millis;
use jasminecart_forward::backlog::{Backlog, MAX_AGE, MAX_PACKETS};

/// Guards against a packet that is dropped although the state arrives half a second after the start, as on small VMs
/// after a kill of all processes.
#[test]
fn packets_wait_for_half_a_second() {
    let mut backlog = Backlog::default();
    backlog.push(Millis(0), b"old");
    backlog.push(Millis(200), b"first");
    backlog.push(Millis(300), b"second");
    let (recent, dropped) = backlog.take(Millis(701));
    assert_eq!(recent, [Box::from(&b"first"[..]), Box::from(&b"second"[..])]);
    assert_eq!(dropped, 1);
    assert_eq!(backlog.take(Millis(701)), (Vec::new(), 0));
}

/// Guards against a process that fills its memory while it waits.
#[test]
fn the_oldest_packets_make_room() {
    let mut backlog = Backlog::default();
    for number in 0..MAX_PACKETS {
        assert!(!backlog.push(Millis(0), &number.to_be_bytes()));
    }
    assert!(backlog.push(MAX_AGE, b"latest"));
    let (recent, dropped) = backlog.take(MAX_AGE);
    assert_eq!((recent.len(), dropped), (MAX_PACKETS, 0));
    assert_eq!(recent.last().map(|packet| &packet[..]), Some(&b"latest"[..]));
}
