//! Names of one kind, and references to them.

use crate::{
    nearest::nearest,
    report::{Report, Spot},
};

/// Unknown references that get a suggestion; more would cost time in a large catalogue.
const SUGGESTIONS: usize = 100;

/// A name where it is given.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Name {
    /// Hash of the name.
    pub id: u64,
    /// The name.
    pub text: String,
    /// Where.
    pub spot: Spot,
}

/// All names of one kind. `seal` comes before all look-ups.
#[derive(Debug)]
pub(crate) struct Names {
    noun: &'static str,
    all: Vec<Name>,
}

impl Names {
    /// No names yet of what is called `noun`.
    pub fn new(noun: &'static str) -> Names {
        Names { noun, all: Vec::new() }
    }

    /// Adds a name.
    pub fn add(&mut self, id: u64, text: &str, spot: Spot) {
        self.all.push(Name { id, text: text.to_owned(), spot });
    }

    /// Reports names that are given twice, and different names whose hashes are the same. Daemons
    /// know things by the hash alone: with such a pair, work for the one would go to the other, and
    /// nothing but wrong answers would show it. Renaming one of them is cheap.
    pub fn seal(&mut self, report: &mut Report<'_>) {
        self.all.sort_unstable();
        for pair in self.all.windows(2) {
            let [first, second] = pair else { continue };
            if first.id != second.id {
                continue;
            }
            let (noun, text) = (self.noun, &second.text);
            if first.text == second.text {
                let message = format!("there are two with the {noun} name \"{text}\"");
                report.clash(second.spot, first.spot, message, "rename or remove one");
            } else {
                let message = format!(
                    "the {noun} names \"{}\" and \"{text}\" have the same hash",
                    first.text
                );
                report.clash(second.spot, first.spot, message, "rename one of them");
            }
        }
    }

    /// Like `seal`, for names that may be given any number of times.
    pub fn seal_shared(&mut self, report: &mut Report<'_>) {
        self.all.sort_unstable();
        self.all.dedup_by(|a, b| a.text == b.text);
        self.seal(report);
    }

    /// Reports references to names that are not there.
    pub fn resolve(&self, report: &mut Report<'_>, references: &[Name]) {
        let dangling = references.iter().filter(|r| !self.has(r.id));
        for (i, reference) in dangling.enumerate() {
            let (noun, text) = (self.noun, &reference.text);
            let near = (i < SUGGESTIONS).then(|| self.nearest(text)).flatten();
            let help = match near {
                Some(near) => format!("did you mean \"{near}\"?"),
                None => format!("add a {noun} of this name, or name another"),
            };
            report.error(reference.spot, format!("there is no {noun} \"{text}\""), help);
        }
    }

    /// The name with an id.
    pub fn text(&self, id: u64) -> Option<&str> {
        let found = self.all.binary_search_by_key(&id, |n| n.id).ok()?;
        Some(&self.all[found].text)
    }

    fn has(&self, id: u64) -> bool {
        self.all.binary_search_by_key(&id, |n| n.id).is_ok()
    }

    fn nearest(&self, text: &str) -> Option<&str> {
        nearest(text, self.all.iter().map(|n| n.text.as_str()))
    }
}

#[cfg(test)]
mod tests;
