//! Errors of a configuration as a whole, found after its files have been parsed.

use fernscale_policy::settings::SettingsError;
use thiserror::Error;

use super::config::{INHERITED_SOCKET_VARIABLE, OPERATOR_VARIABLE};

/// The first problem found in a configuration. Keys are those of the platform's form.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A key that requires a string is missing or has another type.
    #[error("'{key}' is missing or not a string")]
    MissingText {
        /// The key.
        key: String,
    },
    /// The value of a key is not an address and port.
    #[error("'{key}' is '{found}', which is not an address and port")]
    InvalidAddress {
        /// The key.
        key: String,
        /// The value found.
        found: String,
    },
    /// The operator address in the environment is not an address and port.
    #[error("{OPERATOR_VARIABLE} is '{found}', which is not an address and port")]
    InvalidOperatorVariable {
        /// The value of the variable.
        found: String,
    },
    /// The inherited socket in the environment is not a descriptor number, or is a standard stream.
    #[error("{INHERITED_SOCKET_VARIABLE} is '{found}', which is not the descriptor of a socket")]
    InvalidSocketVariable {
        /// The value of the variable.
        found: String,
    },
    /// The seed is not a 64-bit hex number.
    #[error("'seed' is '{found}', which is not a 64-bit hex number")]
    InvalidSeed {
        /// The value found.
        found: String,
    },
    /// The settings are missing or not an object.
    #[error("'settings' is missing or not an object")]
    MissingSettings,
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no request class or no plan.
    #[error("'settings.lanes' or 'settings.tiersOfService' is missing or empty")]
    NothingToServe,
    /// A section of the installation's file depends on membership, which is not configured.
    #[error("[{section}] needs [mesh], over which gateways communicate")]
    NeedsMembership {
        /// The section.
        section: &'static str,
    },
    /// The endpoint list is leased, but discovery is not polled.
    #[error("'owner.list' needs polled discovery: set 'discovery.mode' to 'on-request', and 'discovery.ask-within'")]
    ListNeedsPolling,
    /// This gateway is an acceptor, but has no store.
    #[error("'{name}' is listed in 'owner.voters': it needs [store], which holds its promises")]
    AcceptorNeedsStore {
        /// The gateway's name.
        name: String,
    },
    /// A section names a zone that the settings don't list.
    #[error("'{section}.zone' is '{zone}', which is not a configured zone")]
    UnknownZone {
        /// The section.
        section: &'static str,
        /// The unknown zone.
        zone: String,
    },
    /// The limit on descriptors is too low to accept clients.
    #[error("'limits.sockets={found}' is below {minimum}: no client could be accepted")]
    TooFewDescriptors {
        /// The configured limit.
        found: usize,
        /// The lowest allowed limit.
        minimum: u64,
    },
    /// The list of known endpoints is invalid, for the given reason.
    #[error("{0}")]
    KnownEndpoints(String),
}
