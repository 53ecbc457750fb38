//! What the errors of calls to the system mean.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

use fernscale_gateway::transport::ending::ConnectionEnd;
use fernscale_gateway::transport::stream::{read_exact, write_all};
use fernscale_gateway::transport::syscall::{connect_with_retries, uninterrupted, AcceptFailure};

#[test]
fn a_call_that_signals_interrupt_is_made_again_and_any_other_error_is_told() {
    for (errors, last) in
        [(0, Ok(7)), (3, Ok(7)), (1, Err(ErrorKind::WouldBlock)), (2, Err(ErrorKind::TimedOut))]
    {
        let mut made = 0;
        let end = uninterrupted(|| {
            made += 1;
            if made <= errors {
                return Err(Error::from(ErrorKind::Interrupted));
            }
            last.map_err(Error::from)
        });
        assert_eq!((made, end.map_err(|error| error.kind())), (errors + 1, last));
    }
}

#[test]
fn a_call_that_is_interrupted_on_and_on_is_one_that_is_not_ready() {
    let mut made = 0;
    let end: Result<(), Error> = uninterrupted(|| {
        made += 1;
        assert!(made < 1_000, "it never gives the loop back");
        Err(Error::from(ErrorKind::Interrupted))
    });
    assert_eq!(end.map_err(|error| error.kind()), Err(ErrorKind::WouldBlock));
}

#[test]
fn only_what_the_machine_lacks_keeps_others_from_being_accepted() {
    let of = |number| AcceptFailure::classify(&Error::from_raw_os_error(number));
    // EMFILE, ENFILE, ENOBUFS, ENOMEM.
    assert!([24, 23, 105, 12].into_iter().all(|number| of(number) == AcceptFailure::NoResources));
    // ECONNABORTED, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH, ETIMEDOUT.
    assert!([103, 4, 71, 100, 113, 110]
        .into_iter()
        .all(|number| of(number) == AcceptFailure::ThisConnection));
    assert!(AcceptFailure::ThisConnection.backoff() < AcceptFailure::NoResources.backoff());
}

/// What becomes of dials that fail with these errors, the last of them for ever; `None`: one that comes up. And how many there were.
fn after_dials(errors: &[Option<i32>]) -> (Result<(), ConnectionEnd>, usize) {
    let mut dials = 0;
    let end = async_io::block_on(connect_with_retries(|| {
        let error = errors[dials.min(errors.len() - 1)];
        dials += 1;
        async move { error.map_or(Ok(()), |error| Err(Error::from_raw_os_error(error))) }
    }));
    (end.map_err(|error| ConnectionEnd::from_connect_error(&error)), dials)
}

#[test]
fn a_dial_that_fails_for_want_of_something_here_is_tried_again_and_never_held_against_the_server() {
    // EINTR, EAGAIN, ENOMEM, EADDRNOTAVAIL, ENOBUFS.
    for here in [4, 11, 12, 99, 105] {
        assert_eq!(after_dials(&[Some(here), Some(here), None]), (Ok(()), 3), "{here}");
        assert_eq!(after_dials(&[Some(here)]), (Err(ConnectionEnd::NoDescriptor), 10), "{here}");
    }
    // ENFILE, EMFILE: what has one must end first.
    assert!([23, 24]
        .into_iter()
        .all(|here| after_dials(&[Some(here)]) == (Err(ConnectionEnd::NoDescriptor), 1)));
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    let there = [101, 104, 110, 111, 113];
    assert!(there.into_iter().all(|there| after_dials(&[Some(there)]) == (Err(ConnectionEnd::Refused), 1)));
}

/// Two ends of a connection, the first of the event loop.
fn connection() -> (async_io::Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (near, _) = listener.accept().expect("accepted");
    (async_io::Async::new(near).expect("registered"), far)
}

#[test]
fn whole_pieces_pass_though_each_call_takes_or_gives_a_part() {
    let bytes: Vec<u8> = (0..3_000_000u32).map(|at| at as u8).collect();
    let (near, mut far) = connection();
    let expected = bytes.clone();
    let reads = thread::spawn(move || {
        let (mut came, mut part) = (Vec::new(), [0; 1_013]);
        while came.len() < expected.len() {
            let count = far.read(&mut part).expect("read");
            assert!(count > 0, "it ends too early");
            came.extend_from_slice(&part[..count]);
        }
        assert!(came == expected);
        expected.chunks(777).for_each(|part| far.write_all(part).expect("written"));
    });
    async_io::block_on(write_all(&near, &bytes)).expect("written");
    let came = async_io::block_on(read_exact(&near, bytes.len())).expect("read");
    assert!(came == bytes);
    reads.join().expect("the other end");
    let ended = async_io::block_on(read_exact(&near, 1)).map_err(|error| error.kind());
    assert_eq!(ended, Err(ErrorKind::UnexpectedEof));
}
