//! The unanswered commands of one connection. Replies are written in the order of the commands.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use fernscale_policy::Id;

use crate::operator::metrics::ResponseResult;
use crate::shared::{FinalReply, Reservations, ResponseStream};

/// Maximum number of unanswered commands on one connection. No more commands are read beyond it.
pub(super) const MAX_PIPELINED: usize = 32;

/// The bytes of a reply, complete or as a stream of pieces.
pub(super) enum Response {
    Complete(Vec<u8>),
    Streamed(ResponseStream),
}

/// A request without a final reply.
pub(super) struct OpenRequest {
    pub(super) id: Id,
    pub(super) ticket: u64,
    /// Set when the client disconnects, so that no further attempt begins.
    pub(super) client_gone: Rc<Cell<bool>>,
}

/// How a reply is counted in the metrics after it is written.
#[derive(Clone, Copy)]
pub(super) struct MetricLabels {
    /// The number of the request class.
    pub(super) class: usize,
    pub(super) result: ResponseResult,
}

/// A reply that can be written now.
pub(super) struct ReadyReply {
    pub(super) response: Response,
    pub(super) metric_labels: Option<MetricLabels>,
    /// Released after the reply is written.
    pub(super) reservations: Option<Reservations>,
}

enum State {
    /// The dispatcher has the request.
    Open(OpenRequest),
    Ready {
        response: Response,
        reservations: Option<Reservations>,
    },
}

struct PipelinedCommand {
    number: u64,
    state: State,
    metric_labels: Option<MetricLabels>,
}

/// The unanswered commands in the order in which they arrived.
#[derive(Default)]
pub(super) struct Pipeline {
    commands: VecDeque<PipelinedCommand>,
    /// Number of commands that have arrived, which is the number of the next one.
    received: u64,
}

impl Pipeline {
    pub(super) fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.commands.len() >= MAX_PIPELINED
    }

    /// Number of commands that have arrived on this connection.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Adds a request of the given class that is handed to the dispatcher, and returns the request's number.
    pub(super) fn push_open(&mut self, request: OpenRequest, class: usize) -> u64 {
        let metric_labels = Some(MetricLabels { class, result: ResponseResult::Failed });
        self.push(State::Open(request), metric_labels)
    }

    /// Adds a command together with its complete reply.
    pub(super) fn push_ready(&mut self, response: Vec<u8>, metric_labels: Option<MetricLabels>) {
        let response = Response::Complete(response);
        self.push(State::Ready { response, reservations: None }, metric_labels);
    }

    fn push(&mut self, state: State, metric_labels: Option<MetricLabels>) -> u64 {
        let number = self.received;
        self.received += 1;
        self.commands.push_back(PipelinedCommand { number, state, metric_labels });
        number
    }

    /// Stores the final reply to the request with the given number.
    pub(super) fn complete(&mut self, number: u64, reply: FinalReply, reservations: Reservations) {
        let Some(command) = self.commands.iter_mut().find(|command| command.number == number) else {
            return;
        };
        let (response, result) = match reply {
            FinalReply::Complete(answer) => {
                (Response::Complete(answer.write()), ResponseResult::from_answer(&answer))
            }
            FinalReply::Streamed(stream) => (Response::Streamed(stream), ResponseResult::Completed),
        };
        command.state = State::Ready { response, reservations: Some(reservations) };
        command.metric_labels =
            command.metric_labels.map(|metric_labels| MetricLabels { result, ..metric_labels });
    }

    /// Removes the first command if it has a reply, and returns the reply.
    pub(super) fn pop_ready(&mut self) -> Option<ReadyReply> {
        let is_ready = |command: &mut PipelinedCommand| matches!(command.state, State::Ready { .. });
        let command = self.commands.pop_front_if(is_ready)?;
        let State::Ready { response, reservations } = command.state else { return None };
        Some(ReadyReply { response, metric_labels: command.metric_labels, reservations })
    }

    /// Empties the pipeline, and returns the requests that the dispatcher has not answered.
    pub(super) fn take_open(&mut self) -> Vec<OpenRequest> {
        let open = |command: PipelinedCommand| match command.state {
            State::Open(request) => Some(request),
            State::Ready { .. } => None,
        };
        self.commands.drain(..).filter_map(open).collect()
    }
}
