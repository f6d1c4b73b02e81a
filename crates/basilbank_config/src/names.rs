//! Names of one kind, and references to them.

use crate::{
    report::{Position, Report},
    suggestion::closest_match,
};

/// Unknown references that get a suggestion; more would cost time in a large catalogue.
const MAX_SUGGESTIONS: usize = 100;

/// A name where it is given.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Name {
    /// Hash of the name.
    pub id: u64,
    /// The name.
    pub text: String,
    /// Where.
    pub pos: Position,
}

/// All names of one kind. `seal` comes before all look-ups.
#[derive(Debug)]
pub(crate) struct NameTable {
    noun: &'static str,
    names: Vec<Name>,
}

impl NameTable {
    /// No names yet of what is called `noun`.
    pub fn new(noun: &'static str) -> NameTable {
        NameTable { noun, names: Vec::new() }
    }

    /// Adds a name.
    pub fn add(&mut self, id: u64, text: &str, pos: Position) {
        self.names.push(Name { id, text: text.to_owned(), pos });
    }

    /// Reports names that are given twice, and different names whose hashes are the same. Daemons
    /// know things by the hash alone: with such a pair, work for the one would go to the other, and
    /// nothing but wrong answers would show it. Renaming one of them is cheap.
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

    /// Like `seal`, for names that may be given any number of times.
    pub fn sort_and_check_shared(&mut self, report: &mut Report<'_>) {
        self.names.sort_unstable();
        self.names.dedup_by(|a, b| a.text == b.text);
        self.sort_and_check_unique(report);
    }

    /// Reports references to names that are not there.
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

    /// The name with an id.
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
