//! The catalogue in force, with indices for lookups.

use std::{cmp::Reverse, collections::HashMap, sync::Arc};

use subtle::ConstantTimeEq;

use crate::{
    catalogue::{
        Catalogue, Class, Endpoint, Entry, EntryTarget, KeyHash, ModelSpec, Role, Service,
    },
    ids::{ClassId, EndpointId, EntryId, ModelId, ServiceId, TeamId},
};

/// The catalogue with its indices. Indices hold positions in the catalogue's vectors.
#[derive(Debug, Default)]
pub struct View {
    /// The catalogue itself.
    pub catalogue: Arc<Catalogue>,
    key_teams: HashMap<KeyHash, usize>,
    entries: HashMap<EntryId, usize>,
    endpoints: HashMap<EndpointId, usize>,
    classes: HashMap<ClassId, usize>,
    models: HashMap<ModelId, usize>,
    prefixes: HashMap<String, usize>,
    prefix_lengths: Vec<usize>,
    plain_entries: HashMap<(TeamId, ServiceId), usize>,
    serving: HashMap<(EntryTarget, Role), Vec<EndpointId>>,
}

impl View {
    /// Builds the indices of a catalogue.
    #[must_use]
    pub fn new(catalogue: Arc<Catalogue>) -> View {
        let mut view = View::default();
        for (i, team) in catalogue.teams.iter().enumerate() {
            view.key_teams.extend(team.keys.iter().map(|key| (*key, i)));
        }
        view.entries = catalogue.entries.iter().enumerate().map(|(i, e)| (e.id, i)).collect();
        view.endpoints = catalogue.endpoints.iter().enumerate().map(|(i, e)| (e.id, i)).collect();
        view.classes = catalogue.classes.iter().enumerate().map(|(i, c)| (c.id, i)).collect();
        view.models = catalogue.models.iter().enumerate().map(|(i, m)| (m.id, i)).collect();
        view.index_services(&catalogue);
        for endpoint in catalogue.endpoints.iter().filter(|e| !e.leaving) {
            view.serving.entry((endpoint.serves, endpoint.role)).or_default().push(endpoint.id);
        }
        view.catalogue = catalogue;
        view
    }

    fn index_services(&mut self, catalogue: &Catalogue) {
        for (i, service) in catalogue.services.iter().enumerate() {
            self.prefixes.insert(service.path_prefix.clone(), i);
            self.prefix_lengths.push(service.path_prefix.len());
        }
        self.prefix_lengths.sort_unstable_by_key(|length| Reverse(*length));
        self.prefix_lengths.dedup();
        for (i, entry) in catalogue.entries.iter().enumerate() {
            if let EntryTarget::Service(service) = entry.target {
                self.plain_entries.entry((entry.team, service)).or_insert(i);
            }
        }
    }

    /// Returns the team that a caller's key belongs to.
    ///
    /// The lookup uses the SHA-256 of the key, so its timing reveals nothing about keys. The final
    /// comparison takes constant time anyway.
    #[must_use]
    pub fn team(&self, key: &KeyHash) -> Option<TeamId> {
        let team = &self.catalogue.teams[*self.key_teams.get(key)?];
        let known = team.keys.iter().any(|k| bool::from(k.ct_eq(key)));
        known.then_some(team.id)
    }

    /// Returns an entry.
    #[must_use]
    pub fn entry(&self, id: EntryId) -> Option<&Entry> {
        self.entries.get(&id).map(|i| &self.catalogue.entries[*i])
    }

    /// Returns a team's entry for a model, by the name that callers use.
    #[must_use]
    pub fn completion_entry(&self, team: TeamId, name: &str) -> Option<&Entry> {
        let entry = self.entry(EntryId::of(name))?;
        let is_model = matches!(entry.target, EntryTarget::Model(_));
        (entry.team == team && is_model).then_some(entry)
    }

    /// Returns the service whose prefix a path starts with; the longest prefix wins.
    #[must_use]
    pub fn service(&self, path: &str) -> Option<&Service> {
        let starts = self.prefix_lengths.iter().filter_map(|length| path.get(..*length));
        let found = starts.filter_map(|start| self.prefixes.get(start)).next()?;
        Some(&self.catalogue.services[*found])
    }

    /// Returns a team's entry for a service.
    #[must_use]
    pub fn plain_entry(&self, team: TeamId, service: &Service) -> Option<&Entry> {
        let found = self.plain_entries.get(&(team, service.id))?;
        Some(&self.catalogue.entries[*found])
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id).map(|i| &self.catalogue.endpoints[*i])
    }

    /// Returns a class. The catalogue check ensures that each entry's class exists.
    #[must_use]
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.get(&id).map(|i| &self.catalogue.classes[*i])
    }

    /// Returns a model.
    #[must_use]
    pub fn model(&self, id: ModelId) -> Option<&ModelSpec> {
        self.models.get(&id).map(|i| &self.catalogue.models[*i])
    }

    /// Returns the endpoints of one role that serve a target and are not marked as leaving in the
    /// catalogue.
    #[must_use]
    pub fn serving(&self, target: EntryTarget, role: Role) -> &[EndpointId] {
        self.serving.get(&(target, role)).map_or(&[], Vec::as_slice)
    }
}
