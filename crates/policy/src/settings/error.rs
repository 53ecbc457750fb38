//! Errors in the platform's settings. Messages use the platform's names of settings.

use thiserror::Error;

/// A setting that is missing or invalid, with its name and the value found.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error("'{key}' is missing")]
    Missing {
        /// The setting's name.
        key: String,
    },
    /// A finite number was expected.
    #[error("'{key}={found}' is not a number")]
    NotANumber {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// A non-negative integer was expected.
    #[error("'{key}={found}' is not a whole number")]
    NotAWholeNumber {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// A non-negative number was expected.
    #[error("'{key}={found}' is negative")]
    Negative {
        /// The setting's name.
        key: String,
        /// Its value.
        found: f64,
    },
    /// A time of at least half a microsecond was expected.
    #[error("'{key}={found}' rounds to 0 microseconds")]
    NoTime {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// One of 0, 1, false and true was expected.
    #[error("'{key}={found}' is neither true nor false")]
    NotAFlag {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// At least one attempt was expected.
    #[error("'{key}=0': at least one attempt is required")]
    NoAttempts {
        /// The setting's name.
        key: String,
    },
    /// The mode of discovery, `pushed` or `on_request`, was expected.
    #[error("'{key}={found}' is neither 'pushed' nor 'on_request'")]
    UnknownDiscovery {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// A share from 0 to 1 was expected.
    #[error("'{key}={found}' is greater than 1")]
    ShareAboveOne {
        /// The setting's name.
        key: String,
        /// Its value.
        found: f64,
    },
    /// The scope of an idempotency key was expected.
    #[error("'{key}={found}' is not one of 'all', 'zone' and 'cell'")]
    UnknownKeyScope {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// A kind of idempotency was expected.
    #[error("'{key}={found}' is not one of 'read_like', 'idempotency_key' and 'non_idempotent'")]
    UnknownIdempotency {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// Two classes or two plans have the same name, so a client's choice would be ambiguous.
    #[error("'{key}={found}' is used twice")]
    DuplicateName {
        /// The setting's name.
        key: String,
        /// Its value.
        found: String,
    },
    /// A number was expected in a server's load report.
    #[error("'{found}' in a load report is not a number")]
    LoadNotANumber {
        /// The value.
        found: String,
    },
}

impl From<SettingsError> for String {
    /// Converts the error to its message, for callers whose errors are strings.
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}
