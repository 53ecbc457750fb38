//! The requests in flight. A request is in flight until it has its final answer and all of its attempts have ended.

use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Sender;
use fernscale_policy::{Id, Micros};

use crate::protocol::call::{Call, FinalAnswer};
use crate::shared::{FinalReply, ReplyHandle};
use crate::transport::connection::MAX_STREAMED_BYTES;
use crate::upstream;

/// A request that is not answered, or has attempts in flight.
pub(super) struct RequestInFlight {
    pub(super) call: Rc<Call>,
    /// The handle for the final answer; none after the answer was sent or the client has disconnected.
    pub(super) reply: Option<ReplyHandle>,
    /// The deadline by the gateway's clock.
    pub(super) deadline: Micros,
    /// The mailbox of the upstream actor of each attempt, by the attempt's number.
    mailboxes: Vec<Option<Sender<upstream::Order>>>,
    attempts_in_flight: usize,
}

impl RequestInFlight {
    pub(super) fn new(call: Call, reply: ReplyHandle, deadline: Micros) -> Self {
        RequestInFlight {
            call: Rc::new(call),
            reply: Some(reply),
            deadline,
            mailboxes: Vec::new(),
            attempts_in_flight: 0,
        }
    }

    /// Adds an attempt at the server with this mailbox, and returns the attempt's number.
    pub(super) fn begin_attempt(&mut self, mailbox: Option<Sender<upstream::Order>>) -> usize {
        let attempt = self.mailboxes.len();
        self.mailboxes.push(mailbox);
        self.attempts_in_flight += 1;
        attempt
    }

    /// Counts one of the attempts in flight as ended.
    pub(super) fn end_attempt(&mut self) {
        self.attempts_in_flight -= 1;
    }

    fn is_completed(&self) -> bool {
        self.reply.is_none() && self.attempts_in_flight == 0
    }
}

/// The requests in flight, by id.
#[derive(Default)]
pub(super) struct RequestsInFlight(HashMap<Id, RequestInFlight>);

impl RequestsInFlight {
    pub(super) fn contains(&self, id: &Id) -> bool {
        self.0.contains_key(id)
    }

    pub(super) fn insert(&mut self, id: Id, request: RequestInFlight) {
        self.0.insert(id, request);
    }

    pub(super) fn get_mut(&mut self, id: &Id) -> Option<&mut RequestInFlight> {
        self.0.get_mut(id)
    }

    /// The mailbox of the upstream actor that an attempt was sent to.
    pub(super) fn mailbox(&self, id: &Id, attempt: usize) -> Option<Sender<upstream::Order>> {
        self.0.get(id)?.mailboxes.get(attempt)?.clone()
    }

    /// Takes the handle for the final answer; none if the request has been answered.
    pub(super) fn take_reply(&mut self, id: &Id) -> Option<ReplyHandle> {
        self.0.get_mut(id)?.reply.take()
    }

    /// Takes the handle for the final answer if the handle has this ticket. Another client may use the same request id, and
    /// the disconnection of that client must not cost this client its answer.
    pub(super) fn take_reply_with_ticket(&mut self, id: &Id, ticket: u64) -> Option<ReplyHandle> {
        self.0.get_mut(id)?.reply.take_if(|reply| reply.ticket == ticket)
    }

    /// Whether a request has been answered or its client has disconnected.
    pub(super) fn is_answered(&self, id: &Id) -> bool {
        self.0.get(id).is_none_or(|request| request.reply.is_none())
    }

    /// Removes a request if it is answered and has no attempt in flight.
    pub(super) fn remove_if_completed(&mut self, id: &Id) {
        if self.0.get(id).is_some_and(RequestInFlight::is_completed) {
            self.0.remove(id);
        }
    }
}

/// Sends the final answer to the client's connection task. If that task has ended, the answer is dropped.
pub(super) fn send_answer(reply: ReplyHandle, answer: FinalAnswer) {
    send_final_reply(reply, FinalReply::Complete(answer));
}

/// As [`send_answer`], for a reply that may be a stream.
pub(super) fn send_final_reply(reply: ReplyHandle, final_reply: FinalReply) {
    let ReplyHandle { number, sender, reservations, .. } = reply;
    match &final_reply {
        FinalReply::Complete(FinalAnswer::Completed(value)) => reservations.reply.settle(value.len()),
        FinalReply::Complete(_) => reservations.reply.settle_without_value(),
        FinalReply::Streamed(_) => reservations.reply.settle(MAX_STREAMED_BYTES),
    }
    let _ = sender.try_send((number, final_reply, reservations));
}
