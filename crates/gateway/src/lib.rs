//! One gateway on sockets. `transport` and `protocol` know bytes; `downstream` serves clients and `upstream` servers;
//! `dispatcher` runs the decision module between them; `discovery`, `counter` and `operator` speak with the services
//! around; `fleet` works with the other gateways and `hot_restart` with other processes of this one; `program` reads the
//! configuration, starts all of these and ends them. `shared` is the state between the actors.

pub mod counter;
pub mod discovery;
pub mod dispatcher;
pub mod downstream;
pub mod fleet;
pub mod hot_restart;
pub mod operator;
pub mod outcome;
pub mod program;
pub mod protocol;
mod rejection;
pub mod shared;
pub mod transport;
pub mod upstream;
