//! One change and what follows from it.

use std::fmt;

/// A kind of thing in the catalogue.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Item {
    /// A team.
    Team,
    /// A class of service.
    Class,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// An entry.
    Entry,
    /// An endpoint.
    Endpoint,
    /// The weight store, of which there is one.
    WeightStore,
}

impl Item {
    /// What it is called.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Item::Team => "team",
            Item::Class => "class",
            Item::Model => "model",
            Item::Service => "service",
            Item::Entry => "entry",
            Item::Endpoint => "endpoint",
            Item::WeightStore => "weight store",
        }
    }
}

/// What happens to a thing.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Step {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// A field changes.
    Changed {
        /// The field, as in a document.
        field: &'static str,
        /// The value before.
        old: String,
        /// The value afterwards.
        new: String,
    },
}

/// What follows from a change.
#[derive(Clone, PartialEq, Debug)]
pub enum Consequence {
    /// The endpoint takes no new work; requests in progress finish.
    Drains,
    /// The endpoint takes new work.
    TakesWork,
    /// The model's endpoints are to be changed to this.
    Rolls {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// The adapter; empty for none.
        adapter: String,
        /// Endpoints that take orders.
        ordered: usize,
        /// Endpoints that don't: somebody has to change them.
        manual: usize,
    },
    /// A team is owed another share of a target.
    Owed {
        /// The team.
        team: String,
        /// The target, with its kind.
        target: String,
        /// The share before.
        old: f64,
        /// The share afterwards.
        new: f64,
    },
    /// A team may use a target.
    Access {
        /// The team.
        team: String,
        /// The target, with its kind.
        target: String,
    },
    /// A team's new calls to a target are refused.
    NoAccess {
        /// The team.
        team: String,
        /// The target, with its kind.
        target: String,
    },
    /// Keys come and go.
    Keys {
        /// Keys accepted from now on.
        added: usize,
        /// Keys no longer accepted.
        removed: usize,
    },
    /// Entries whose promise changes.
    Promise {
        /// How many.
        entries: usize,
    },
}

impl fmt::Display for Consequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Consequence::Drains => write!(f, "endpoint drains"),
            Consequence::TakesWork => write!(f, "endpoint takes new work"),
            Consequence::Rolls { model, version, adapter, ordered, manual } => {
                write!(f, "model {model} rolls to version {version}")?;
                if !adapter.is_empty() {
                    write!(f, " with adapter {adapter}")?;
                }
                write!(f, ": {ordered} endpoints by order, {manual} take no orders")
            }
            Consequence::Owed { team, target, old, new } => {
                write!(f, "owed share of {team} in {target} goes from {old} to {new}")
            }
            Consequence::Access { team, target } => write!(f, "{team} may use {target}"),
            Consequence::NoAccess { team, target } => {
                write!(f, "new calls of {team} to {target} by this entry are refused")
            }
            Consequence::Keys { added, removed } => {
                write!(f, "{added} keys are accepted that weren't, {removed} no longer")
            }
            Consequence::Promise { entries } => write!(f, "changes {entries} entries' promise"),
        }
    }
}

/// One change.
#[derive(Clone, PartialEq, Debug)]
pub struct Change {
    /// What kind of thing.
    pub item: Item,
    /// Its name; empty for the weight store.
    pub name: String,
    /// What happens to it.
    pub step: Step,
    /// What follows.
    pub consequence: Option<Consequence>,
}

impl Change {
    /// A change of one thing.
    #[must_use]
    pub fn new(item: Item, name: &str, step: Step, consequence: Option<Consequence>) -> Change {
        Change { item, name: name.to_owned(), step, consequence }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.step {
            Step::Added => '+',
            Step::Removed => '-',
            Step::Changed { .. } => '~',
        };
        write!(f, "{sign} {}", self.item.as_str())?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        if let Step::Changed { field, old, new } = &self.step {
            write!(f, ": {field} {old} -> {new}")?;
        }
        if let Some(consequence) = &self.consequence {
            write!(f, "; {consequence}")?;
        }
        Ok(())
    }
}
