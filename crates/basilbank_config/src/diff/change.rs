//! A change of a catalogue item and its consequence.

use std::fmt;

/// Kind of a catalogue item.
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
    /// The weight store; a catalogue has at most one.
    WeightStore,
}

impl ItemKind {
    /// Returns the name of the kind, for output.
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

/// What happens to an item.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// The item is new.
    Added,
    /// The item is removed.
    Removed,
    /// The value of a field changes.
    Changed {
        /// Name of the field in a document.
        field: &'static str,
        /// Previous value.
        old: String,
        /// New value.
        new: String,
    },
}

/// Consequence of a change for the running system.
#[derive(Clone, PartialEq, Debug)]
pub enum Consequence {
    /// The endpoint takes no new work; requests in progress finish.
    EndpointDrains,
    /// The endpoint takes new work.
    EndpointTakesWork,
    /// The endpoints of the model have to switch to another version or adapter.
    ModelRollout {
        /// Name of the model.
        model: String,
        /// Version to switch to.
        version: String,
        /// Adapter to load; empty for none.
        adapter: String,
        /// Number of endpoints that accept orders and are switched by the router.
        accepting_orders: usize,
        /// Number of endpoints that don't accept orders and have to be switched by hand.
        manual: usize,
    },
    /// A team's guaranteed share of a target changes.
    GuaranteedShareChanged {
        /// Name of the team.
        team: String,
        /// Kind and name of the target.
        target: String,
        /// Previous share.
        old: f64,
        /// New share.
        new: f64,
    },
    /// A team may use a target.
    AccessGranted {
        /// Name of the team.
        team: String,
        /// Kind and name of the target.
        target: String,
    },
    /// New calls of a team to a target are refused.
    AccessRevoked {
        /// Name of the team.
        team: String,
        /// Kind and name of the target.
        target: String,
    },
    /// The accepted keys of a team change.
    KeysChanged {
        /// Number of keys that become valid.
        added: usize,
        /// Number of keys that become invalid.
        removed: usize,
    },
    /// The service level that entries promise changes.
    ServiceLevelChanged {
        /// Number of entries.
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

/// A change of one item, or of one field of an item.
#[derive(Clone, PartialEq, Debug)]
pub struct Change {
    /// Kind of the item.
    pub item_kind: ItemKind,
    /// Name of the item; empty for the weight store.
    pub name: String,
    /// What happens to the item.
    pub action: Action,
    /// Consequence for the running system, if any.
    pub consequence: Option<Consequence>,
}

impl Change {
    /// Creates a change.
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
