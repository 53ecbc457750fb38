//! Typed access to named values; it knows no setting by name.

use super::SettingsError;
use crate::event::Micros;

/// Microseconds in the platform's unit of time.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Named values, however they came in; `lanes.0.value` is the value of the first class.
///
/// The methods that read a value fail with the [`SettingsError`] that says what is wrong with it.
pub trait Fields {
    /// The text of a value, where there is one of this name.
    fn field(&self, key: &str) -> Option<&str>;

    /// The text of a value that has no default.
    fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.field(key).ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// A finite number, where there is one of this name.
    fn maybe(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        let Some(text) = self.field(key) else { return Ok(None) };
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(SettingsError::NotANumber { key: key.into(), found: text.into() }),
        }
    }

    /// A finite number that has no default.
    fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.maybe(key)?.ok_or_else(|| SettingsError::Missing { key: key.into() })
    }

    /// A finite number, or its default.
    fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        Ok(self.maybe(key)?.unwrap_or(default))
    }

    /// A whole number that has no default.
    fn whole(&self, key: &str) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| SettingsError::NotAWholeNumber { key: key.into(), found: text.into() })
    }

    /// A whole number, or its default.
    fn whole_or(&self, key: &str, default: u64) -> Result<u64, SettingsError> {
        self.field(key).map_or(Ok(default), |_| self.whole(key))
    }

    /// A number from 0 on, or its default.
    fn amount_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        let number = self.number_or(key, default)?;
        if number < 0.0 {
            return Err(SettingsError::Negative { key: key.into(), found: number });
        }
        Ok(number)
    }

    /// A time in milliseconds that has no default.
    fn time(&self, key: &str) -> Result<Micros, SettingsError> {
        self.number(key)?;
        Ok((self.amount_or(key, 0.0)? * MICROS_PER_MILLISECOND).round() as Micros)
    }

    /// A time in milliseconds that has no default and is not 0.
    fn some_time(&self, key: &str) -> Result<Micros, SettingsError> {
        match self.time(key)? {
            0 => Err(SettingsError::NoTime { key: key.into(), found: self.text(key)?.into() }),
            time => Ok(time),
        }
    }

    /// A time in milliseconds, or its default in microseconds.
    fn time_or(&self, key: &str, default: Micros) -> Result<Micros, SettingsError> {
        self.field(key).map_or(Ok(default), |_| self.time(key))
    }

    /// A flag; false where it is absent.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.field(key) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(SettingsError::NotAFlag { key: key.into(), found: other.into() }),
        }
    }

    /// Names with commas between them; none where they are absent.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.field(key).unwrap_or_default().split(',');
        names.filter(|name| !name.is_empty()).map(String::from).collect()
    }
}
