//! What follows from a change of each kind of thing.

use basilbank_core::catalogue::{Class, Endpoint, Entry, EntryTarget, ModelSpec, Service, Team};

use super::{change::Consequence, describe::Lookup};

/// A thing whose changes have consequences.
pub(super) trait Follow {
    /// It is new.
    fn added(&self, _: &Lookup<'_>) -> Option<Consequence> {
        None
    }

    /// It is gone.
    fn removed(&self, _: &Lookup<'_>) -> Option<Consequence> {
        None
    }

    /// One of its fields is another than in `old`.
    fn changed(&self, old: &Self, field: &str, lookup: &Lookup<'_>) -> Option<Consequence>;
}

impl Follow for Team {
    fn added(&self, _: &Lookup<'_>) -> Option<Consequence> {
        Some(Consequence::Keys { added: self.keys.len(), removed: 0 })
    }

    fn removed(&self, _: &Lookup<'_>) -> Option<Consequence> {
        Some(Consequence::Keys { added: 0, removed: self.keys.len() })
    }

    fn changed(&self, old: &Team, _: &str, _: &Lookup<'_>) -> Option<Consequence> {
        let beyond = |a: &Team, b: &Team| a.keys.iter().filter(|k| !b.keys.contains(k)).count();
        Some(Consequence::Keys { added: beyond(self, old), removed: beyond(old, self) })
    }
}

impl Follow for Class {
    fn changed(&self, _: &Class, _: &str, lookup: &Lookup<'_>) -> Option<Consequence> {
        let entries = lookup.new.entries.iter().filter(|e| e.class == self.id).count();
        Some(Consequence::Promise { entries })
    }
}

impl Follow for ModelSpec {
    fn changed(&self, _: &ModelSpec, field: &str, lookup: &Lookup<'_>) -> Option<Consequence> {
        if !matches!(field, "version" | "adapter") {
            return None;
        }
        let target = EntryTarget::Model(self.id);
        let serving = lookup.new.endpoints.iter().filter(|e| e.serves == target);
        let (ordered, manual): (Vec<_>, Vec<_>) = serving.partition(|e| e.accepts_orders);
        Some(Consequence::Rolls {
            model: self.name.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            ordered: ordered.len(),
            manual: manual.len(),
        })
    }
}

impl Follow for Service {
    fn changed(&self, _: &Service, _: &str, _: &Lookup<'_>) -> Option<Consequence> {
        None
    }
}

impl Follow for Entry {
    fn added(&self, lookup: &Lookup<'_>) -> Option<Consequence> {
        let (team, target) = (lookup.name(self.team.0), lookup.target(self.target));
        Some(Consequence::Access { team, target })
    }

    fn removed(&self, lookup: &Lookup<'_>) -> Option<Consequence> {
        let (team, target) = (lookup.name(self.team.0), lookup.target(self.target));
        Some(Consequence::NoAccess { team, target })
    }

    fn changed(&self, old: &Entry, field: &str, lookup: &Lookup<'_>) -> Option<Consequence> {
        match field {
            "owed" => Some(Consequence::Owed {
                team: lookup.name(self.team.0),
                target: lookup.target(self.target),
                old: old.limits.owed,
                new: self.limits.owed,
            }),
            "owner" | "target" => old.removed(lookup),
            _ => None,
        }
    }
}

impl Follow for Endpoint {
    fn added(&self, _: &Lookup<'_>) -> Option<Consequence> {
        (!self.leaving).then_some(Consequence::TakesWork)
    }

    fn removed(&self, _: &Lookup<'_>) -> Option<Consequence> {
        Some(Consequence::Drains)
    }

    fn changed(&self, _: &Endpoint, field: &str, _: &Lookup<'_>) -> Option<Consequence> {
        match (field, self.leaving) {
            ("leaving", true) => Some(Consequence::Drains),
            ("leaving", false) => Some(Consequence::TakesWork),
            _ => None,
        }
    }
}
