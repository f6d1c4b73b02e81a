//! What the documents hold, with places, before it is known to be a catalogue.

use basilbank_core::catalogue::{
    Class, Endpoint, Entry, EntryTarget, KeyHash, ModelSpec, Service, Team,
};

use crate::{
    names::{Name, NameTable},
    report::{Position, Report},
};

/// A thing and the place that findings about it point at.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    /// The thing.
    pub value: T,
    /// Where.
    pub pos: Position,
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
pub(super) struct NameScope {
    /// Names given.
    pub names: NameTable,
    /// References made.
    pub references: Vec<Name>,
}

/// All parts read so far. A thing with a finding is left out, but its name is known.
#[derive(Debug)]
pub(super) struct ParsedItems {
    /// Teams.
    pub teams: Vec<Located<Team>>,
    /// Classes of service.
    pub classes: Vec<Located<Class>>,
    /// Models.
    pub models: Vec<Located<ModelSpec>>,
    /// Services, each at its prefix.
    pub services: Vec<Located<Service>>,
    /// Entries, each at its owed share, or its start when there is none.
    pub entries: Vec<Located<Entry>>,
    /// Endpoints, each at its address.
    pub endpoints: Vec<Located<Endpoint>>,
    /// The weight store's rate.
    pub weight_rate: Option<Located<u64>>,
    /// All teams' keys.
    pub keys: Vec<Located<TeamKey>>,
    /// Names of teams.
    pub team_names: NameScope,
    /// Names of classes.
    pub class_names: NameScope,
    /// Names of models.
    pub model_names: NameScope,
    /// Names of services.
    pub service_names: NameScope,
    /// Names of entries.
    pub entry_names: NameTable,
    /// Names of endpoints.
    pub endpoint_names: NameTable,
    /// Names of data centres.
    pub data_centres: NameTable,
}

impl Default for ParsedItems {
    fn default() -> ParsedItems {
        let scope = |noun| NameScope { names: NameTable::new(noun), references: Vec::new() };
        ParsedItems {
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
            entry_names: NameTable::new("entry"),
            endpoint_names: NameTable::new("endpoint"),
            data_centres: NameTable::new("data centre"),
        }
    }
}

impl ParsedItems {
    /// Reports names that clash, and makes references resolvable.
    pub fn check_names(&mut self, report: &mut Report<'_>) {
        self.team_names.names.sort_and_check_unique(report);
        self.class_names.names.sort_and_check_unique(report);
        self.model_names.names.sort_and_check_unique(report);
        self.service_names.names.sort_and_check_unique(report);
        self.entry_names.sort_and_check_unique(report);
        self.endpoint_names.sort_and_check_unique(report);
        self.data_centres.sort_and_check_shared(report);
    }

    /// Reports references to what is not there.
    pub fn check_references(&self, report: &mut Report<'_>) {
        let scopes = [&self.team_names, &self.class_names, &self.model_names, &self.service_names];
        for NameScope { names, references } in scopes {
            names.check_references(report, references);
        }
    }

    /// A target's kind and name, for messages.
    pub fn target_name(&self, target: EntryTarget) -> String {
        let (noun, name) = match target {
            EntryTarget::Model(id) => ("model", self.model_names.names.name_of(id.0)),
            EntryTarget::Service(id) => ("service", self.service_names.names.name_of(id.0)),
        };
        format!("{noun} \"{}\"", name.unwrap_or_default())
    }
}
