//! What is said on the sockets: bytes to meaning and back. Nothing here reads or writes any.

pub mod call;
pub mod catalog;
pub mod http;
pub mod operator;
pub mod resp;

/// A message and how many bytes it took, or `None` while its end has not come; else why it never can.
pub type Scanned<T> = Result<Option<(T, usize)>, &'static str>;
