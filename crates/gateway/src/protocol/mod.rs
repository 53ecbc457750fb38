//! The wire protocols of the gateway: parsers and writers of messages, without I/O.

pub mod call;
pub mod catalog;
pub mod http;
pub mod operator;
pub mod reply;
pub mod resp;

/// A parsed message and its length in bytes; `None` while the message is incomplete; an error that says why the bytes
/// can't be a message.
pub type Scanned<T> = Result<Option<(T, usize)>, &'static str>;
