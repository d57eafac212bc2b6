use super::{RequestCounters, RequestOutcome};

/// A request counts where it ends and only there; one whose end nobody told has failed.
#[test]
fn a_request_counts_once_where_it_ends() {
    let counts = RequestCounters::new(vec!["a".into(), "b".into()]);
    let (served, dropped) = (counts.begin(1), counts.begin(0));
    served.set_outcome(RequestOutcome::Served);
    let text = counts.metrics_text((3, 1));
    assert!(text.contains("gateway_active 2\n") && text.contains("{kind=\"b\",result=\"ok\"} 0\n"));
    drop((served, dropped));
    let text = counts.metrics_text((3, 1));
    for line in [
        "gateway_responses{kind=\"b\",result=\"ok\"} 1",
        "gateway_responses{kind=\"a\",result=\"errors\"} 1",
        "gateway_responses{kind=\"a\",result=\"shed\"} 0",
        "gateway_active 0",
        "gateway_pool_size 3",
        "gateway_pool_ejected 1",
    ] {
        assert!(text.lines().any(|l| l == line), "no '{line}' in:\n{text}");
    }
}
