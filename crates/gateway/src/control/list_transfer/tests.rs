//! Tests of the encoding of lists between processes.

use super::{write_update, TransferError, UpdateReader, MAX_LINE_BYTES};
use crate::config::names::WireNames;
use crate::control::current_list::{ListOrigin, ListUpdate, UpdateHeader};
use crate::control::endpoint_list::ListedEndpoint;
use grebehook_core::{Endpoint, EndpointState, NonZeroMicros, ServerId};
use tokio::runtime::Builder;

/// Number of a zone that no settings list.
const UNLISTED_ZONE: u32 = (1 << 31) + 77;

/// Returns the names of settings with these zones.
fn names(zones: &[&str]) -> WireNames {
    let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
    WireNames { classes: Vec::new(), plans: Vec::new(), zones }
}

/// Returns an update with entries of these zones, in all states.
fn update(zones: &[u32]) -> ListUpdate {
    let states = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
    let entry = |(number, zone): (usize, &u32)| ListedEndpoint {
        address: "[::1]:3000".parse().expect("an address"),
        endpoint: Endpoint {
            server: ServerId(u64::MAX - number as u64),
            state: states[number % states.len()],
            started_at: NonZeroMicros::new(number as u64 * 1_000_000_007),
            relative_size: 0.1 + number as f64,
            zone: *zone,
            cell: u32::MAX,
        },
    };
    let endpoints: Vec<ListedEndpoint> = zones.iter().enumerate().map(entry).collect();
    let header = UpdateHeader {
        agent: "127.0.0.1:8500".parse().expect("an address"),
        version: u64::MAX,
        newest_version: u64::MAX,
        origin: ListOrigin::Discovery,
        base_version: Some(7),
        endpoint_count: endpoints.len(),
    };
    ListUpdate { header, endpoints }
}

/// Encodes an update by the names of the writer's settings.
fn encoded(update: &ListUpdate, names: &WireNames) -> Vec<u8> {
    let mut data = Vec::new();
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(write_update(&mut data, update, names)).expect("the update is written");
    data
}

/// Decodes an update by the names of the reader's settings.
fn decoded(data: &[u8], names: WireNames) -> Result<Option<ListUpdate>, TransferError> {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let mut reader = UpdateReader::new(data, names);
        let Some(header) = reader.read_header().await? else { return Ok(None) };
        let endpoints = reader.read_endpoints(header.endpoint_count).await?;
        Ok(Some(ListUpdate { header, endpoints }))
    })
}

/// Guards against servers in the wrong zone at a process whose settings list the zones in another order.
#[test]
fn entries_are_the_same_at_a_process_with_other_zones() {
    let writer = names(&["a", "b"]);
    let sent = update(&[0, 1, 2, UNLISTED_ZONE, 0, 1]);
    let received = decoded(&encoded(&sent, &writer), names(&["c", "b", "a"]));
    let received = received.expect("the data is valid").expect("there is an update");
    assert_eq!(format!("{:?}", received.header), format!("{:?}", sent.header));
    let zones: Vec<u32> = received.endpoints.iter().map(|listed| listed.endpoint.zone).collect();
    assert_eq!(zones, [2, 1, 3, UNLISTED_ZONE, 2, 1]);
    for (received, sent) in received.endpoints.into_iter().zip(sent.endpoints) {
        let zone = sent.endpoint.zone;
        let received = ListedEndpoint { endpoint: Endpoint { zone, ..received.endpoint }, ..received };
        assert_eq!(format!("{received:?}"), format!("{sent:?}"));
    }
}

/// Guards against half a list taken for a whole one, wherever it is cut off, and against fields of a later version.
#[test]
fn data_that_is_cut_off_anywhere_is_no_update() {
    let data = encoded(&update(&[0, 0]), &names(&["a"]));
    assert!(decoded(&[], names(&["a"])).expect("an end before an update is no error").is_none());
    for length in 1..data.len() {
        let result = decoded(&data[..length], names(&["a"]));
        assert!(matches!(result, Err(TransferError::CutOff)), "{length} bytes");
    }
    let text = String::from_utf8(data).expect("text").replace("{\"", "{\"later\":[{}],\"");
    assert!(decoded(text.as_bytes(), names(&["a"])).expect("further fields are ignored").is_some());
    let line = "x".repeat(MAX_LINE_BYTES as usize);
    assert!(matches!(decoded(line.as_bytes(), names(&["a"])), Err(TransferError::LineTooLong)));
}
