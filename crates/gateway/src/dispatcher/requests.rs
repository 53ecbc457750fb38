//! The requests in flight: those that have no final answer yet, or still have attempts at servers.

use std::collections::HashMap;
use std::rc::Rc;

use async_channel::Sender;
use fernscale_policy::{Id, Micros};

use crate::protocol::call::{Call, FinalAnswer};
use crate::shared::{FinalReply, ReplyHandle};
use crate::upstream;

/// A request from its arrival until it is answered and none of its attempts is in flight.
pub(super) struct RequestInFlight {
    pub(super) call: Rc<Call>,
    /// Where the final answer goes; none once it has been given, or the client has disconnected.
    pub(super) reply: Option<ReplyHandle>,
    /// By the gateway's clock.
    pub(super) deadline: Micros,
    /// The mailbox of the server of each attempt, by the attempt's number.
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

    /// Records an attempt at the server with this mailbox, and gives the attempt's number.
    pub(super) fn begin_attempt(&mut self, mailbox: Option<Sender<upstream::Order>>) -> usize {
        let attempt = self.mailboxes.len();
        self.mailboxes.push(mailbox);
        self.attempts_in_flight += 1;
        attempt
    }

    /// Records that one of the attempts in flight has ended.
    pub(super) fn end_attempt(&mut self) {
        self.attempts_in_flight -= 1;
    }

    fn is_completed(&self) -> bool {
        self.reply.is_none() && self.attempts_in_flight == 0
    }
}

/// The requests in flight by their ids.
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

    /// The mailbox of the server that an attempt went to.
    pub(super) fn mailbox(&self, id: &Id, attempt: usize) -> Option<Sender<upstream::Order>> {
        self.0.get(id)?.mailboxes.get(attempt)?.clone()
    }

    /// Takes the handle for the final answer; none where the request has been answered.
    pub(super) fn take_reply(&mut self, id: &Id) -> Option<ReplyHandle> {
        self.0.get_mut(id)?.reply.take()
    }

    /// Takes the handle for the final answer if it was given out under this ticket. Another client may use the same id,
    /// and its disconnection must not cost the first one its answer.
    pub(super) fn take_reply_of_ticket(&mut self, id: &Id, ticket: u64) -> Option<ReplyHandle> {
        self.0.get_mut(id)?.reply.take_if(|reply| reply.ticket == ticket)
    }

    /// Whether a request has been answered, or its client has disconnected.
    pub(super) fn is_answered(&self, id: &Id) -> bool {
        self.0.get(id).is_none_or(|request| request.reply.is_none())
    }

    /// Removes a request that is answered and has no attempt in flight; keeps any other.
    pub(super) fn remove_if_completed(&mut self, id: &Id) {
        if self.0.get(id).is_some_and(RequestInFlight::is_completed) {
            self.0.remove(id);
        }
    }
}

/// Hands the final answer to the client's connection task. Where that has ended, nobody waits for the answer.
pub(super) fn send_answer(reply: ReplyHandle, answer: FinalAnswer) {
    send_final(reply, FinalReply::Complete(answer));
}

/// The same for an answer that may be a stream.
pub(super) fn send_final(reply: ReplyHandle, last: FinalReply) {
    let ReplyHandle { number, sender, reservations, .. } = reply;
    let _ = sender.try_send((number, last, reservations));
}
