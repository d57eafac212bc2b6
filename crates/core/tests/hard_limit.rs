//! The hard limit: each gateway grants only its even share, and a restart grants nothing again.

mod common;

use common::actions::forwarded_to;
use common::settings::{endpoint, high_rate_plan, settings};
use common::test_gateway::TestGateway;
use common::SECOND;
use grebehook_core::{AttemptStatus, Plan, Settings};

/// Returns settings in which the plan's hard limit rather than its rate limits customers.
fn hard_limit_settings() -> Settings {
    let mut settings = settings();
    settings.plans[0] =
        Plan { hard_limit_rate: 10.0, hard_limit_burst: 20.0, hard_limit_overdraft: 2.0, ..high_rate_plan() };
    settings
}

/// Sends `count` requests now. Returns how many are forwarded.
fn forwarded_of(gateway: &mut TestGateway, count: usize) -> usize {
    let mut forwarded = 0;
    for _ in 0..count {
        let (id, actions) = gateway.request_in_class(0, 5, SECOND);
        if let Some(server) = forwarded_to(&actions) {
            forwarded += 1;
            gateway.complete_attempt(id, 0, server, AttemptStatus::Ok);
        }
    }
    forwarded
}

#[test]
fn hard_limit_bucket_is_empty_at_start_and_refills_at_the_gateways_share() {
    let mut gateway = TestGateway::new(hard_limit_settings(), &[endpoint(1, 0)]);
    assert_eq!(forwarded_of(&mut gateway, 10), 0);
    gateway.run_until(SECOND + SECOND);
    assert_eq!(forwarded_of(&mut gateway, 10), 5, "the even share is half of ten per second, for one second");
}

#[test]
fn hard_limit_bucket_holds_at_most_the_gateways_share_of_burst_and_overdraft() {
    let mut gateway = TestGateway::new(hard_limit_settings(), &[endpoint(1, 0)]);
    gateway.run_until(60 * SECOND);
    assert_eq!(forwarded_of(&mut gateway, 40), 11);
}
