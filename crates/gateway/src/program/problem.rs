//! Problems of a configuration file: their positions, and suggestions for misspelt names.

use std::cell::RefCell;
use std::fmt;

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line number, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// The value found and the allowed values.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "line {}, column {}: {}", self.line, self.column, self.message)
    }
}

/// The text of a file and the problems found in it.
pub struct Problems<'t> {
    text: &'t str,
    found: RefCell<Vec<Problem>>,
}

impl<'t> Problems<'t> {
    /// A text with no problems found yet.
    pub fn new(text: &'t str) -> Self {
        Problems { text, found: RefCell::default() }
    }

    /// Adds a problem at a byte offset.
    pub fn add(&self, offset: usize, message: String) {
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.found.borrow_mut().push(Problem { line, column, message });
    }

    /// All problems, ordered by position.
    pub fn into_sorted(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found
    }
}

/// Letters of a name per edit by which it may differ from a known name that is suggested.
const LETTERS_PER_EDIT: usize = 3;

/// The known name that is most similar to the given name, if any is similar enough.
pub fn nearest<'n>(given: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let closest = known.into_iter().map(|name| (strsim::damerau_levenshtein(given, name), name)).min()?;
    (closest.0 <= given.chars().count().div_ceil(LETTERS_PER_EDIT)).then_some(closest.1)
}

/// The end of a message about an unknown name: the most similar known name, or all known names.
pub(super) fn suggestion<'n>(given: &str, known: impl IntoIterator<Item = &'n str> + Clone) -> String {
    match nearest(given, known.clone()) {
        Some(name) => format!("; did you mean '{name}'?"),
        None => {
            let names: Vec<_> = known.into_iter().map(|name| format!("'{name}'")).collect();
            if names.is_empty() {
                String::new()
            } else {
                format!("; known names: {}", names.join(", "))
            }
        }
    }
}
