//! A session with the simulator: batches of lines, the gateways that they start and stop, and the reply to each batch.

use std::collections::HashMap;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::Micros;

use crate::error::ProtocolError;
use crate::instance::{DeliveryError, EndpointLists, Instance, Panicked};
use crate::names::{action, field, line};
use crate::protocol::Line;

/// What a line has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch goes on.
    BatchOpen,
    /// The batch is complete, and so is the reply to it.
    BatchComplete,
}

/// An endpoint list whose entries are being read.
struct OpenList {
    list: u64,
    /// Entries still to come; never 0.
    remaining: u64,
}

/// The state of a session.
#[derive(Default)]
pub struct Session {
    instances: HashMap<String, Instance>,
    /// The endpoint lists as they stand at this point of the batch.
    lists: EndpointLists,
    open_list: Option<OpenList>,
    now: Micros,
    batch: String,
    reply: String,
}

impl Session {
    /// Takes one line, without its end.
    ///
    /// # Errors
    ///
    /// What is wrong with the line; the session can't go on.
    pub fn read_line(&mut self, text: &str) -> Result<Progress, ProtocolError> {
        let line = Line::parse(text)?;
        if let Some(open) = self.open_list.take() {
            self.read_endpoint(open, &line)?;
            return Ok(Progress::BatchOpen);
        }
        match line.name {
            "" => {}
            line::BATCH_START => {
                self.now = line.time(field::BATCH_TIME)?;
                self.batch = line.text(field::BATCH)?.to_string();
            }
            line::BATCH_END => {
                let done = format!("{} {}={}\n", action::BATCH_DONE, field::BATCH, self.batch);
                self.reply.push_str(&done);
                return Ok(Progress::BatchComplete);
            }
            line::ENDPOINT_LIST => self.start_list(&line)?,
            line::START => self.start_instance(&line)?,
            line::STOP => {
                self.instances.remove(line.gateway()?);
            }
            _ => self.deliver(&line)?,
        }
        Ok(Progress::BatchOpen)
    }

    /// Takes the reply to a batch that is complete.
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    fn start_list(&mut self, line: &Line) -> Result<(), ProtocolError> {
        let list = line.whole(field::LIST)?;
        let remaining = line.whole_or(field::LIST_LENGTH, 0)?;
        self.lists.insert(list, Vec::new());
        self.open_list = Some(OpenList { list, remaining }).filter(|open| open.remaining > 0);
        Ok(())
    }

    fn read_endpoint(&mut self, open: OpenList, line: &Line) -> Result<(), ProtocolError> {
        let OpenList { list, remaining } = open;
        if line.name != line::ENDPOINT {
            return Err(ProtocolError::ListIncomplete { found: line.name.into(), remaining });
        }
        self.lists.entry(list).or_default().push(line.endpoint()?);
        self.open_list = Some(OpenList { list, remaining: remaining - 1 }).filter(|open| open.remaining > 0);
        Ok(())
    }

    fn start_instance(&mut self, line: &Line) -> Result<(), ProtocolError> {
        let name = line.gateway()?;
        let settings = settings::policy_settings(line)?;
        let load_fields = line.names(field::LOAD_FIELDS);
        match Instance::start(name, settings, load_fields, self.now) {
            Ok(mut instance) => {
                self.reply.push_str(&instance.take_actions());
                self.instances.insert(name.to_string(), instance);
            }
            Err(panicked) => self.report_panic(name, &panicked),
        }
        Ok(())
    }

    fn deliver(&mut self, line: &Line) -> Result<(), ProtocolError> {
        let name = line.gateway()?;
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(ProtocolError::UnknownInstance { name: name.into() });
        };
        let delivered = instance.deliver(line, &self.lists, self.now);
        self.reply.push_str(&instance.take_actions());
        match delivered {
            Ok(()) => Ok(()),
            Err(DeliveryError::Protocol(error)) => Err(error),
            Err(DeliveryError::Panicked(panicked)) => {
                self.report_panic(name, &panicked);
                Ok(())
            }
        }
    }

    fn report_panic(&mut self, name: &str, panicked: &Panicked) {
        let text = panicked.0.replace('\n', " ");
        let report = format!("{} {}={name} {}={text}\n", action::PANICKED, field::GATEWAY, field::MESSAGE);
        self.reply.push_str(&report);
    }
}
