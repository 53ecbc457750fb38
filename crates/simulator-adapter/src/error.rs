//! What can be wrong with a line of the protocol; each error ends the process, with the line's number and text.

use fernscale_policy::settings::SettingsError;
use thiserror::Error;

/// A line that can't be understood, or that does not fit where it stands.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A field is missing or can't be used.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// A field was expected as a name, `=` and a value.
    #[error("no '=' in '{found}'")]
    NoValue {
        /// What stands there.
        found: String,
    },
    /// The next entry of an endpoint list was expected.
    #[error("'{found}' where {remaining} more rows of a list belong")]
    ListIncomplete {
        /// The line that stands there.
        found: String,
        /// How many entries are still to come.
        remaining: u64,
    },
    /// The line is about a gateway that has not started.
    #[error("no instance '{name}' here")]
    UnknownInstance {
        /// The gateway's name.
        name: String,
    },
    /// The line refers to an endpoint list that did not come before it.
    #[error("list {list} was never given")]
    UnknownList {
        /// The list's number.
        list: u64,
    },
    /// A form of an endpoint list was expected.
    #[error("'form={found}' is no form of a list")]
    UnknownListForm {
        /// The form that stands there.
        found: String,
    },
    /// The line's name is no event's.
    #[error("'{name}' is no event")]
    UnknownEvent {
        /// The line's name.
        name: String,
    },
    /// An endpoint's state was expected.
    #[error("'condition={found}' is no condition")]
    UnknownEndpointState {
        /// The state that stands there.
        found: String,
    },
    /// The outcome of a call was expected.
    #[error("'rc={found}' is no outcome")]
    UnknownOutcome {
        /// The outcome that stands there.
        found: String,
    },
    /// Bytes in base64 were expected.
    #[error("'{found}' is not base64")]
    NotBase64 {
        /// The text that stands there.
        found: String,
    },
}
