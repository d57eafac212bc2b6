//! Quota over all gateways of a fleet, enforced by gossip and reported usage.

mod common;

use common::actions::{counter_calls, forwarded_to};
use common::fleet_gateway::FleetGateway;
use common::settings::{
    endpoint, high_rate_plan, in_fleet, settings_with_usage_reports, with_shared_counter,
};
use common::{MILLISECOND, SECOND};
use grebehook_core::{Action, Event, Plan, RequestArrival, Settings};

/// Customer whose requests are counted.
const CUSTOMER: u64 = 5;

/// Returns the default settings with usage reports and gossip between gateways.
fn gossip_settings() -> Settings {
    let mut settings = settings_with_usage_reports();
    settings.capabilities.gossip = true;
    settings
}

#[test]
fn small_customer_within_its_quota_is_served_at_each_of_its_gateways() {
    // The even share of two units per second over 160 gateways is one request in eighty seconds.
    let is_served = |index: &usize| {
        let settings = in_fleet(&settings_with_usage_reports(), *index, 160);
        let mut gateway = FleetGateway::start(settings, *index as u64);
        gateway.forward(2 * SECOND, 1, CUSTOMER).is_some()
    };
    assert_eq!((0..160).filter(is_served).count(), 160);
}

/// Reports a usage of five times the quota to the first gateway and delivers the gossip that it sends.
/// Returns the number of messages.
fn publish_excess_usage(gateways: &mut [FleetGateway]) -> usize {
    let server = gateways[0].forward(2 * SECOND, 1, CUSTOMER).expect("the first request is within the quota");
    gateways[0].complete(2 * SECOND + 50 * MILLISECOND, 1, server, 5.0);
    let mut messages = 0;
    for action in gateways[0].tick(2 * SECOND + 100 * MILLISECOND) {
        if let Action::SendGossip { to, message } = action {
            let received = Event::GossipReceived { from: 0, message };
            gateways[to].handle(2 * SECOND + 110 * MILLISECOND, received);
            messages += 1;
        }
    }
    messages
}

#[test]
fn customer_over_its_quota_is_limited_over_all_gateways_that_gossip_reaches() {
    let gateway_count = 160;
    let settings = gossip_settings();
    let start = |index| FleetGateway::start(in_fleet(&settings, index, gateway_count), index as u64);
    let mut gateways: Vec<_> = (0..gateway_count).map(start).collect();
    assert_eq!(publish_excess_usage(&mut gateways), gateway_count - 1);
    let mut forwarded = 0;
    for (index, gateway) in gateways.iter_mut().enumerate() {
        for k in 0..5 {
            let now = 2 * SECOND
                + 200 * MILLISECOND
                + (index as u64 % 10) * 10 * MILLISECOND
                + k * 300 * MILLISECOND;
            if let Some(server) = gateway.forward(now, 10 + k, CUSTOMER) {
                gateway.complete(now + 50 * MILLISECOND, 10 + k, server, 0.0);
                forwarded += 1;
            }
        }
    }
    // The gateways forward about a fifth of 800 requests: neither a burst each nor none at all.
    assert!((80..=280).contains(&forwarded), "{forwarded} requests forwarded");
}

#[test]
fn hard_limits_of_all_gateways_add_up_to_the_plans_also_after_restarts() {
    let mut settings = settings_with_usage_reports();
    settings.plans[0] = Plan {
        hard_limit_rate: 40.0,
        hard_limit_burst: 320.0,
        hard_limit_overdraft: 32.0,
        ..high_rate_plan()
    };
    let gateway_count = 160;
    let mut forwarded = 0;
    for index in 0..gateway_count {
        let settings = in_fleet(&settings, index, gateway_count);
        let mut gateway = FleetGateway::start(settings.clone(), index as u64);
        for k in 0..40 {
            let now = 2 * SECOND + k * 250 * MILLISECOND;
            if k == 20 && index % 2 == 0 {
                let (settings, seed) = (settings.clone(), 9_000 + index as u64);
                gateway = FleetGateway::start_at(now, settings, seed, vec![endpoint(1, 0)]);
            }
            if let Some(server) = gateway.forward(now, k, CUSTOMER) {
                gateway.complete(now + 50 * MILLISECOND, k, server, 0.0);
                forwarded += 1;
            }
        }
    }
    // Eleven seconds have passed since the start. The bucket holds 320 units and may be overdrawn by 32.
    assert!(forwarded > 200 && forwarded as f64 <= 352.0 + 11.0 * 40.0, "{forwarded} requests forwarded");
}

