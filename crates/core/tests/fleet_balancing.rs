//! Distribution of requests over the servers by all gateways of a fleet together.

mod common;

use common::events::{endpoint_delta, health_check};
use common::fleet_gateway::FleetGateway;
use common::settings::{endpoint, endpoints, in_fleet, settings_with_usage_reports};
use common::{MILLISECOND, SECOND};
use grebehook_core::{Endpoint, NonZeroMicros, ServerId, Settings};
use std::collections::BTreeSet;

/// Returns the default settings, with usage reports, of one gateway of a fleet.
fn fleet_settings(gateway_index: usize, gateway_count: usize) -> Settings {
    in_fleet(&settings_with_usage_reports(), gateway_index, gateway_count)
}

#[test]
fn gateways_with_the_same_load_report_spread_over_all_servers() {
    let mut requests = [0; 11];
    for index in 0..300 {
        let mut gateway = FleetGateway::start(fleet_settings(index, 300), 77 * index as u64 + 1);
        gateway.handle(SECOND, health_check(3, 0.0));
        let server = gateway.forward(2 * SECOND, 1, index as u64).expect("the request is forwarded");
        requests[server.0 as usize] += 1;
    }
    assert!(requests[1..].iter().all(|count| (5..=120).contains(count)), "{requests:?}");
}

/// All gateways act on the same load report before any of them observes the requests of its peers. Together
/// they send the idle server as many requests as it lacks, rather than that number each.
#[test]
fn idle_server_gets_from_all_gateways_together_what_it_lacks_and_no_more() {
    let gateway_count = 32;
    let in_flight_elsewhere = 12.0;
    let mut sent_to_idle = 0;
    for index in 0..gateway_count {
        let settings = fleet_settings(index, gateway_count);
        let mut gateway = FleetGateway::start(settings, 77 * index as u64 + 1);
        for server in 1..=10 {
            let in_flight = if server == 3 { 0.0 } else { in_flight_elsewhere };
            gateway.handle(SECOND, health_check(server, in_flight));
        }
        for k in 0..4 {
            let customer = 100 * index as u64 + k;
            let server = gateway
                .forward(SECOND + 10 * MILLISECOND, 1 + k, customer)
                .expect("the request is forwarded");
            sent_to_idle += usize::from(server == ServerId(3));
        }
    }
    let missing = in_flight_elsewhere as usize;
    assert!((missing / 2..=3 * missing).contains(&sent_to_idle), "{sent_to_idle} sent, {missing} missing");
}

/// Number of the server that warms up.
const WARMING_SERVER: u64 = 20;
/// Number of gateways that send requests while a server warms up.
const WARM_UP_GATEWAYS: usize = 300;

/// Numbers of requests that a fleet forwards while a server warms up.
#[derive(Default)]
struct RequestCounts {
    to_warming: usize,
    total: usize,
}

/// Delivers twelve requests to a gateway within three seconds. A server starts before the fifth request.
/// Every third gateway restarts before the ninth and loses its record of the requests that it sent.
fn send_while_a_server_warms_up(gateway: &mut FleetGateway, index: usize, counts: &mut RequestCounts) {
    let started = Endpoint { started_at: NonZeroMicros::new(3 * SECOND), ..endpoint(WARMING_SERVER, 0) };
    for k in 0..12 {
        let now = 2 * SECOND + k * 250 * MILLISECOND + index as u64 * 300;
        if k == 4 {
            gateway.handle(now, endpoint_delta(vec![started.clone()]));
        }
        if k == 8 && index.is_multiple_of(3) {
            *gateway = FleetGateway::start(fleet_settings(index, WARM_UP_GATEWAYS), 1_000 + index as u64);
            gateway.handle(now, endpoint_delta(vec![started.clone()]));
        }
        gateway.tick(now);
        if let Some(server) = gateway.forward(now, 100 + k, 1_000 * index as u64 + k) {
            gateway.complete(now + 50 * MILLISECOND, 100 + k, server, 0.0);
            if k >= 4 {
                counts.total += 1;
                counts.to_warming += usize::from(server == ServerId(WARMING_SERVER));
            }
        }
        for tick_offset in [100 * MILLISECOND, 200 * MILLISECOND] {
            gateway.tick(now + tick_offset);
        }
    }
}

#[test]
fn warming_server_gets_its_share_from_all_gateways_and_no_more() {
    let start = |index| FleetGateway::start(fleet_settings(index, WARM_UP_GATEWAYS), 31 * index as u64 + 7);
    let mut gateways: Vec<_> = (0..WARM_UP_GATEWAYS).map(start).collect();
    let mut counts = RequestCounts::default();
    for (index, gateway) in gateways.iter_mut().enumerate() {
        send_while_a_server_warms_up(gateway, index, &mut counts);
    }
    let RequestCounts { to_warming, total } = counts;
    // Within two seconds the server warms up to 0.36 of its capacity, 0.28 on average. The limit is three
    // times that share of what one of ten warm servers receives.
    let max_to_warming = 3.0 * 0.28 * total as f64 / 10.0;
    assert!(
        total > 1_000 && (to_warming as f64) < max_to_warming,
        "{to_warming} of {total}, at most {max_to_warming}"
    );
    // The server must get at least half of its share, or else the warm servers carry its load.
    let min_to_warming = 0.5 * 0.28 * total as f64 / 10.0;
    assert!(to_warming as f64 > min_to_warming, "{to_warming} of {total}, at least {min_to_warming}");
}

/// Each gateway reuses its connections to a few servers, and the subsets of all gateways together cover the
/// servers evenly.
#[test]
fn each_of_many_gateways_uses_only_its_subset_of_the_servers() {
    let gateway_count = 100;
    let server_count = 60;
    let requests = 40;
    let mut received = vec![0; server_count];
    for index in 0..gateway_count {
        let mut gateway = FleetGateway::start_at(
            SECOND,
            fleet_settings(index, gateway_count),
            31 * index as u64 + 7,
            endpoints(0..server_count as u64),
        );
        let mut used_servers = BTreeSet::new();
        for k in 0..requests {
            let now = 2 * SECOND + k * 200 * MILLISECOND;
            let server = gateway.forward(now, k, 1_000 * index as u64 + k).expect("the request is forwarded");
            gateway.complete(now + 50 * MILLISECOND, k, server, 0.0);
            received[server.0 as usize] += 1;
            used_servers.insert(server);
        }
        assert!((6..=12).contains(&used_servers.len()), "gateway {index} uses {used_servers:?}");
    }
    let even_count = gateway_count * requests as usize / server_count;
    assert!(
        received.iter().all(|count| (even_count * 2 / 3..=even_count * 4 / 3).contains(count)),
        "an even distribution is {even_count} requests per server: {received:?}"
    );
}
