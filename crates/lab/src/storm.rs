//! Storms: schedules of overlapping faults, drawn by seed from a menu.

use serde::{Deserialize, Serialize};

/// What storms are drawn from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Menu {
    /// Faults of one storm.
    pub faults: u32,
}
