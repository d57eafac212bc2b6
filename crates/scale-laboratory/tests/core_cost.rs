//! Tests of the cost of single events in a decision core. They assert on visited entries and heap only, which
//! do not depend on the speed of the machine.

mod common;

use common::{parse, toml, value};
use grebehook_scale_laboratory::core_cost;
use grebehook_scale_laboratory::metric::Metric;
use grebehook_scale_laboratory::progress::Progress;
use grebehook_scale_laboratory::results::Point;

/// Largest number of entries that a request may visit, for any number of listed servers.
const MAX_REQUEST_ENTRIES: f64 = 200.0;

/// Measures the costs of a core at one fleet size.
fn measure(servers: usize, tenants: usize) -> Point {
    let servers = format!("servers_per_service = {servers}");
    let tenants = format!("tenants = {tenants}");
    let changes = [
        ("mode = \"hollow\"", "mode = \"core\""),
        ("gateways = 6", "gateways = 2800"),
        ("servers_per_service = 24", servers.as_str()),
        ("tenants = 40", tenants.as_str()),
        ("requests_per_second = 0.0", "requests_per_second = 1000.0\ntimed_requests = 50"),
    ];
    core_cost::measure(&parse(&toml(&changes, "")).unwrap(), None, &Progress::default()).unwrap()
}

/// A single test, because the measured heap is that of the whole process.
#[test]
fn request_and_periodic_timer_visit_a_bounded_part_of_the_fleet() {
    let points = [61, 6_100, 30_500].map(|servers| measure(servers, 200));
    for point in &points {
        assert!(value(point, Metric::RequestEntries) <= MAX_REQUEST_ENTRIES, "{point:?}");
        assert_eq!(value(point, Metric::TickEntries), value(&points[0], Metric::TickEntries));
    }
    let per_server = value(&points[2], Metric::ListHeap) / 30_500.0;
    assert!((100.0..400.0).contains(&per_server), "{per_server} bytes a server");
    let few = measure(61, 500);
    let many = measure(61, 5_000);
    let per_tenant = (value(&many, Metric::TenantHeap) - value(&few, Metric::TenantHeap)) / 4_500.0;
    assert!((200.0..900.0).contains(&per_tenant), "{per_tenant} bytes a tenant");
}
