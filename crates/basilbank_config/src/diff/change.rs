//! One change and what follows from it.

use std::fmt;

/// A kind of thing in the catalogue.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ItemKind {
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

impl ItemKind {
    /// What it is called.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ItemKind::Team => "team",
            ItemKind::Class => "class",
            ItemKind::Model => "model",
            ItemKind::Service => "service",
            ItemKind::Entry => "entry",
            ItemKind::Endpoint => "endpoint",
            ItemKind::WeightStore => "weight store",
        }
    }
}

/// What happens to a thing.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
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
    EndpointDrains,
    /// The endpoint takes new work.
    EndpointTakesWork,
    /// The model's endpoints are to be changed to this.
    ModelRollout {
        /// The model.
        model: String,
        /// The version.
        version: String,
        /// The adapter; empty for none.
        adapter: String,
        /// Endpoints that take orders.
        accepting_orders: usize,
        /// Endpoints that don't: somebody has to change them.
        manual: usize,
    },
    /// A team is owed another share of a target.
    GuaranteedShareChanged {
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
    AccessGranted {
        /// The team.
        team: String,
        /// The target, with its kind.
        target: String,
    },
    /// A team's new calls to a target are refused.
    AccessRevoked {
        /// The team.
        team: String,
        /// The target, with its kind.
        target: String,
    },
    /// Keys come and go.
    KeysChanged {
        /// Keys accepted from now on.
        added: usize,
        /// Keys no longer accepted.
        removed: usize,
    },
    /// Entries whose promise changes.
    ServiceLevelChanged {
        /// How many.
        entries: usize,
    },
}

impl fmt::Display for Consequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Consequence::EndpointDrains => write!(f, "endpoint drains"),
            Consequence::EndpointTakesWork => write!(f, "endpoint takes new work"),
            Consequence::ModelRollout { model, version, adapter, accepting_orders, manual } => {
                write!(f, "model {model} rolls to version {version}")?;
                if !adapter.is_empty() {
                    write!(f, " with adapter {adapter}")?;
                }
                write!(f, ": {accepting_orders} endpoints by order, {manual} take no orders")
            }
            Consequence::GuaranteedShareChanged { team, target, old, new } => {
                write!(f, "owed share of {team} in {target} goes from {old} to {new}")
            }
            Consequence::AccessGranted { team, target } => write!(f, "{team} may use {target}"),
            Consequence::AccessRevoked { team, target } => {
                write!(f, "new calls of {team} to {target} by this entry are refused")
            }
            Consequence::KeysChanged { added, removed } => {
                write!(f, "{added} keys are accepted that weren't, {removed} no longer")
            }
            Consequence::ServiceLevelChanged { entries } => {
                write!(f, "changes {entries} entries' promise")
            }
        }
    }
}

/// One change.
#[derive(Clone, PartialEq, Debug)]
pub struct Change {
    /// What kind of thing.
    pub item_kind: ItemKind,
    /// Its name; empty for the weight store.
    pub name: String,
    /// What happens to it.
    pub action: Action,
    /// What follows.
    pub consequence: Option<Consequence>,
}

impl Change {
    /// A change of one thing.
    #[must_use]
    pub fn new(
        item_kind: ItemKind,
        name: &str,
        action: Action,
        consequence: Option<Consequence>,
    ) -> Change {
        Change { item_kind, name: name.to_owned(), action, consequence }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed { .. } => '~',
        };
        write!(f, "{sign} {}", self.item_kind.as_str())?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        if let Action::Changed { field, old, new } = &self.action {
            write!(f, ": {field} {old} -> {new}")?;
        }
        if let Some(consequence) = &self.consequence {
            write!(f, "; {consequence}")?;
        }
        Ok(())
    }
}
