//! A gateway instance of a session: its engine and the delivery of events to it. A panic aborts the handling of an event, not
//! the process.

use std::any::Any;
use std::cell::RefCell;
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

use fernscale_policy::settings::{Fields, Settings};
use fernscale_policy::{Endpoint, Engine, Micros};

use crate::base64;
use crate::error::ProtocolError;
use crate::host::{ActionQueue, ProtocolHost};
use crate::names::{field, line};
use crate::protocol::Line;

/// The endpoint lists of a session, by number.
pub type EndpointLists = HashMap<u64, Vec<Endpoint>>;

/// The message of a panic in an engine.
pub struct Panicked(pub String);

impl From<Box<dyn Any + Send>> for Panicked {
    fn from(panic: Box<dyn Any + Send>) -> Self {
        if let Some(text) = panic.downcast_ref::<String>() {
            return Panicked(text.clone());
        }
        let text = panic.downcast_ref::<&str>().copied();
        Panicked(text.unwrap_or("panic").into())
    }
}

/// Why an event was not handled.
pub enum DeliveryError {
    /// The event's line is invalid. The session must end.
    Protocol(ProtocolError),
    /// The engine panicked. The session continues.
    Panicked(Panicked),
}

/// A gateway instance.
pub struct Instance {
    engine: Engine<ProtocolHost>,
    queue: Rc<RefCell<ActionQueue>>,
    load_fields: Vec<String>,
}

impl Instance {
    /// Starts a gateway instance.
    ///
    /// # Errors
    ///
    /// Returns the panic of the engine. The actions written before the panic are lost.
    pub fn start(
        name: &str,
        settings: Settings,
        load_fields: Vec<String>,
        now: Micros,
    ) -> Result<Self, Panicked> {
        let queue = Rc::new(RefCell::new(ActionQueue { now, ..ActionQueue::default() }));
        let host = ProtocolHost::new(name, &queue);
        let engine = catch_unwind(AssertUnwindSafe(|| Engine::new(settings, host)))?;
        Ok(Instance { engine, queue, load_fields })
    }

    /// Takes the actions written since the previous call.
    pub fn take_actions(&mut self) -> String {
        std::mem::take(&mut self.queue.borrow_mut().actions)
    }

    /// Delivers an event to the engine.
    ///
    /// # Errors
    ///
    /// Returns the error in the line or the panic of the engine. The actions written before the error can still be taken.
    pub fn deliver(&mut self, event: &Line, lists: &EndpointLists, now: Micros) -> Result<(), DeliveryError> {
        self.queue.borrow_mut().now = now;
        match catch_unwind(AssertUnwindSafe(|| self.dispatch(event, lists))) {
            Ok(result) => result.map_err(DeliveryError::Protocol),
            Err(panic) => Err(DeliveryError::Panicked(Panicked::from(panic))),
        }
    }

    fn dispatch(&mut self, event: &Line, lists: &EndpointLists) -> Result<(), ProtocolError> {
        let engine = &mut self.engine;
        match event.name {
            line::REQUEST => engine.request_received(event.request()?),
            line::RESPONSE_STARTED => {
                engine.response_started(&event.id(field::REQUEST)?, event.index(field::ATTEMPT)?);
            }
            line::ATTEMPT_COMPLETED => {
                engine.attempt_completed(event.attempt_completed(&self.load_fields)?);
            }
            line::CLIENT_DISCONNECTED => engine.client_disconnected(&event.id(field::REQUEST)?),
            line::TIMER => engine.timer_fired(event.text(field::TIMER_TOKEN)?),
            line::HEALTH_CHECK_COMPLETED => {
                let load = event.load(&self.load_fields)?;
                engine.health_check_completed(&event.id(field::SERVER)?, event.outcome()?, load);
            }
            line::MESSAGE => {
                let sender = event.whole(field::SENDER)? as u32;
                engine.message_received(sender, &base64::decode(event.text(field::DATA)?)?);
            }
            line::COUNTER_REPLY => engine.counter_replied(
                event.text(field::COUNTER_KEY)?,
                event.outcome()?,
                event.number_or(field::TOTAL, 0.0)?,
                event.time_or(field::ELAPSED, 0)?,
            ),
            line::WATCH_EVENT => return self.deliver_watch_event(event, lists),
            other => return Err(ProtocolError::UnknownEvent { name: other.into() }),
        }
        Ok(())
    }

    fn deliver_watch_event(&mut self, event: &Line, lists: &EndpointLists) -> Result<(), ProtocolError> {
        let form = event.text(field::LIST_FORM)?;
        if form == "X" {
            self.engine.endpoints_unavailable();
            return Ok(());
        }
        let list = event.whole(field::LIST)?;
        let Some(entries) = lists.get(&list) else { return Err(ProtocolError::UnknownList { list }) };
        match form {
            "D" => self.engine.endpoints_updated(false, entries), // differences
            "F" | "C" => self.engine.endpoints_updated(true, entries), // full list
            other => return Err(ProtocolError::UnknownListForm { found: other.into() }),
        }
        Ok(())
    }
}
