//! What ends of attempts tell outlier detection.

use fernscale_gateway::outcome::{observed_result, AttemptFailure};
use fernscale_gateway::protocol::call::ServerReply;
use fernscale_outlier_detection::detector::AttemptResult;

/// Guards against a gateway that stood still reporting its own standstill to the fleet as a server's latency.
#[test]
fn an_answer_that_was_read_late_tells_nothing_of_its_servers_latency() {
    let served: Result<(ServerReply, ()), AttemptFailure> =
        Ok((ServerReply::Completed { value: Box::default(), units: None }, ()));
    assert_eq!(observed_result(320_000, 0, &served), Some(AttemptResult::Answered(320_000)));
    assert_eq!(observed_result(320_000, 300_000, &served), Some(AttemptResult::Forwarded));
}
