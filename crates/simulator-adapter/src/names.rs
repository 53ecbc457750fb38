//! The names of the simulator's protocol, each with what it stands for: the one place that translates them.
//!
//! They are the operators' and stay as they are when names here change.

/// Names of lines: events that come in and frames around them.
pub mod line {
    /// Opens a batch.
    pub const BATCH_START: &str = "begin_batch";
    /// Ends a batch and asks for the actions.
    pub const BATCH_END: &str = "your_turn";
    /// An endpoint list follows, an entry a line.
    pub const ENDPOINT_LIST: &str = "directory";
    /// An entry of the endpoint list.
    pub const ENDPOINT: &str = "row";
    /// A gateway starts.
    pub const START: &str = "born";
    /// A gateway stops.
    pub const STOP: &str = "stop";
    /// A client's request has come in.
    pub const REQUEST: &str = "ask";
    /// A response has begun to stream.
    pub const RESPONSE_STARTED: &str = "flowing";
    /// An attempt has ended.
    pub const ATTEMPT_COMPLETED: &str = "returned";
    /// A client has gone.
    pub const CLIENT_DISCONNECTED: &str = "dropped";
    /// A timer has fired.
    pub const TIMER: &str = "reminder";
    /// A health check has ended.
    pub const HEALTH_CHECK_COMPLETED: &str = "probe_done";
    /// A message of another gateway has come.
    pub const MESSAGE: &str = "mail";
    /// A call to the shared counter has ended.
    pub const COUNTER_REPLY: &str = "tally_back";
    /// The endpoint list has changed, or could not be had.
    pub const WATCH_EVENT: &str = "membership";
}

/// Names of the actions that go out.
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
    /// Open or end the watch on the endpoint list.
    pub const WATCH_ENDPOINTS: &str = "keep_informed";
    /// Poll the endpoint list.
    pub const POLL_ENDPOINTS: &str = "lookup";
    /// Send a message to another gateway.
    pub const SEND_MESSAGE: &str = "signal";
    /// Write to the log.
    pub const LOG: &str = "emit";
    /// A gateway has panicked.
    pub const PANICKED: &str = "die";
    /// All actions of a batch are written.
    pub const BATCH_DONE: &str = "done";
}

/// Names of the fields of lines and actions.
pub mod field {
    /// The gateway that a line is about.
    pub const GATEWAY: &str = "who";
    /// The time of a batch, in milliseconds.
    pub const BATCH_TIME: &str = "atTimeMs";
    /// The batch's number.
    pub const BATCH: &str = "turn";
    /// The number of an endpoint list within a batch.
    pub const LIST: &str = "list";
    /// How many entries an endpoint list has.
    pub const LIST_LENGTH: &str = "membersList";
    /// What an endpoint list is: a full one, changes, or none.
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
    /// When a server started, in milliseconds; 0 where that is long past.
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
    /// How many gateways a tenant's requests come through.
    pub const GATEWAY_SPREAD: &str = "doors";
    /// The time until a client's deadline, in milliseconds.
    pub const TIME_LEFT: &str = "ttlMs";
    /// How a call ended.
    pub const OUTCOME: &str = "rc";
    /// How long a call took, in milliseconds.
    pub const ELAPSED: &str = "delaySeenMs";
    /// A request has its final answer.
    pub const IS_FINAL: &str = "doneFlag";
    /// The units that an attempt cost; 0 where the estimate holds.
    pub const ACTUAL_UNITS: &str = "cost";
    /// The values of a load report, with commas between them.
    pub const LOAD: &str = "serverStats";
    /// The names of these values, in the line that starts a gateway.
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
    /// What is added to a counter.
    pub const AMOUNT: &str = "amount";
    /// For how long a new counter is kept, in milliseconds.
    pub const LIFETIME: &str = "livesMs";
    /// The time limit of an attempt, in milliseconds.
    pub const TIME_LIMIT: &str = "limitMs";
    /// The Retry-After of a rejection, in milliseconds.
    pub const RETRY_AFTER: &str = "holdOffMs";
    /// A timer's delay, in milliseconds.
    pub const DELAY: &str = "waitMs";
    /// The watch on the endpoint list is open.
    pub const WATCHING: &str = "active";
    /// The gateway that a message goes to; -1 for all.
    pub const RECEIVER: &str = "addressee";
    /// A text for people.
    pub const MESSAGE: &str = "message";
}
