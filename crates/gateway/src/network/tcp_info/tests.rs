//! Tests of the time since the last received data.

use super::{newest_byte_age, MAX_KERNEL_TICK};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time for which the test data stays unread.
const WAIT: Duration = Duration::from_millis(200);

#[test]
fn data_ages_before_accept_and_after_the_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let before_write = Instant::now();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"request").unwrap();
    let after_write = Instant::now();
    sleep(WAIT);
    let (mut accepted, _) = listener.accept().unwrap();
    accepted.read_exact(&mut [0; 7]).unwrap();
    let at_least = after_write.elapsed();
    let age = newest_byte_age(&accepted).unwrap().at_least;
    assert!(age + 2 * MAX_KERNEL_TICK >= at_least, "{age:?}, {at_least:?}");
    assert!(age <= before_write.elapsed(), "{age:?}");
}

#[test]
fn newly_received_data_has_no_age() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    sleep(WAIT);
    let before_write = Instant::now();
    client.write_all(b"request").unwrap();
    let age = newest_byte_age(&accepted).unwrap().at_least;
    assert!(age <= before_write.elapsed(), "{age:?}");
}
