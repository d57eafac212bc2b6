//! Tests of simulated hollow fleets. They assert on counts and simulated times only, which do not depend on
//! the speed of the machine.

mod common;

use common::{measure_point, toml, try_measure_point, value};
use grebehook_scale_laboratory::error::LaboratoryError;
use grebehook_scale_laboratory::metric::Metric;

/// Replacement in the small fleet's experiment that makes its clients send requests.
const SEND_REQUESTS: (&str, &str) = ("requests_per_second = 0.0", "requests_per_second = 300.0");

#[test]
fn run_depends_on_its_seed_alone() {
    let fault =
        "[[fault]]\nkind = \"lose\"\nat_seconds = 1.0\nlasts_seconds = 2.0\ndomain = \"zone\"\nindex = 1\n\
                 gateways_too = true\n";
    let first = measure_point(&toml(&[SEND_REQUESTS], fault));
    assert_eq!(first, measure_point(&toml(&[SEND_REQUESTS], fault)));
    let other = measure_point(&toml(&[SEND_REQUESTS, ("seed = 7", "seed = 8")], fault));
    assert_ne!(first.metrics, other.metrics);
}

#[test]
fn every_request_has_exactly_one_outcome() {
    let point = measure_point(&toml(&[SEND_REQUESTS], ""));
    let outcomes = [Metric::Served, Metric::Rejected, Metric::Failed, Metric::Lost];
    let ended: f64 = outcomes.iter().map(|metric| value(&point, *metric)).sum();
    assert_eq!(ended, value(&point, Metric::Arrivals));
    assert!(value(&point, Metric::Served) > 0.95 * ended, "{point:?}");
    assert_eq!(value(&point, Metric::Lost), 0.0);
}

/// A watch times out after 600 ms, so each gateway makes ten watch calls in six seconds. Nothing else
/// happens.
#[test]
fn idle_fleet_only_watches() {
    let point = measure_point(&toml(&[], ""));
    assert_eq!(value(&point, Metric::DiscoveryCalls), 60.0);
    assert_eq!(value(&point, Metric::CounterCalls), 0.0);
    assert_eq!(value(&point, Metric::RelayBytes), 0.0);
    // Six gateways, ten ticks per second each, for six seconds.
    assert_eq!(value(&point, Metric::GatewayEvents), 360.0);
}

#[test]
fn change_is_sent_to_every_gateway_once() {
    let idle = measure_point(&toml(&[], ""));
    let fault = "[[fault]]\nkind = \"change-members\"\nat_seconds = 1.0\ncount = 1\n";
    let changed = measure_point(&toml(&[], fault));
    let body = value(&changed, Metric::RelayBytes) / 6.0;
    assert!((150.0..250.0).contains(&body) && body.fract() == 0.0, "{body} bytes of one entry");
    assert_eq!(value(&changed, Metric::GatewayEvents), value(&idle, Metric::GatewayEvents) + 6.0);
    let slowest = value(&changed, Metric::EndpointPropagation);
    assert!(slowest > 0.0 && slowest <= 240.6, "{slowest} ms");
}

/// Returns an entry of the endpoint list as sent on the wire. The fleet has eight racks, two per zone.
fn endpoint_json(server: usize) -> serde_json::Value {
    let zone = server % 8 / 2;
    serde_json::json!({"name": format!("s-{server:08x}"), "address": format!("10.0.0.{server}:3000"),
        "zone": format!("zone-{zone}"), "type": "std", "group": zone, "status": "ready", "weight": 1.0,
        "since_ms": 0})
}

#[test]
fn restart_transfers_a_snapshot() {
    let one = measure_point(&toml(&[("warm_up_seconds = 1.0", "warm_up_seconds = 1.0\nrestarts = 1")], ""));
    let two = measure_point(&toml(&[("warm_up_seconds = 1.0", "warm_up_seconds = 1.0\nrestarts = 2")], ""));
    let endpoints: Vec<_> = (0..24).map(endpoint_json).collect();
    let list = serde_json::json!({"index": 1, "snapshot": true, "endpoints": endpoints});
    assert_eq!(value(&one, Metric::RelayBytes), list.to_string().len() as f64);
    assert_eq!(value(&two, Metric::RelayBytes), 2.0 * value(&one, Metric::RelayBytes));
}

#[test]
fn change_arrives_once_discovery_recovers() {
    let faults = "[[fault]]\nkind = \"silence-discovery\"\nat_seconds = 0.5\nlasts_seconds = 3.0\n\
                  [[fault]]\nkind = \"change-members\"\nat_seconds = 1.0\ncount = 1\n";
    let slowest = value(&measure_point(&toml(&[], faults)), Metric::EndpointPropagation);
    assert!((2_500.0..2_800.0).contains(&slowest), "{slowest} ms");
}

#[test]
fn requests_are_lost_until_the_load_balancer_notices_a_killed_gateway() {
    let fault = "[[fault]]\nkind = \"kill-gateways\"\nat_seconds = 2.0\nlasts_seconds = 2.0\ncount = 1\n";
    let point = measure_point(&toml(&[SEND_REQUESTS], fault));
    let lost = value(&point, Metric::Lost);
    // One sixth of 300 requests per second is lost for about one second.
    assert!((25.0..90.0).contains(&lost), "{lost} lost");
    assert_eq!(point.faults.len(), 1);
    assert!(point.faults[0].recovery_milliseconds.is_some_and(|ms| ms <= 1_000.0), "{:?}", point.faults);
}

/// Gateways that cannot reach the region of the shared counter serve requests without it.
#[test]
fn partitioned_region_gets_no_counter_replies() {
    let fault =
        "[[fault]]\nkind = \"cut-regions\"\nat_seconds = 0.0\nlasts_seconds = 6.0\nfirst = 0\nsecond = 1\n";
    let connected = measure_point(&toml(&[SEND_REQUESTS], ""));
    let partitioned = measure_point(&toml(&[SEND_REQUESTS], fault));
    assert!(value(&partitioned, Metric::CounterBytes) < 0.8 * value(&connected, Metric::CounterBytes));
    assert!(value(&partitioned, Metric::Served) > 0.8 * value(&connected, Metric::Served));
}

#[test]
fn stalled_gateway_fails_the_run() {
    let fault = "[[fault]]\nkind = \"stop-answering\"\nat_seconds = 1.0\ngateway = 2\n";
    let error = try_measure_point(&toml(&[SEND_REQUESTS], fault)).unwrap_err();
    assert!(matches!(error, LaboratoryError::GatewayStalled { gateway: 2, .. }), "{error}");
    assert_eq!(error.exit_code(), 1);
}
