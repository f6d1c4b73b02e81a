//! Consequences of changes for each kind of catalogue item.

use basilbank_core::catalogue::{Class, Endpoint, Entry, EntryTarget, ModelSpec, Service, Team};

use super::{change::Consequence, describe::NameLookup};

/// A catalogue item whose changes may have consequences.
pub(super) trait ChangeConsequences {
    /// Returns the consequence of adding the item.
    fn when_added(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        None
    }

    /// Returns the consequence of removing the item.
    fn when_removed(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        None
    }

    /// Returns the consequence of changing `field`, compared with the item in `old`.
    fn when_changed(&self, old: &Self, field: &str, lookup: &NameLookup<'_>)
    -> Option<Consequence>;
}

impl ChangeConsequences for Team {
    fn when_added(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        Some(Consequence::KeysChanged { added: self.keys.len(), removed: 0 })
    }

    fn when_removed(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        Some(Consequence::KeysChanged { added: 0, removed: self.keys.len() })
    }

    fn when_changed(&self, old: &Team, _: &str, _: &NameLookup<'_>) -> Option<Consequence> {
        let count_missing =
            |a: &Team, b: &Team| a.keys.iter().filter(|k| !b.keys.contains(k)).count();
        Some(Consequence::KeysChanged {
            added: count_missing(self, old),
            removed: count_missing(old, self),
        })
    }
}

impl ChangeConsequences for Class {
    fn when_changed(&self, _: &Class, _: &str, lookup: &NameLookup<'_>) -> Option<Consequence> {
        let entries = lookup.new_catalogue.entries.iter().filter(|e| e.class == self.id).count();
        Some(Consequence::ServiceLevelChanged { entries })
    }
}

impl ChangeConsequences for ModelSpec {
    fn when_changed(
        &self,
        _: &ModelSpec,
        field: &str,
        lookup: &NameLookup<'_>,
    ) -> Option<Consequence> {
        if !matches!(field, "version" | "adapter") {
            return None;
        }
        let target = EntryTarget::Model(self.id);
        let serving = lookup.new_catalogue.endpoints.iter().filter(|e| e.serves == target);
        let (accepting_orders, manual): (Vec<_>, Vec<_>) = serving.partition(|e| e.accepts_orders);
        Some(Consequence::ModelRollout {
            model: self.name.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
            accepting_orders: accepting_orders.len(),
            manual: manual.len(),
        })
    }
}

impl ChangeConsequences for Service {
    fn when_changed(&self, _: &Service, _: &str, _: &NameLookup<'_>) -> Option<Consequence> {
        None
    }
}

impl ChangeConsequences for Entry {
    fn when_added(&self, lookup: &NameLookup<'_>) -> Option<Consequence> {
        let (team, target) = (lookup.name(self.team.0), lookup.target(self.target));
        Some(Consequence::AccessGranted { team, target })
    }

    fn when_removed(&self, lookup: &NameLookup<'_>) -> Option<Consequence> {
        let (team, target) = (lookup.name(self.team.0), lookup.target(self.target));
        Some(Consequence::AccessRevoked { team, target })
    }

    fn when_changed(
        &self,
        old: &Entry,
        field: &str,
        lookup: &NameLookup<'_>,
    ) -> Option<Consequence> {
        match field {
            "owed" => Some(Consequence::GuaranteedShareChanged {
                team: lookup.name(self.team.0),
                target: lookup.target(self.target),
                old: old.limits.owed,
                new: self.limits.owed,
            }),
            "owner" | "target" => old.when_removed(lookup),
            _ => None,
        }
    }
}

impl ChangeConsequences for Endpoint {
    fn when_added(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        (!self.leaving).then_some(Consequence::EndpointTakesWork)
    }

    fn when_removed(&self, _: &NameLookup<'_>) -> Option<Consequence> {
        Some(Consequence::EndpointDrains)
    }

    fn when_changed(&self, _: &Endpoint, field: &str, _: &NameLookup<'_>) -> Option<Consequence> {
        match (field, self.leaving) {
            ("leaving", true) => Some(Consequence::EndpointDrains),
            ("leaving", false) => Some(Consequence::EndpointTakesWork),
            _ => None,
        }
    }
}
