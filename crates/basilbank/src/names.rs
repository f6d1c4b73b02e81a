//! Names of what the core knows by number.

use std::{collections::HashMap, sync::Arc};

use basilbank_core::{
    catalogue::{Catalogue, EntryTarget, ModelSpec},
    ids::{EndpointId, EntryId, TeamId},
    state::View,
};

/// What is shown when a name is not in the catalogue any more.
const GONE: &str = "gone";

/// The names in one catalogue.
#[derive(Debug, Default)]
pub struct Names {
    /// The catalogue, indexed.
    pub view: View,
    teams: HashMap<TeamId, usize>,
}

impl Names {
    /// Indexes a catalogue.
    #[must_use]
    pub fn new(catalogue: Arc<Catalogue>) -> Names {
        let teams = catalogue.teams.iter().enumerate().map(|(i, t)| (t.id, i)).collect();
        Names { view: View::new(catalogue), teams }
    }

    /// The catalogue.
    #[must_use]
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.view.catalogue
    }

    /// A team's name.
    #[must_use]
    pub fn team(&self, id: TeamId) -> &str {
        self.teams.get(&id).map_or(GONE, |i| &self.catalogue().teams[*i].name)
    }

    /// An entry's name.
    #[must_use]
    pub fn entry(&self, id: EntryId) -> &str {
        self.view.entry(id).map_or(GONE, |e| &e.name)
    }

    /// An endpoint's name.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> &str {
        self.view.endpoint(id).map_or(GONE, |e| &e.name)
    }

    /// The name of an entry's class.
    #[must_use]
    pub fn class_of(&self, id: EntryId) -> &str {
        let class = self.view.entry(id).and_then(|e| self.view.class(e.class));
        class.map_or(GONE, |c| &c.name)
    }

    /// The model that an endpoint serves; `None` for a plain service's endpoint.
    #[must_use]
    pub fn model_at(&self, id: EndpointId) -> Option<&ModelSpec> {
        let EntryTarget::Model(id) = self.view.endpoint(id)?.serves else { return None };
        self.catalogue().models.iter().find(|m| m.id == id)
    }

    /// The name of a model or a service.
    #[must_use]
    pub fn target(&self, target: EntryTarget) -> &str {
        let found = match target {
            EntryTarget::Model(id) => {
                self.catalogue().models.iter().find(|m| m.id == id).map(|m| &m.name)
            }
            EntryTarget::Service(id) => {
                self.catalogue().services.iter().find(|s| s.id == id).map(|s| &s.name)
            }
        };
        found.map_or(GONE, |name| name)
    }
}
