//! What the documents hold, with places, before it is known to be a catalogue.

use basilbank_core::catalogue::{
    Class, Endpoint, Entry, EntryTarget, KeyHash, ModelSpec, Service, Team,
};

use crate::{
    names::{Name, Names},
    report::{Report, Spot},
};

/// A thing and the place that findings about it point at.
#[derive(Clone, Debug)]
pub(super) struct Placed<T> {
    /// The thing.
    pub value: T,
    /// Where.
    pub spot: Spot,
}

/// A team's key.
#[derive(Clone, Debug)]
pub(super) struct TeamKey {
    /// Its hash.
    pub hash: KeyHash,
    /// The team's name.
    pub team: String,
}

/// The names of one kind, and what refers to them.
#[derive(Debug)]
pub(super) struct Scope {
    /// Names given.
    pub names: Names,
    /// References made.
    pub references: Vec<Name>,
}

/// All parts read so far. A thing with a finding is left out, but its name is known.
#[derive(Debug)]
pub(super) struct Parts {
    /// Teams.
    pub teams: Vec<Placed<Team>>,
    /// Classes of service.
    pub classes: Vec<Placed<Class>>,
    /// Models.
    pub models: Vec<Placed<ModelSpec>>,
    /// Services, each at its prefix.
    pub services: Vec<Placed<Service>>,
    /// Entries, each at its owed share, or its start when there is none.
    pub entries: Vec<Placed<Entry>>,
    /// Endpoints, each at its address.
    pub endpoints: Vec<Placed<Endpoint>>,
    /// The weight store's rate.
    pub weight_rate: Option<Placed<u64>>,
    /// All teams' keys.
    pub keys: Vec<Placed<TeamKey>>,
    /// Names of teams.
    pub team_names: Scope,
    /// Names of classes.
    pub class_names: Scope,
    /// Names of models.
    pub model_names: Scope,
    /// Names of services.
    pub service_names: Scope,
    /// Names of entries.
    pub entry_names: Names,
    /// Names of endpoints.
    pub endpoint_names: Names,
    /// Names of data centres.
    pub data_centres: Names,
}

impl Default for Parts {
    fn default() -> Parts {
        let scope = |noun| Scope { names: Names::new(noun), references: Vec::new() };
        Parts {
            teams: Vec::new(),
            classes: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            weight_rate: None,
            keys: Vec::new(),
            team_names: scope("team"),
            class_names: scope("class"),
            model_names: scope("model"),
            service_names: scope("service"),
            entry_names: Names::new("entry"),
            endpoint_names: Names::new("endpoint"),
            data_centres: Names::new("data centre"),
        }
    }
}

impl Parts {
    /// Reports names that clash, and makes references resolvable.
    pub fn seal(&mut self, report: &mut Report<'_>) {
        self.team_names.names.seal(report);
        self.class_names.names.seal(report);
        self.model_names.names.seal(report);
        self.service_names.names.seal(report);
        self.entry_names.seal(report);
        self.endpoint_names.seal(report);
        self.data_centres.seal_shared(report);
    }

    /// Reports references to what is not there.
    pub fn resolve(&self, report: &mut Report<'_>) {
        let scopes = [&self.team_names, &self.class_names, &self.model_names, &self.service_names];
        for Scope { names, references } in scopes {
            names.resolve(report, references);
        }
    }

    /// A target's kind and name, for messages.
    pub fn target_name(&self, target: EntryTarget) -> String {
        let (noun, name) = match target {
            EntryTarget::Model(id) => ("model", self.model_names.names.text(id.0)),
            EntryTarget::Service(id) => ("service", self.service_names.names.text(id.0)),
        };
        format!("{noun} \"{}\"", name.unwrap_or_default())
    }
}
