//! The rate limit of the log, which protects against clients that cause records at will.

use std::time::{Duration, Instant};

use fernscale_gateway::program::log::{Admission, RateLimited};

#[test]
fn records_beyond_the_limit_of_an_event_are_counted_and_other_events_are_unaffected() {
    let (limiter, start) = (RateLimited::new((), 3), Instant::now());
    let written = (0..10).filter(|_| limiter.admit("client.not-accepted", start).is_admitted).count();
    assert_eq!(written, 3);
    assert_eq!(limiter.admit("gateway.ends", start), Admission { is_admitted: true, suppressed: 0 });
    let later = start + Duration::from_secs(1);
    assert_eq!(
        limiter.admit("client.not-accepted", later),
        Admission { is_admitted: true, suppressed: 7 },
        "the number of suppressed records is reported once"
    );
    assert_eq!(limiter.admit("client.not-accepted", later), Admission { is_admitted: true, suppressed: 0 });
}
