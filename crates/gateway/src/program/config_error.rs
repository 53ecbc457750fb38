//! What can be wrong with a configuration as a whole, after its files have been read.

use fernscale_policy::settings::SettingsError;
use thiserror::Error;

use super::config::{INHERITED_SOCKET_VARIABLE, OPERATOR_VARIABLE};

/// The first problem of a configuration. Keys are those of the platform's form.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A key that must have a text has none.
    #[error("'{key}' is missing, or no text")]
    MissingText {
        /// The key.
        key: String,
    },
    /// A key has a text that is not an address and port.
    #[error("'{key}' is '{found}', which is no address of a socket")]
    InvalidAddress {
        /// The key.
        key: String,
        /// Its text.
        found: String,
    },
    /// The environment's address for operators is not an address and port.
    #[error("{OPERATOR_VARIABLE} is '{found}', which is no address of a socket")]
    InvalidOperatorVariable {
        /// The variable's text.
        found: String,
    },
    /// The environment's inherited socket is not a descriptor's number, or that of a standard stream.
    #[error("{INHERITED_SOCKET_VARIABLE} is '{found}', which is no descriptor of a socket")]
    InvalidSocketVariable {
        /// The variable's text.
        found: String,
    },
    /// The seed is not a hex number of 64 bits.
    #[error("'seed' is '{found}', which is no hex number")]
    InvalidSeed {
        /// The seed's text.
        found: String,
    },
    /// The settings are missing.
    #[error("'settings' is missing, or no object")]
    MissingSettings,
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no request class or no plan.
    #[error("'settings' has no 'lanes' or no 'tiersOfService'")]
    NothingToServe,
    /// A section of the installation's file works over membership, which is not configured.
    #[error("[{section}] needs [mesh], by which gateways speak with each other")]
    NeedsMembership {
        /// The section.
        section: &'static str,
    },
    /// The endpoint list can be leased only where discovery is polled.
    #[error("'owner.list' needs a discovery that is asked: mode 'on-request', with 'ask-within'")]
    ListNeedsPolling,
    /// This gateway is an acceptor without a store.
    #[error("'{name}' is among 'owner.voters': it needs [store], where promises are kept")]
    AcceptorNeedsStore {
        /// The gateway's name.
        name: String,
    },
    /// A section names a zone that the settings don't have.
    #[error("'{section}.zone' is '{zone}', which is none of the zones")]
    UnknownZone {
        /// The section.
        section: &'static str,
        /// The zone that it names.
        zone: String,
    },
    /// The limit on descriptors is too low to serve clients.
    #[error("'limits.sockets={found}' is below {minimum}: nobody could be let in")]
    TooFewDescriptors {
        /// The configured limit.
        found: usize,
        /// The lowest that is allowed.
        minimum: u64,
    },
    /// The list of known endpoints can't be used; the text says why.
    #[error("{0}")]
    KnownEndpoints(String),
}
