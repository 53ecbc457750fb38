//! The decisions. A placeholder that nacks everything, until the mechanism stands.

use crate::interface::{Host, Id, ListNews, Micros, Outcome, Returned, Settings, Transaction};

pub struct Gateway<H: Host> {
    host: H,
}

impl<H: Host> Gateway<H> {
    pub fn start(_settings: Settings, host: H) -> Self {
        Gateway { host }
    }

    pub fn transaction(&mut self, arrived: Transaction) {
        self.host.nack(&arrived.id, 0);
    }

    pub fn flowing(&mut self, _transaction: &Id, _trip: usize) {}

    pub fn returned(&mut self, _end: Returned) {}

    pub fn dropped(&mut self, _transaction: &Id) {}

    pub fn alarm(&mut self, _token: &str) {}

    pub fn list(&mut self, _news: ListNews) {}

    pub fn probed(&mut self, _server: &Id, _outcome: Outcome) {}

    pub fn counted(&mut self, _count: &str, _outcome: Outcome, _total: f64, _took: Micros) {}

    pub fn told(&mut self, _gateway: u32, _data: &[u8]) {}
}
