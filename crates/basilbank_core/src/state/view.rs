//! The catalogue in force, indexed for decisions.

use std::{collections::HashMap, sync::Arc};

use subtle::ConstantTimeEq;

use crate::{
    catalogue::{Catalogue, Class, Endpoint, Entry, EntryTarget, KeyHash, Role, Service},
    ids::{ClassId, EndpointId, EntryId, TeamId},
};

/// The catalogue with its indices. Indices hold positions in the catalogue's vectors.
#[derive(Debug, Default)]
pub struct View {
    /// The catalogue itself.
    pub catalogue: Arc<Catalogue>,
    keys: HashMap<KeyHash, usize>,
    entries: HashMap<EntryId, usize>,
    endpoints: HashMap<EndpointId, usize>,
    classes: HashMap<ClassId, usize>,
}

impl View {
    /// Indexes a catalogue.
    #[must_use]
    pub fn new(catalogue: Arc<Catalogue>) -> View {
        let mut view = View::default();
        for (i, team) in catalogue.teams.iter().enumerate() {
            view.keys.extend(team.keys.iter().map(|key| (*key, i)));
        }
        view.entries = catalogue.entries.iter().enumerate().map(|(i, e)| (e.id, i)).collect();
        view.endpoints = catalogue.endpoints.iter().enumerate().map(|(i, e)| (e.id, i)).collect();
        view.classes = catalogue.classes.iter().enumerate().map(|(i, c)| (c.id, i)).collect();
        view.catalogue = catalogue;
        view
    }

    /// The team that a presented key belongs to.
    ///
    /// The table is found by the key's SHA-256, so its timing says nothing of a key; the last
    /// comparison is in constant time all the same.
    #[must_use]
    pub fn team(&self, key: &KeyHash) -> Option<TeamId> {
        let team = &self.catalogue.teams[*self.keys.get(key)?];
        let known = team.keys.iter().any(|k| bool::from(k.ct_eq(key)));
        known.then_some(team.id)
    }

    /// An entry.
    #[must_use]
    pub fn entry(&self, id: EntryId) -> Option<&Entry> {
        self.entries.get(&id).map(|i| &self.catalogue.entries[*i])
    }

    /// A team's entry for a model, by the name that callers use.
    #[must_use]
    pub fn draft_entry(&self, team: TeamId, name: &str) -> Option<&Entry> {
        let entry = self.entry(EntryId::of(name))?;
        let is_model = matches!(entry.target, EntryTarget::Model(_));
        (entry.owner == team && is_model).then_some(entry)
    }

    /// The service whose prefix a path starts with; the longest prefix wins.
    #[must_use]
    pub fn service(&self, path: &str) -> Option<&Service> {
        let matching = self.catalogue.services.iter().filter(|s| path.starts_with(&s.prefix));
        matching.max_by_key(|s| s.prefix.len())
    }

    /// A team's entry for a service.
    #[must_use]
    pub fn plain_entry(&self, team: TeamId, service: &Service) -> Option<&Entry> {
        let target = EntryTarget::Service(service.id);
        self.catalogue.entries.iter().find(|e| e.owner == team && e.target == target)
    }

    /// An endpoint.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id).map(|i| &self.catalogue.endpoints[*i])
    }

    /// A class. The catalogue's check makes sure that each entry's class exists.
    #[must_use]
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.get(&id).map(|i| &self.catalogue.classes[*i])
    }

    /// The endpoints of one role for one target that take new work.
    pub fn serving(&self, target: EntryTarget, role: Role) -> impl Iterator<Item = &Endpoint> {
        let all = self.catalogue.endpoints.iter();
        all.filter(move |e| e.serves == target && e.role == role && !e.leaving)
    }
}
