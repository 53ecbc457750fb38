//! The handling of system call errors, and of partial reads and writes.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use fernscale_gateway::transport::ending::ConnectionEnd;
use fernscale_gateway::transport::stream::{read_exact, write_all};
use fernscale_gateway::transport::syscall::{connect_with_retries, uninterrupted, AcceptFailure};

#[test]
fn an_interrupted_system_call_is_retried_and_any_other_error_is_returned() {
    for (interruptions, result) in
        [(0, Ok(7)), (3, Ok(7)), (1, Err(ErrorKind::WouldBlock)), (2, Err(ErrorKind::TimedOut))]
    {
        let mut calls = 0;
        let returned = uninterrupted(|| {
            calls += 1;
            if calls <= interruptions {
                return Err(Error::from(ErrorKind::Interrupted));
            }
            result.map_err(Error::from)
        });
        assert_eq!((calls, returned.map_err(|error| error.kind())), (interruptions + 1, result));
    }
}

#[test]
fn a_system_call_that_is_interrupted_every_time_returns_would_block() {
    let mut calls = 0;
    let returned: Result<(), Error> = uninterrupted(|| {
        calls += 1;
        assert!(calls < 1_000, "the retries never end");
        Err(Error::from(ErrorKind::Interrupted))
    });
    assert_eq!(returned.map_err(|error| error.kind()), Err(ErrorKind::WouldBlock));
}

#[test]
fn only_a_lack_of_resources_delays_later_connections() {
    let classify = |code| AcceptFailure::classify(&Error::from_raw_os_error(code));
    // EMFILE, ENFILE, ENOBUFS, ENOMEM.
    assert!([24, 23, 105, 12].into_iter().all(|code| classify(code) == AcceptFailure::NoResources));
    // ECONNABORTED, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, ETIMEDOUT.
    assert!([103, 4, 71, 100, 113, 110]
        .into_iter()
        .all(|code| classify(code) == AcceptFailure::ThisConnection));
    assert!(AcceptFailure::ThisConnection.backoff() < AcceptFailure::NoResources.backoff());
}

/// The result of a dial whose attempts fail with these errors in turn, and the number of attempts. `None` is a successful attempt;
/// the last entry is repeated.
fn dial_with_errors(errors: &[Option<i32>]) -> (Result<(), ConnectionEnd>, usize) {
    let mut attempts = 0;
    let result = async_io::block_on(connect_with_retries(|| {
        let error = errors[attempts.min(errors.len() - 1)];
        attempts += 1;
        async move { error.map_or(Ok(()), |error| Err(Error::from_raw_os_error(error))) }
    }));
    (result.map_err(|error| ConnectionEnd::from_connect_error(&error)), attempts)
}

#[test]
fn a_dial_that_fails_for_lack_of_local_resources_is_retried_and_never_blamed_on_the_server() {
    // EINTR, EAGAIN, ENOMEM, EADDRNOTAVAIL, ENOBUFS.
    for local in [4, 11, 12, 99, 105] {
        assert_eq!(dial_with_errors(&[Some(local), Some(local), None]), (Ok(()), 3), "{local}");
        assert_eq!(dial_with_errors(&[Some(local)]), (Err(ConnectionEnd::NoDescriptor), 10), "{local}");
    }
    // ENFILE, EMFILE: a retry can't succeed before another descriptor is closed.
    assert!([23, 24]
        .into_iter()
        .all(|local| dial_with_errors(&[Some(local)]) == (Err(ConnectionEnd::NoDescriptor), 1)));
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    let remote = [101, 104, 110, 111, 113];
    assert!(remote
        .into_iter()
        .all(|error| dial_with_errors(&[Some(error)]) == (Err(ConnectionEnd::Refused), 1)));
}

/// Both ends of a connection, the first of which is registered with the event loop.
fn connection() -> (async_io::Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (near, _) = listener.accept().expect("accepted");
    (async_io::Async::new(near).expect("registered"), far)
}

#[test]
fn all_bytes_are_transferred_although_each_system_call_transfers_only_some() {
    let bytes: Vec<u8> = (0..3_000_000u32).map(|index| index as u8).collect();
    let (near, mut far) = connection();
    let expected = bytes.clone();
    let peer = thread::spawn(move || {
        let (mut received, mut chunk) = (Vec::new(), [0; 1_013]);
        while received.len() < expected.len() {
            let count = far.read(&mut chunk).expect("read");
            assert!(count > 0, "the connection ended too early");
            received.extend_from_slice(&chunk[..count]);
        }
        assert!(received == expected);
        expected.chunks(777).for_each(|chunk| far.write_all(chunk).expect("written"));
    });
    async_io::block_on(write_all(&near, &bytes)).expect("written");
    let received = async_io::block_on(read_exact(&near, bytes.len())).expect("read");
    assert!(received == bytes);
    peer.join().expect("the peer thread");
    let ended = async_io::block_on(read_exact(&near, 1)).map_err(|error| error.kind());
    assert_eq!(ended, Err(ErrorKind::UnexpectedEof));
}
