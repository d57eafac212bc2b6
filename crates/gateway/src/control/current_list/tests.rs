//! Tests of which lists of another process are newer than the current one.

use super::{ListOrigin, ListState, UpdateHeader};
use crate::lifecycle::handover_role::HandoverRole::{self, Predecessor, Successor};
use std::net::SocketAddr;

/// Agent of the current list.
const AGENT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Another agent.
const OTHER_AGENT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);

/// Returns a current list of version 41.
fn current(origin: ListOrigin) -> ListState {
    ListState { agent: AGENT, version: 41, newest_version: 41, origin, revision: 0 }
}

/// Returns the offer of a complete list from discovery.
fn complete(agent: SocketAddr, version: u64) -> UpdateHeader {
    UpdateHeader {
        agent,
        version,
        newest_version: version,
        origin: ListOrigin::Discovery,
        base_version: None,
        endpoint_count: 0,
    }
}

/// Returns the offer of changes since a version.
fn delta(agent: SocketAddr, base_version: u64, version: u64) -> UpdateHeader {
    UpdateHeader { base_version: Some(base_version), ..complete(agent, version) }
}

#[test]
fn configured_list_gives_way_to_one_of_the_predecessor_that_is_no_older() {
    let state = current(ListOrigin::Configuration);
    for (offer, is_accepted) in [
        (complete(AGENT, 40), false),
        (complete(AGENT, 41), true),
        (complete(AGENT, 42), true),
        (complete(OTHER_AGENT, 42), true),
        // Versions of another agent that has been followed since version 50 of an earlier one.
        (UpdateHeader { newest_version: 50, ..complete(OTHER_AGENT, 3) }, true),
        (UpdateHeader { newest_version: 40, ..complete(OTHER_AGENT, 3) }, false),
        (delta(OTHER_AGENT, 41, 42), false),
    ] {
        assert_eq!(state.accepts(&offer, Predecessor), is_accepted, "{offer:?}");
    }
}

#[test]
fn list_of_discovery_gives_way_only_to_a_newer_version_of_the_same_agent() {
    let state = current(ListOrigin::Discovery);
    let both: [HandoverRole; 2] = [Predecessor, Successor];
    for (offer, is_accepted) in [
        (complete(AGENT, 41), false),
        (complete(AGENT, 42), true),
        (delta(AGENT, 41, 42), true),
        (delta(AGENT, 40, 43), true),
        // Changes between versions 41 and 42 would be missed.
        (delta(AGENT, 42, 43), false),
        (delta(OTHER_AGENT, 41, 42), false),
    ] {
        for from in both {
            assert_eq!(state.accepts(&offer, from), is_accepted, "{offer:?} of the {from}");
        }
    }
}

#[test]
fn list_of_another_agent_is_followed_only_if_discovery_told_it_to_the_successor() {
    let state = current(ListOrigin::Discovery);
    let told = complete(OTHER_AGENT, 3);
    let configured = UpdateHeader { origin: ListOrigin::Configuration, ..told };
    assert!(state.accepts(&told, Successor));
    assert!(!state.accepts(&told, Predecessor));
    assert!(!state.accepts(&configured, Successor));
}
