//! The results of attempts that are passed to outlier detection.

use fernscale_gateway::outcome::{observed_result, AttemptFailure};
use fernscale_gateway::protocol::reply::ServerReply;
use fernscale_outlier_detection::detector::AttemptResult;

/// Guards against a gateway that was stalled reporting the stall to the fleet as a server's latency.
#[test]
fn a_reply_that_was_read_late_does_not_count_as_server_latency() {
    let served: Result<(ServerReply, ()), AttemptFailure> =
        Ok((ServerReply::Completed { value: Box::default(), units: None }, ()));
    assert_eq!(observed_result(320_000, 0, &served), Some(AttemptResult::Answered(320_000)));
    assert_eq!(observed_result(320_000, 300_000, &served), Some(AttemptResult::Forwarded));
}
