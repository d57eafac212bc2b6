use super::*;

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn exhaustion_is_told_from_errors_of_a_connection() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_exhaustion(&error(errno)) && may_pass(&error(errno)), "{errno}");
    }
    for errno in [Errno::CONNABORTED, Errno::PROTO, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert!(!is_exhaustion(&error(errno)), "{errno}");
    }
}

#[test]
fn what_no_wait_mends_is_no_passing_error() {
    for errno in [Errno::ACCESS, Errno::INVAL, Errno::NOENT, Errno::AFNOSUPPORT] {
        assert!(!may_pass(&error(errno)), "{errno}");
    }
    for errno in [Errno::ADDRINUSE, Errno::ADDRNOTAVAIL, Errno::INTR, Errno::IO] {
        assert!(may_pass(&error(errno)), "{errno}");
    }
}
