//! The wire protocols of the gateway: bytes to meaning and back, without input or output.

pub mod call;
pub mod catalog;
pub mod http;
pub mod operator;
pub mod resp;

/// A message and its length in bytes, or `None` while its end has not come; else why the bytes can't be a message.
pub type Scanned<T> = Result<Option<(T, usize)>, &'static str>;
