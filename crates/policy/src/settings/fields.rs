//! Typed access to named values. This module knows no setting by name.

use super::SettingsError;
use crate::event::Micros;

/// Microseconds in a millisecond, the platform's unit of time.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// A source of named values. For example, `lanes.0.value` is the value of the first class.
///
/// The methods that read a value return a [`SettingsError`] if the value is missing or invalid.
pub trait Fields {
    /// Returns the text of a value, if it is present.
    fn field(&self, key: &str) -> Option<&str>;

    /// Returns the text of a required value.
    fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.field(key).ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// Returns a finite number, if it is present.
    fn optional_number(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        let Some(text) = self.field(key) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(SettingsError::NotANumber { key: key.into(), found: text.into() }),
        }
    }

    /// Returns a required finite number.
    fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.optional_number(key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// Returns a finite number, or its default.
    fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.optional_number(key)?.unwrap_or(default))
    }

    /// Returns a required non-negative integer.
    fn whole(&self, key: &str) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| SettingsError::NotAWholeNumber { key: key.into(), found: text.into() })
    }

    /// Returns a non-negative integer, or its default.
    fn whole_or(&self, key: &str, default: u64) -> Result<u64, SettingsError> {
        self.field(key).map_or(Ok(default), |_| self.whole(key))
    }

    /// Returns a non-negative number, or its default.
    fn amount_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let number = self.number_or(key, default)?;
        if number < 0.0 {
            return Err(SettingsError::Negative { key: key.into(), found: number });
        }
        Ok(number)
    }

    /// Returns a required time, given in milliseconds.
    fn time(&self, key: &str) -> Result<Micros, SettingsError> {
        self.number(key)?;
        Ok((self.amount_or(key, 0.0)? * MICROS_PER_MILLISECOND).round() as Micros)
    }

    /// Returns a required time other than 0, given in milliseconds.
    fn nonzero_time(&self, key: &str) -> Result<Micros, SettingsError> {
        match self.time(key)? {
            0 => Err(SettingsError::NoTime { key: key.into(), found: self.text(key)?.into() }),
            time => Ok(time),
        }
    }

    /// Returns a time given in milliseconds, or its default in microseconds.
    fn time_or(&self, key: &str, default: Micros) -> Result<Micros, SettingsError> {
        self.field(key).map_or(Ok(default), |_| self.time(key))
    }

    /// Returns a flag; false if it is absent.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.field(key) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(SettingsError::NotAFlag { key: key.into(), found: other.into() }),
        }
    }

    /// Returns names separated by commas; none if the value is absent.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.field(key).unwrap_or_default().split(',');
        names.filter(|name| !name.is_empty()).map(String::from).collect()
    }
}
