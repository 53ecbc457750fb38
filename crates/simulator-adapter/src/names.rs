//! The names of the simulator's protocol and their meanings. No other module contains these names.
//!
//! The operators define the names in the protocol. They don't change when a constant here is renamed.

/// Names of input lines: events and the lines that delimit batches.
pub mod line {
    /// Starts a batch.
    pub const BATCH_START: &str = "begin_batch";
    /// Ends a batch and requests its actions.
    pub const BATCH_END: &str = "your_turn";
    /// Starts an endpoint list. Its entries follow, one per line.
    pub const ENDPOINT_LIST: &str = "directory";
    /// An entry of an endpoint list.
    pub const ENDPOINT: &str = "row";
    /// A gateway starts.
    pub const START: &str = "born";
    /// A gateway stops.
    pub const STOP: &str = "stop";
    /// A client's request was received.
    pub const REQUEST: &str = "ask";
    /// A response has started to stream.
    pub const RESPONSE_STARTED: &str = "flowing";
    /// An attempt has ended.
    pub const ATTEMPT_COMPLETED: &str = "returned";
    /// A client has disconnected.
    pub const CLIENT_DISCONNECTED: &str = "dropped";
    /// A timer has fired.
    pub const TIMER: &str = "reminder";
    /// A health check has ended.
    pub const HEALTH_CHECK_COMPLETED: &str = "probe_done";
    /// A message from another gateway was received.
    pub const MESSAGE: &str = "mail";
    /// A call to the shared counter has ended.
    pub const COUNTER_REPLY: &str = "tally_back";
    /// The endpoint list has changed or is unavailable.
    pub const WATCH_EVENT: &str = "membership";
}

/// Names of the output lines: the actions of gateways and the lines that complete a reply.
pub mod action {
    /// Forward a request.
    pub const FORWARD: &str = "issue";
    /// Cancel an attempt.
    pub const CANCEL: &str = "retract";
    /// Reject a request.
    pub const REJECT: &str = "decline";
    /// Fail a request.
    pub const FAIL: &str = "fail";
    /// Set a timer.
    pub const SET_TIMER: &str = "set_alarm";
    /// Check a server's health.
    pub const CHECK_HEALTH: &str = "health_check";
    /// Close the idle connections to a server.
    pub const CLOSE_IDLE_CONNECTIONS: &str = "drop_conns";
    /// Add to a shared counter.
    pub const UPDATE_COUNTER: &str = "post_amount";
    /// Open or close the watch on the endpoint list.
    pub const WATCH_ENDPOINTS: &str = "keep_informed";
    /// Poll the endpoint list.
    pub const POLL_ENDPOINTS: &str = "lookup";
    /// Send a message to another gateway.
    pub const SEND_MESSAGE: &str = "signal";
    /// Write to the log.
    pub const LOG: &str = "emit";
    /// A gateway has panicked.
    pub const PANICKED: &str = "die";
    /// The reply to a batch is complete.
    pub const BATCH_DONE: &str = "done";
}

/// Names of the fields of lines and actions.
pub mod field {
    /// The gateway to which a line belongs.
    pub const GATEWAY: &str = "who";
    /// The time of a batch, in milliseconds.
    pub const BATCH_TIME: &str = "atTimeMs";
    /// The batch's number.
    pub const BATCH: &str = "turn";
    /// The number of an endpoint list within a batch.
    pub const LIST: &str = "list";
    /// Number of entries of an endpoint list.
    pub const LIST_LENGTH: &str = "membersList";
    /// The form of an endpoint list: full, differences or unavailable.
    pub const LIST_FORM: &str = "form";
    /// A server's name.
    pub const SERVER: &str = "server";
    /// Index of a server's zone.
    pub const ZONE: &str = "regionPart";
    /// Index of a server's hardware type.
    pub const HARDWARE_TYPE: &str = "hw";
    /// Index of a server's cell.
    pub const CELL: &str = "cluster";
    /// An endpoint's state.
    pub const ENDPOINT_STATE: &str = "condition";
    /// A server's weight.
    pub const ENDPOINT_WEIGHT: &str = "rating";
    /// The start time of a server, in milliseconds; 0 if the server started long ago.
    pub const STARTED_AT: &str = "launchedMs";
    /// A request's id.
    pub const REQUEST: &str = "tid";
    /// An attempt's number.
    pub const ATTEMPT: &str = "go";
    /// Index of a request's class.
    pub const CLASS: &str = "service";
    /// Index of a request's plan.
    pub const PLAN: &str = "contract";
    /// A request's tenant.
    pub const TENANT: &str = "caller";
    /// A request's estimated units.
    pub const UNITS: &str = "weight";
    /// The first gateway of a tenant.
    pub const FIRST_GATEWAY: &str = "fromNo";
    /// Number of gateways that receive a tenant's requests (the gateway spread).
    pub const GATEWAY_SPREAD: &str = "doors";
    /// The time remaining until the client's deadline, in milliseconds.
    pub const TIME_LEFT: &str = "ttlMs";
    /// The outcome of a call.
    pub const OUTCOME: &str = "rc";
    /// The duration of a call, in milliseconds.
    pub const ELAPSED: &str = "delaySeenMs";
    /// Whether the request has its final answer.
    pub const IS_FINAL: &str = "doneFlag";
    /// The actual units of an attempt; 0 if the estimate applies.
    pub const ACTUAL_UNITS: &str = "cost";
    /// The values of a load report, separated by commas.
    pub const LOAD: &str = "serverStats";
    /// The names of the load report's values, in the line that starts a gateway.
    pub const LOAD_FIELDS: &str = "telemetry.names";
    /// A timer's token.
    pub const TIMER_TOKEN: &str = "ctx";
    /// The gateway that sent a message.
    pub const SENDER: &str = "sender";
    /// A message's bytes, in base64.
    pub const DATA: &str = "data";
    /// A counter's key.
    pub const COUNTER_KEY: &str = "name";
    /// A counter's total.
    pub const TOTAL: &str = "total";
    /// The amount to add to a counter.
    pub const AMOUNT: &str = "amount";
    /// The lifetime of a new counter, in milliseconds.
    pub const LIFETIME: &str = "livesMs";
    /// The time limit of an attempt, in milliseconds.
    pub const TIME_LIMIT: &str = "limitMs";
    /// The Retry-After of a rejection, in milliseconds.
    pub const RETRY_AFTER: &str = "holdOffMs";
    /// A timer's delay, in milliseconds.
    pub const DELAY: &str = "waitMs";
    /// Whether to open or close the watch on the endpoint list.
    pub const WATCHING: &str = "active";
    /// The gateway that receives a message; -1 for all gateways.
    pub const RECEIVER: &str = "addressee";
    /// A text for human readers.
    pub const MESSAGE: &str = "message";
}
