//! The right to act for the fleet, and effects that carry a fencing token. The receiver of an effect checks the token,
//! with [`crate::fencing`].

use crate::{FencingToken, Name};

/// The right to act for the fleet at this moment. Code that acts for the fleet requires an authorization and sends its
/// token with the effect. Only a [`Candidate`](super::Candidate) that holds the lease can create an authorization.
#[derive(Debug, PartialEq, Eq)]
pub struct Authorization<'c> {
    pub(super) lease: &'c Name,
    pub(super) token: FencingToken,
}

impl Authorization<'_> {
    /// The lease that grants the right.
    pub fn lease(&self) -> &Name {
        self.lease
    }

    /// The token that the effect must carry.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Creates an effect with the lease and token of this authorization.
    pub fn authorize<T>(self, content: T) -> AuthorizedEffect<T> {
        AuthorizedEffect { lease: self.lease.clone(), token: self.token, content }
    }
}

/// An action of a lease holder for the fleet, with the holder's token. Only an [`Authorization`] creates an effect, and
/// code that sends effects requires this type, so no effect is sent without a token. An effect may arrive arbitrarily
/// late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorizedEffect<T> {
    lease: Name,
    token: FencingToken,
    content: T,
}

impl<T> AuthorizedEffect<T> {
    /// The lease under which the holder acts.
    pub fn lease(&self) -> &Name {
        &self.lease
    }

    /// The holder's token.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The action.
    pub fn content(&self) -> &T {
        &self.content
    }
}
