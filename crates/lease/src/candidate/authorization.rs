//! The right to act for the fleet, and effects that carry it. Nothing here checks a token: that is done where the effect
//! arrives, by [`crate::fencing`].

use crate::{FencingToken, Name};

/// The right to act for the fleet at this moment. Whatever acts for the fleet takes one and passes its token on with the
/// effect. Only a [`Candidate`](super::Candidate) that holds the lease can make one.
#[derive(Debug, PartialEq, Eq)]
pub struct Authorization<'c> {
    pub(super) lease: &'c Name,
    pub(super) token: FencingToken,
}

impl Authorization<'_> {
    /// The lease that gives the right.
    pub fn lease(&self) -> &Name {
        self.lease
    }

    /// The token that the effect must carry.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Makes an effect of the content, by this right.
    pub fn authorize<T>(self, content: T) -> AuthorizedEffect<T> {
        AuthorizedEffect { lease: self.lease.clone(), token: self.token, content }
    }
}

/// Something that is done for the fleet, with the token of the holder that does it. Only an [`Authorization`] makes one:
/// whatever sends effects takes this type, so that none is sent without a token. It may arrive arbitrarily late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorizedEffect<T> {
    lease: Name,
    token: FencingToken,
    content: T,
}

impl<T> AuthorizedEffect<T> {
    /// The lease by which it is done.
    pub fn lease(&self) -> &Name {
        &self.lease
    }

    /// The token of the holder that does it.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// What is to be done.
    pub fn content(&self) -> &T {
        &self.content
    }
}
