//! Tests of [`RequestEvents`].

use super::*;

#[test]
fn each_kind_of_event_has_a_record_and_a_count_of_its_own() {
    let events = RequestEvents::default();
    for (position, (event, kind, _)) in EVENTS.into_iter().enumerate() {
        assert_eq!(event as usize, position, "{kind}");
        (0..=position).for_each(|_| events.record(event, b"1f", None));
    }
    let text = events.metrics_text();
    for (position, (_, kind, _)) in EVENTS.into_iter().enumerate() {
        assert!(text.contains(&format!("gateway_events{{kind=\"{kind}\"}} {}\n", position + 1)), "{text}");
    }
}
