//! The log's defence against whoever can cause records at will.

use std::time::{Duration, Instant};

use fernscale_gateway::program::log::RateLimited;

#[test]
fn an_event_that_comes_too_often_is_counted_and_no_other_suffers() {
    let (limiter, start) = (RateLimited::new((), 3), Instant::now());
    let passed = (0..10).filter(|_| limiter.admit("client.not-accepted", start).0).count();
    assert_eq!(passed, 3);
    assert_eq!(limiter.admit("gateway.ends", start), (true, 0));
    let later = start + Duration::from_secs(1);
    assert_eq!(limiter.admit("client.not-accepted", later), (true, 7), "those left out are told once");
    assert_eq!(limiter.admit("client.not-accepted", later), (true, 0));
}
