//! Tests of the request metrics.

use super::{RequestCounters, RequestOutcome};
use grebehook_core::EndpointCounts;

/// Guards against requests that are counted before they end, or not as failed if they end without an outcome.
#[test]
fn request_is_counted_once_when_it_ends() {
    let counters = RequestCounters::new(vec!["a".into(), "b".into()]);
    let served = counters.begin(1);
    let dropped = counters.begin(0);
    served.set_outcome(RequestOutcome::Served);
    let text = counters.metrics_text(EndpointCounts { listed: 3, ejected: 1 });
    assert!(text.contains("gateway_active 2\n") && text.contains("{kind=\"b\",result=\"ok\"} 0\n"));
    drop((served, dropped));
    let text = counters.metrics_text(EndpointCounts { listed: 3, ejected: 1 });
    for expected in [
        "gateway_responses{kind=\"b\",result=\"ok\"} 1",
        "gateway_responses{kind=\"a\",result=\"errors\"} 1",
        "gateway_responses{kind=\"a\",result=\"shed\"} 0",
        "gateway_active 0",
        "gateway_pool_size 3",
        "gateway_pool_ejected 1",
    ] {
        assert!(text.lines().any(|line| line == expected), "no '{expected}' in:\n{text}");
    }
}
