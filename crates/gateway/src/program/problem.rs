//! Problems of a configuration file: where they are, and which known name was probably meant by an unknown one.

use std::cell::RefCell;
use std::fmt;

/// One thing that is wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what is allowed.
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
    /// A text without problems so far.
    pub fn new(text: &'t str) -> Self {
        Problems { text, found: RefCell::default() }
    }

    /// Adds a problem at an offset in bytes.
    pub fn add(&self, offset: usize, message: String) {
        let before = &self.text[..self.text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.found.borrow_mut().push(Problem { line, column, message });
    }

    /// All problems in the order of the file.
    pub fn into_sorted(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found
    }
}

/// One letter of a key may differ from a similar key for each so many letters that it has.
const LETTERS_PER_TYPO: usize = 3;

/// The known name most similar to a given one, if any is similar enough.
pub fn nearest<'n>(given: &str, known: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let near = known.into_iter().map(|name| (strsim::damerau_levenshtein(given, name), name)).min()?;
    (near.0 <= given.chars().count().div_ceil(LETTERS_PER_TYPO)).then_some(near.1)
}

/// The end of a problem about an unknown name: the similar name, or all known ones.
pub(super) fn suggestion<'n>(given: &str, known: impl IntoIterator<Item = &'n str> + Clone) -> String {
    match nearest(given, known.clone()) {
        Some(name) => format!("; '{name}' is perhaps meant"),
        None => {
            let all: Vec<_> = known.into_iter().map(|name| format!("'{name}'")).collect();
            if all.is_empty() {
                String::new()
            } else {
                format!("; known here: {}", all.join(", "))
            }
        }
    }
}
