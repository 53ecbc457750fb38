//! A map from counter keys to values that expire. It limits neither its size nor its values; its users do.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::Micros;

#[derive(Clone, Debug)]
pub(crate) struct Expiring<V> {
    pub expires_at: Micros,
    pub value: V,
}

#[derive(Clone, Debug)]
pub(crate) struct ExpiringMap<V> {
    entries: BTreeMap<Arc<str>, Expiring<V>>,
    expirations: BTreeSet<(Micros, Arc<str>)>,
}

impl<V> ExpiringMap<V> {
    pub fn new() -> Self {
        ExpiringMap { entries: BTreeMap::new(), expirations: BTreeSet::new() }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn contains_key(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Adds an entry. The map must not contain the key.
    pub fn insert(&mut self, now: Micros, key: &str, lifetime: Micros, value: V) {
        let key: Arc<str> = key.into();
        let expires_at = now.saturating_add(lifetime);
        self.expirations.insert((expires_at, key.clone()));
        self.entries.insert(key, Expiring { expires_at, value });
    }

    pub fn get(&self, key: &str) -> Option<&Expiring<V>> {
        self.entries.get(key)
    }

    pub fn get_mut(&mut self, key: &str) -> Option<&mut Expiring<V>> {
        self.entries.get_mut(key)
    }

    /// The map's own copy of the key, which is cheap to clone.
    pub fn shared_key(&self, key: &str) -> Option<Arc<str>> {
        self.entries.get_key_value(key).map(|(shared, _)| shared.clone())
    }

    /// All entries, ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Expiring<V>)> {
        self.entries.iter()
    }

    pub fn remove_expired(&mut self, now: Micros) {
        while self.expirations.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            if let Some((_, key)) = self.expirations.pop_first() {
                self.entries.remove(&key);
            }
        }
    }
}
