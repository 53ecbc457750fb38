//! Errors in lines of the protocol. Each error ends the process, which prints the line's number and text.

use fernscale_policy::settings::SettingsError;
use thiserror::Error;

/// A line that is invalid, or not allowed at its position in the session.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A field is missing or invalid.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A field is not a name, `=` and a value.
    #[error("no '=' in '{found}'")]
    NoValue {
        /// The field without `=`.
        found: String,
    },
    /// Another line interrupts the entries of an endpoint list.
    #[error("'{found}' instead of one of {remaining} remaining 'row' lines of an endpoint list")]
    ListIncomplete {
        /// The name of the other line.
        found: String,
        /// Number of missing entries.
        remaining: u64,
    },
    /// The line refers to a gateway that is not running.
    #[error("no gateway instance '{name}' is running")]
    UnknownInstance {
        /// The gateway's name.
        name: String,
    },
    /// The line refers to an endpoint list that has not been received.
    #[error("endpoint list {list} has not been received")]
    UnknownList {
        /// The list's number.
        list: u64,
    },
    /// The form of the endpoint list is unknown.
    #[error("'form={found}' is not a form of an endpoint list")]
    UnknownListForm {
        /// The unknown form.
        found: String,
    },
    /// The line's name is not an event.
    #[error("'{name}' is not an event")]
    UnknownEvent {
        /// The line's name.
        name: String,
    },
    /// The endpoint state is unknown.
    #[error("'condition={found}' is not an endpoint state")]
    UnknownEndpointState {
        /// The unknown state.
        found: String,
    },
    /// The outcome of a call is unknown.
    #[error("'rc={found}' is not an outcome")]
    UnknownOutcome {
        /// The unknown outcome.
        found: String,
    },
    /// A text is not valid base64.
    #[error("'{found}' is not base64")]
    NotBase64 {
        /// The invalid text.
        found: String,
    },
}
