//! Tests of the parsing and removal of headers.

use super::{
    customer, has_unambiguous_body_end, load_report, quota_parameters, remove_hop_by_hop, reported_usage,
    settled_units, single, InvalidHeader, CUSTOMER, QUOTA_PARAMETERS, REQUEST_ID,
};
use grebehook_core::{CustomerId, LoadReport};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Returns headers with these names and values, in this order.
fn header_map(headers: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    map
}

#[test]
fn header_that_must_occur_once_is_invalid_when_missing_or_repeated() {
    let once = header_map(&[("x-call-id", "a")]);
    assert_eq!(single(&once, REQUEST_ID).unwrap(), "a");
    for headers in [header_map(&[]), header_map(&[("x-call-id", "a"), ("x-call-id", "a")])] {
        let error = single(&headers, REQUEST_ID).unwrap_err();
        assert_eq!(error.to_string(), "x-call-id is missing or malformed");
    }
}

#[test]
fn customer_is_sixteen_hexadecimal_digits_below_the_limit() {
    let read = |id| customer(&header_map(&[("api-customer", id)]));
    assert_eq!(read("00000000000000fF").unwrap(), CustomerId(0xff));
    assert_eq!(read("00000001ffffffff").unwrap(), CustomerId((1 << 33) - 1));
    for id in ["0000000200000000", "ff", "+0000000000000ff", "000000000000000g", ""] {
        assert_eq!(read(id).unwrap_err(), InvalidHeader(CUSTOMER), "{id}");
    }
}

#[test]
fn quota_parameters_need_all_three_values_in_any_order() {
    let read = |value| quota_parameters(&header_map(&[("api-terms", value)]));
    for text in ["units=2.5,spread=3,first=1", "first = 1, other=x, spread=3 ,units=2.5"] {
        let quota = read(text).unwrap();
        assert_eq!((quota.units, quota.customer_gateway_count, quota.first_gateway), (2.5, 3, 1), "{text}");
    }
    for text in [
        "units=2,spread=3",
        "units=2,spread=3,first=-1",
        "units=x,spread=3,first=1",
        "units=2,spread=3,first=1,",
    ] {
        assert_eq!(read(text).err(), Some(InvalidHeader(QUOTA_PARAMETERS)), "{text}");
    }
}

#[test]
fn reports_of_servers_are_ignored_where_they_are_impossible() {
    let read_usage = |percent| reported_usage(&header_map(&[("api-usage", percent)]));
    assert_eq!(read_usage(" 150 "), Some(1.5));
    assert_eq!(["-1", "inf", "x"].map(read_usage), [None; 3]);
    let read_settled_units = |units| settled_units(&header_map(&[("api-charge", units)]), 4.0);
    assert_eq!(read_settled_units("4"), Some(4.0));
    assert_eq!(["0", "4.1", "NaN", "x"].map(read_settled_units), [None; 4]);
}

#[test]
fn load_report_is_read_by_both_sets_of_names() {
    let expected = LoadReport { in_flight: Some(1.0), utilization: Some(0.5), ..LoadReport::default() };
    for text in ["inflight=1,util=0.5", "outstanding = 1, utilization=0.5, queue=x"] {
        assert_eq!(load_report(Some(&HeaderValue::from_static(text))), Some(expected), "{text}");
    }
    assert_eq!(load_report(Some(&HeaderValue::from_static("other=1"))), None);
    assert_eq!(load_report(None), None);
}

#[test]
fn body_end_is_defined_by_one_header_only() {
    let length = ("content-length", "1");
    let coding = ("transfer-encoding", "chunked");
    assert!(has_unambiguous_body_end(&header_map(&[length])));
    assert!(has_unambiguous_body_end(&header_map(&[coding])));
    assert!(has_unambiguous_body_end(&header_map(&[("connection", "x, Close")])));
    assert!(!has_unambiguous_body_end(&header_map(&[length, coding])));
    assert!(!has_unambiguous_body_end(&header_map(&[("connection", "keep-alive")])));
    assert!(!has_unambiguous_body_end(&header_map(&[])));
}

#[test]
fn hop_by_hop_headers_are_removed_with_those_that_connection_lists() {
    let mut headers = header_map(&[
        ("connection", "x-listed, close"),
        ("x-listed", "a"),
        ("keep-alive", "a"),
        ("te", "a"),
        ("content-length", "1"),
        ("transfer-encoding", "chunked"),
        ("x-call-id", "a"),
    ]);
    remove_hop_by_hop(&mut headers);
    assert_eq!(headers, header_map(&[("x-call-id", "a")]));
}
