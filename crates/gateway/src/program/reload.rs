//! Applies a new configuration to a running gateway: the addresses of discovery and of the shared counter, the keys of
//! membership, and the injected faults. All other changes take effect after a restart.

use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::Value;
use slog::info;

use super::config::Config;
use super::run::Mailboxes;
use crate::counter::Counter;
use crate::discovery;
use crate::shared::{Event, Shared};

/// The addresses in use, which a new configuration can change, and the fields that only a restart can change.
pub(super) struct ReloadableAddresses {
    discovery: SocketAddr,
    counter: Option<SocketAddr>,
    restart_only_fields: Value,
}

impl ReloadableAddresses {
    pub(super) fn of(config: &Config) -> Self {
        ReloadableAddresses {
            discovery: config.discovery,
            counter: config.counter,
            restart_only_fields: config.restart_only_fields.clone(),
        }
    }

    /// Applies the changes that need no restart, and logs whether any other field has changed. Calls in flight to the old
    /// shared counter are still completed.
    pub(super) async fn apply(&mut self, new: Config, shared: &Rc<Shared>, mailboxes: &Mailboxes) {
        new.clock_fault.step();
        if let Some((membership, settings)) = shared.membership.get().zip(new.membership.as_ref()) {
            membership.set_keys(&settings.keys);
        }
        if let Some(leases) = shared.leases.get() {
            leases.set_store_faults(new.store_faults);
        }
        if new.counter != self.counter {
            self.counter = new.counter;
            let counter = new.counter.map(|address| Counter::start(shared, &mailboxes.events, address));
            drop(mailboxes.events.send(Event::CounterReplaced(counter)).await);
        }
        if new.discovery != self.discovery {
            self.discovery = new.discovery;
            drop(mailboxes.discovery.send(discovery::Order::ChangeAddress(new.discovery)).await);
        }
        info!(shared.log, #"config.used", "the new configuration has been applied";
            "discovery" => new.discovery.to_string(), "counter" => new.counter.map(|counter| counter.to_string()),
            "waits_for_restart" => new.restart_only_fields != self.restart_only_fields);
    }
}
