//! Names of one kind of item, and checks of the references to them.

use crate::{
    report::{Position, Report},
    suggestion::closest_match,
};

/// Maximum number of unknown references that get a suggestion. More would take too long in a large
/// catalogue.
const MAX_SUGGESTIONS: usize = 100;

/// A name at one position in a document.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Name {
    /// Hash of the name, which identifies the item.
    pub id: u64,
    /// The name as written.
    pub text: String,
    /// Position of the name.
    pub pos: Position,
}

/// All names of one kind of item. Call `sort_and_check_unique` or `sort_and_check_shared` before
/// any lookup, because lookups use binary search.
#[derive(Debug)]
pub(crate) struct NameTable {
    noun: &'static str,
    names: Vec<Name>,
}

impl NameTable {
    /// Creates an empty table. `noun` is what messages call an item of this kind.
    pub fn new(noun: &'static str) -> NameTable {
        NameTable { noun, names: Vec::new() }
    }

    /// Adds a name with its hash and position.
    pub fn add(&mut self, id: u64, text: &str, pos: Position) {
        self.names.push(Name { id, text: text.to_owned(), pos });
    }

    /// Sorts the names, and reports duplicates and different names with the same hash. Daemons
    /// identify items by the hash alone: with such a collision, calls for one item would run on the
    /// other, and only wrong answers would show it. Renaming one of them is cheap.
    pub fn sort_and_check_unique(&mut self, report: &mut Report<'_>) {
        self.names.sort_unstable();
        for pair in self.names.windows(2) {
            let [first, second] = pair else { continue };
            if first.id != second.id {
                continue;
            }
            let (noun, text) = (self.noun, &second.text);
            if first.text == second.text {
                let message = format!("there are two with the {noun} name \"{text}\"");
                report.conflict(second.pos, first.pos, message, "rename or remove one");
            } else {
                let message = format!(
                    "the {noun} names \"{}\" and \"{text}\" have the same hash",
                    first.text
                );
                report.conflict(second.pos, first.pos, message, "rename one of them");
            }
        }
    }

    /// Does the same as `sort_and_check_unique` for names that may occur more than once: only hash
    /// collisions are reported.
    pub fn sort_and_check_shared(&mut self, report: &mut Report<'_>) {
        self.names.sort_unstable();
        self.names.dedup_by(|a, b| a.text == b.text);
        self.sort_and_check_unique(report);
    }

    /// Reports references to names that the table doesn't contain.
    pub fn check_references(&self, report: &mut Report<'_>, references: &[Name]) {
        let unresolved = references.iter().filter(|r| !self.contains_id(r.id));
        for (i, reference) in unresolved.enumerate() {
            let (noun, text) = (self.noun, &reference.text);
            let suggestion = (i < MAX_SUGGESTIONS).then(|| self.suggest(text)).flatten();
            let help = match suggestion {
                Some(suggestion) => format!("did you mean \"{suggestion}\"?"),
                None => format!("add a {noun} of this name, or name another"),
            };
            report.error(reference.pos, format!("there is no {noun} \"{text}\""), help);
        }
    }

    /// Returns the name with an id.
    pub fn name_of(&self, id: u64) -> Option<&str> {
        let index = self.names.binary_search_by_key(&id, |n| n.id).ok()?;
        Some(&self.names[index].text)
    }

    fn contains_id(&self, id: u64) -> bool {
        self.names.binary_search_by_key(&id, |n| n.id).is_ok()
    }

    fn suggest(&self, text: &str) -> Option<&str> {
        closest_match(text, self.names.iter().map(|n| n.text.as_str()))
    }
}

#[cfg(test)]
mod tests;
