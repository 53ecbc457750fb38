//! The commands of one connection that are not answered yet. Replies go out in the order of the commands.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use fernscale_policy::Id;

use crate::operator::metrics::ResponseResult;
use crate::shared::{FinalReply, Reservations, ResponseStream};

/// Commands of one connection that may be unanswered at once; beyond it no more are read.
pub(super) const MAX_PIPELINED: usize = 32;

/// A reply in the form in which it is written.
pub(super) enum Response {
    Complete(Vec<u8>),
    Streamed(ResponseStream),
}

/// A request that has no final reply yet.
pub(super) struct OpenRequest {
    pub(super) id: Id,
    pub(super) ticket: u64,
    /// Set when the client has disconnected, so that no attempt begins any more.
    pub(super) client_gone: Rc<Cell<bool>>,
}

/// What a reply is counted as once it is written.
#[derive(Clone, Copy)]
pub(super) struct Counted {
    /// The number of the request class.
    pub(super) class: usize,
    pub(super) result: ResponseResult,
}

/// A reply that may be written.
pub(super) struct ReadyReply {
    pub(super) response: Response,
    pub(super) counted: Option<Counted>,
    /// Given back once the reply is written.
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
    counted: Option<Counted>,
}

/// The unanswered commands in their order.
#[derive(Default)]
pub(super) struct Pipeline {
    commands: VecDeque<PipelinedCommand>,
    /// How many commands have come, which is the number of the next.
    received: u64,
}

impl Pipeline {
    pub(super) fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.commands.len() >= MAX_PIPELINED
    }

    /// How many commands have come on this connection.
    pub(super) fn received(&self) -> u64 {
        self.received
    }

    /// Adds a request of this class that goes to the dispatcher, and gives its number.
    pub(super) fn push_open(&mut self, request: OpenRequest, class: usize) -> u64 {
        let counted = Some(Counted { class, result: ResponseResult::Failed });
        self.push(State::Open(request), counted)
    }

    /// Adds a command that is answered at once.
    pub(super) fn push_ready(&mut self, response: Vec<u8>, counted: Option<Counted>) {
        let response = Response::Complete(response);
        self.push(State::Ready { response, reservations: None }, counted);
    }

    fn push(&mut self, state: State, counted: Option<Counted>) -> u64 {
        let number = self.received;
        self.received += 1;
        self.commands.push_back(PipelinedCommand { number, state, counted });
        number
    }

    /// Takes the final reply to the request with this number.
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
        command.counted = command.counted.map(|counted| Counted { result, ..counted });
    }

    /// Takes the first reply, if it may be written.
    pub(super) fn pop_ready(&mut self) -> Option<ReadyReply> {
        let is_ready = |command: &mut PipelinedCommand| matches!(command.state, State::Ready { .. });
        let command = self.commands.pop_front_if(is_ready)?;
        let State::Ready { response, reservations } = command.state else { return None };
        Some(ReadyReply { response, counted: command.counted, reservations })
    }

    /// Empties the pipeline, and gives the requests that the dispatcher still has.
    pub(super) fn take_open(&mut self) -> Vec<OpenRequest> {
        let open = |command: PipelinedCommand| match command.state {
            State::Open(request) => Some(request),
            State::Ready { .. } => None,
        };
        self.commands.drain(..).filter_map(open).collect()
    }
}