#[test]
fn malformed_gossip_is_ignored_and_grants_no_units() {
    let mut gateway = FleetGateway::start(in_fleet(&gossip_settings(), 0, 160), 1);
    // Version 1 and incarnation 1; then customer 7, plan 0, 160 gateways, and the highest total and demand.
    let valid = [&[1, 0, 0, 1][..], &7u64.to_be_bytes(), &[0, 0, 160, 255, 255, 255, 255]].concat();
    // The sender is this gateway or none of the fleet, the message is truncated or of another version, the
    // plan is unknown, or the customer has no gateways.
    let malformed: [(usize, Vec<u8>); 8] = [
        (0, valid.clone()),
        (160, valid.clone()),
        (usize::MAX, valid.clone()),
        (3, valid[..9].to_vec()),
        (3, Vec::new()),
        (3, vec![9; 64]),
        (3, [&valid[..12], &[200], &valid[13..]].concat()),
        (3, [&valid[..13], &[0, 0], &valid[15..]].concat()),
    ];
    for (from, message) in malformed {
        let actions = gateway.handle(2 * SECOND, Event::GossipReceived { from, message });
        assert!(
            actions.iter().all(|action| matches!(action, Action::Timer { .. })),
            "malformed gossip causes {actions:?}"
        );
    }
    let forwarded = (0..60).filter(|k| gateway.forward(3 * SECOND, *k, 7).is_some()).count();
    assert!((1..=8).contains(&forwarded), "{forwarded} of 60 forwarded at ten times the quota");
    let request = RequestArrival { customer_gateway_count: 0, ..gateway.arrival(90, 8) };
    let forwarded = gateway.forward_request(3 * SECOND, request);
    assert!(forwarded.is_some(), "a request whose customer has no gateways is not forwarded");
}

#[test]
fn gossip_sent_stays_within_the_budget_that_requests_earn() {
    let mut gateway = FleetGateway::start(in_fleet(&gossip_settings(), 0, 400), 1);
    let mut messages = 0;
    for k in 0..400 {
        let now = 2 * SECOND + k * 100 * MILLISECOND;
        if let Some(server) = gateway.forward(now, k, k) {
            gateway.complete(now + 20 * MILLISECOND, k, server, 5.0);
        }
        let actions = gateway.tick(now + 50 * MILLISECOND);
        messages += actions.iter().filter(|action| matches!(action, Action::SendGossip { .. })).count();
    }
    assert!(messages > 300 && messages <= 200 + 6 * 400, "{messages} gossip messages sent");
}

#[test]
fn plan_without_a_rate_is_neither_limited_nor_counted_in_a_fleet_of_any_size() {
    let mut settings = with_shared_counter(settings_with_usage_reports());
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    for gateway_count in [2, 160] {
        let mut gateway = FleetGateway::start(in_fleet(&settings, 0, gateway_count), 3);
        for k in 0..20 {
            let now = 2 * SECOND + k * 100 * MILLISECOND;
            let actions = gateway.request(now, k, CUSTOMER);
            let server = forwarded_to(&actions).expect("the request is forwarded at once");
            assert!(counter_calls(&actions).is_empty(), "counter called for a plan without a rate");
            gateway.complete(now + 50 * MILLISECOND, k, server, 0.0);
        }
    }
}
