//! A session with the simulator. It reads batches of lines, starts and stops gateway instances, and builds the reply to each
//! batch.

use std::collections::HashMap;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::Micros;

use crate::error::ProtocolError;
use crate::instance::{DeliveryError, EndpointLists, Instance, Panicked};
use crate::names::{action, field, line};
use crate::protocol::Line;

/// The state of the batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch continues.
    BatchOpen,
    /// The batch and its reply are complete.
    BatchComplete,
}

/// An endpoint list whose entries are being read.
struct IncompleteList {
    list: u64,
    /// Number of missing entries; never 0.
    remaining: u64,
}

/// The state of a session.
#[derive(Default)]
pub struct Session {
    instances: HashMap<String, Instance>,
    /// The endpoint lists at the present line of the batch.
    lists: EndpointLists,
    incomplete_list: Option<IncompleteList>,
    now: Micros,
    batch: String,
    reply: String,
}

impl Session {
    /// Handles a line. `text` excludes the line end.
    ///
    /// # Errors
    ///
    /// Returns the error in the line. The session must end.
    pub fn read_line(&mut self, text: &str) -> Result<Progress, ProtocolError> {
        let line = Line::parse(text)?;
        if let Some(incomplete) = self.incomplete_list.take() {
            self.read_endpoint(incomplete, &line)?;
            return Ok(Progress::BatchOpen);
        }
        match line.name {
            "" => {}
            line::BATCH_START => {
                self.now = line.time(field::BATCH_TIME)?;
                self.batch = line.text(field::BATCH)?.to_string();
            }
            line::BATCH_END => {
                let batch_done = format!("{} {}={}\n", action::BATCH_DONE, field::BATCH, self.batch);
                self.reply.push_str(&batch_done);
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

    /// Takes the reply to the complete batch.
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    fn start_list(&mut self, line: &Line) -> Result<(), ProtocolError> {
        let list = line.whole(field::LIST)?;
        let remaining = line.whole_or(field::LIST_LENGTH, 0)?;
        self.lists.insert(list, Vec::new());
        self.incomplete_list = Some(IncompleteList { list, remaining }).filter(|list| list.remaining > 0);
        Ok(())
    }

    fn read_endpoint(&mut self, incomplete: IncompleteList, line: &Line) -> Result<(), ProtocolError> {
        let IncompleteList { list, remaining } = incomplete;
        if line.name != line::ENDPOINT {
            return Err(ProtocolError::ListIncomplete { found: line.name.into(), remaining });
        }
        self.lists.entry(list).or_default().push(line.endpoint()?);
        self.incomplete_list =
            Some(IncompleteList { list, remaining: remaining - 1 }).filter(|list| list.remaining > 0);
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
