//! Lines of the protocol: splitting, and the records that they carry. It keeps nothing from one line to the next.

use std::collections::HashMap;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::{AttemptCompleted, Endpoint, EndpointState, Id, LoadReport, Micros, Outcome, Request};

use crate::error::ProtocolError;
use crate::names::field;

/// One line: its name and its `name=value` fields.
pub struct Line<'a> {
    /// What the line is, see [`crate::names::line`]; empty for an empty line.
    pub name: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl Fields for Line<'_> {
    fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).copied()
    }
}

impl<'a> Line<'a> {
    /// Splits a line.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::NoValue`] where a field has no `=`.
    pub fn parse(text: &'a str) -> Result<Self, ProtocolError> {
        let mut parts = text.split(' ');
        let name = parts.next().unwrap_or_default();
        let mut fields = HashMap::new();
        for part in parts.filter(|part| !part.is_empty()) {
            let Some((key, value)) = part.split_once('=') else {
                return Err(ProtocolError::NoValue { found: part.into() });
            };
            fields.insert(key, value);
        }
        Ok(Line { name, fields })
    }

    /// The name of the gateway that the line is about.
    pub fn gateway(&self) -> Result<&str, ProtocolError> {
        Ok(self.text(field::GATEWAY)?)
    }

    /// An identifier that has to be there.
    pub fn id(&self, key: &str) -> Result<Id, ProtocolError> {
        Ok(Id::from(self.text(key)?))
    }

    /// An index or a number, from 0.
    pub fn index(&self, key: &str) -> Result<usize, ProtocolError> {
        Ok(self.whole(key)? as usize)
    }

    /// How a call ended.
    pub fn outcome(&self) -> Result<Outcome, ProtocolError> {
        match self.text(field::OUTCOME)? {
            "S" => Ok(Outcome::Ok),           // success
            "E" => Ok(Outcome::Error),        // error
            "F" => Ok(Outcome::Overloaded),   // full
            "T" => Ok(Outcome::TimedOut),     // timed out
            "C" => Ok(Outcome::NotConnected), // not connected
            "R" => Ok(Outcome::Reset),        // reset
            "X" => Ok(Outcome::Cancelled),    // cancelled
            "N" => Ok(Outcome::NeverSent),    // never sent
            other => Err(ProtocolError::UnknownOutcome { found: other.into() }),
        }
    }

    /// A server's load report, whose values have these names; empty where the line has none.
    pub fn load(&self, names: &[String]) -> Result<LoadReport, ProtocolError> {
        let mut load = LoadReport::default();
        let Some(text) = self.field(field::LOAD) else { return Ok(load) };
        for (name, value) in names.iter().zip(text.split(',')) {
            settings::parse_load_field(&mut load, name, value)?;
        }
        Ok(load)
    }

    /// A client's request.
    pub fn request(&self) -> Result<Request, ProtocolError> {
        Ok(Request {
            id: self.id(field::REQUEST)?,
            class: self.index(field::CLASS)?,
            plan: self.whole_or(field::PLAN, 0)? as usize,
            tenant: Id::from(self.field(field::TENANT).unwrap_or_default()),
            units: self.number_or(field::UNITS, 1.0)?,
            first_gateway: self.whole_or(field::FIRST_GATEWAY, 0)? as u32,
            gateway_spread: self.whole_or(field::GATEWAY_SPREAD, 1)? as u32,
            time_left: self.time(field::TIME_LEFT)?,
        })
    }

    /// The end of an attempt; `load_fields` are the names of the load report's values.
    pub fn attempt_completed(&self, load_fields: &[String]) -> Result<AttemptCompleted, ProtocolError> {
        Ok(AttemptCompleted {
            request: self.id(field::REQUEST)?,
            attempt: self.index(field::ATTEMPT)?,
            server: self.id(field::SERVER)?,
            outcome: self.outcome()?,
            elapsed: self.time_or(field::ELAPSED, 0)?,
            read_delay: 0,
            is_final: self.flag(field::IS_FINAL)?,
            units: self.optional_number(field::ACTUAL_UNITS)?.filter(|units| *units > 0.0),
            load: self.load(load_fields)?,
        })
    }

    /// An entry of an endpoint list.
    pub fn endpoint(&self) -> Result<Endpoint, ProtocolError> {
        let started_at = Some(self.time_or(field::STARTED_AT, 0)?).filter(|at| *at > 0);
        Ok(Endpoint {
            server: self.id(field::SERVER)?,
            zone: self.whole_or(field::ZONE, 0)? as u32,
            hardware_type: self.whole_or(field::HARDWARE_TYPE, 0)? as u32,
            cell: self.whole_or(field::CELL, 0)? as u32,
            state: self.endpoint_state()?,
            weight: self.number_or(field::ENDPOINT_WEIGHT, 1.0)?,
            started_at,
            listed_start: started_at,
        })
    }

    fn endpoint_state(&self) -> Result<EndpointState, ProtocolError> {
        match self.text(field::ENDPOINT_STATE)? {
            "in_service" => Ok(EndpointState::Ready),
            "terminating" => Ok(EndpointState::Draining),
            "terminated" => Ok(EndpointState::Removed),
            other => Err(ProtocolError::UnknownEndpointState { found: other.into() }),
        }
    }
}

/// A time as the protocol writes it: milliseconds with three decimals.
pub fn milliseconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}
