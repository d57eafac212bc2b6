//! How the gateways of a fleet together spread requests over the servers.

mod common;

use common::events::{endpoint_delta, health_check};
use common::fleet_gateway::FleetGateway;
use common::settings::{endpoint, endpoints, in_fleet, settings_with_usage_reports};
use common::{MILLISECOND, SECOND};
use grebehook_core::{Endpoint, ServerId, Settings};
use std::collections::BTreeSet;

/// The default settings of one gateway of so many, with usage reports.
fn fleet_settings(gateway_index: usize, gateway_count: usize) -> Settings {
    in_fleet(&settings_with_usage_reports(), gateway_index, gateway_count)
}

#[test]
fn gateways_with_the_same_load_report_spread_over_all_servers() {
    let mut requests = [0; 11];
    for index in 0..300 {
        let mut gateway = FleetGateway::start(fleet_settings(index, 300), 77 * index as u64 + 1);
        gateway.handle(SECOND, health_check(3, 0.0));
        let server = gateway.forward(2 * SECOND, 1, index as u64).expect("forwarded");
        requests[server.0 as usize] += 1;
    }
    assert!(requests[1..].iter().all(|count| (5..=120).contains(count)), "{requests:?}");
}

/// Gateways act on the same load report before any sees what its peers sent: together they fill the idle server,
/// and not each on its own.
#[test]
fn idle_server_gets_from_all_gateways_together_what_it_lacks_and_no_more() {
    let gateway_count = 32;
    let in_flight_elsewhere = 12.0;
    let mut to_idle = 0;
    for index in 0..gateway_count {
        let settings = fleet_settings(index, gateway_count);
        let mut gateway = FleetGateway::start(settings, 77 * index as u64 + 1);
        for server in 1..=10 {
            let in_flight = if server == 3 { 0.0 } else { in_flight_elsewhere };
            gateway.handle(SECOND, health_check(server, in_flight));
        }
        for k in 0..4 {
            let customer = 100 * index as u64 + k;
            let server = gateway.forward(SECOND + 10 * MILLISECOND, 1 + k, customer).expect("forwarded");
            to_idle += usize::from(server == ServerId(3));
        }
    }
    let lacks = in_flight_elsewhere as usize;
    assert!((lacks / 2..=3 * lacks).contains(&to_idle), "{to_idle} sent, {lacks} lacking");
}

/// The server that warms up.
const WARMING: u64 = 20;
/// How many gateways send requests meanwhile.
const WARM_UP_FLEET: usize = 300;

/// Requests of a fleet while a server warms up.
#[derive(Default)]
struct RequestCounts {
    /// To the server that warms up.
    to_warming: usize,
    /// To all servers.
    total: usize,
}

/// Sends a gateway's twelve requests in three seconds; a server starts before the fifth, and every third gateway
/// restarts before the ninth, with no memory of what it sent.
fn send_while_a_server_warms_up(gateway: &mut FleetGateway, index: usize, counts: &mut RequestCounts) {
    let started = Endpoint { started_at: Some(3 * SECOND), ..endpoint(WARMING, 0) };
    for k in 0..12 {
        let now = 2 * SECOND + k * 250 * MILLISECOND + index as u64 * 300;
        if k == 4 {
            gateway.handle(now, endpoint_delta(vec![started.clone()]));
        }
        if k == 8 && index.is_multiple_of(3) {
            *gateway = FleetGateway::start(fleet_settings(index, WARM_UP_FLEET), 1_000 + index as u64);
            gateway.handle(now, endpoint_delta(vec![started.clone()]));
        }
        gateway.tick(now);
        if let Some(server) = gateway.forward(now, 100 + k, 1_000 * index as u64 + k) {
            gateway.complete(now + 50 * MILLISECOND, 100 + k, server, 0.0);
            if k >= 4 {
                counts.total += 1;
                counts.to_warming += usize::from(server == ServerId(WARMING));
            }
        }
        for later in [100 * MILLISECOND, 200 * MILLISECOND] {
            gateway.tick(now + later);
        }
    }
}

#[test]
fn warming_server_gets_its_share_from_all_gateways_and_no_more() {
    let start = |index| FleetGateway::start(fleet_settings(index, WARM_UP_FLEET), 31 * index as u64 + 7);
    let mut gateways: Vec<_> = (0..WARM_UP_FLEET).map(start).collect();
    let mut counts = RequestCounts::default();
    for (index, gateway) in gateways.iter_mut().enumerate() {
        send_while_a_server_warms_up(gateway, index, &mut counts);
    }
    let RequestCounts { to_warming, total } = counts;
    // Two seconds at up to 0.36 of its capacity, three times what a warm one of ten servers takes meanwhile.
    let most = 3.0 * 0.28 * total as f64 / 10.0;
    assert!(total > 1_000 && (to_warming as f64) < most, "{to_warming} of {total}, at most {most}");
    // At least half of its share, or the warm servers must do its work.
    let least = 0.5 * 0.28 * total as f64 / 10.0;
    assert!(to_warming as f64 > least, "{to_warming} of {total}, at least {least}");
}

/// Each gateway reuses the connections to a few servers, and the subsets of all cover the servers evenly.
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
        let mut used = BTreeSet::new();
        for k in 0..requests {
            let now = 2 * SECOND + k * 200 * MILLISECOND;
            let server = gateway.forward(now, k, 1_000 * index as u64 + k).expect("forwarded");
            gateway.complete(now + 50 * MILLISECOND, k, server, 0.0);
            received[server.0 as usize] += 1;
            used.insert(server);
        }
        assert!((6..=12).contains(&used.len()), "gateway {index} uses {used:?}");
    }
    let even = gateway_count * requests as usize / server_count;
    assert!(
        received.iter().all(|count| (even * 2 / 3..=even * 4 / 3).contains(count)),
        "{even} would be even: {received:?}"
    );
}
