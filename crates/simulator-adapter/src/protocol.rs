//! Parses lines of the protocol and the records in their fields. Parsing keeps no state between lines.

use std::collections::HashMap;

use fernscale_policy::settings::{self, Fields};
use fernscale_policy::{AttemptCompleted, Endpoint, EndpointState, Id, LoadReport, Micros, Outcome, Request};

use crate::error::ProtocolError;
use crate::names::field;

/// A parsed line: its name and its `name=value` fields.
pub struct Line<'a> {
    /// The name of the line, see [`crate::names::line`]. The name of an empty line is empty.
    pub name: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl Fields for Line<'_> {
    fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).copied()
    }
}

impl<'a> Line<'a> {
    /// Splits a line into its name and its fields.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::NoValue`] if a field has no `=`.
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

    /// Returns the name of the gateway to which the line belongs.
    pub fn gateway(&self) -> Result<&str, ProtocolError> {
        Ok(self.text(field::GATEWAY)?)
    }

    /// Returns a required identifier.
    pub fn id(&self, key: &str) -> Result<Id, ProtocolError> {
        Ok(Id::from(self.text(key)?))
    }

    /// Returns a required index or number, which starts at 0.
    pub fn index(&self, key: &str) -> Result<usize, ProtocolError> {
        Ok(self.whole(key)? as usize)
    }

    /// Returns the outcome of a call.
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

    /// Returns a server's load report, whose values have these names. The report is empty if the line has none.
    pub fn load(&self, names: &[String]) -> Result<LoadReport, ProtocolError> {
        let mut load = LoadReport::default();
        let Some(text) = self.field(field::LOAD) else { return Ok(load) };
        for (name, value) in names.iter().zip(text.split(',')) {
            settings::parse_load_field(&mut load, name, value)?;
        }
        Ok(load)
    }

    /// Returns a client's request.
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

    /// Returns the result of an attempt. `load_fields` are the names of the load report's values.
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

    /// Returns an entry of an endpoint list.
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

/// Formats a time for the protocol: milliseconds with three decimal places.
pub fn milliseconds(time: Micros) -> String {
    format!("{}.{:03}", time / 1000, time % 1000)
}
