//! Items parsed from the documents, with their positions, before cross-checks.

use basilbank_core::catalogue::{
    Class, Endpoint, Entry, EntryTarget, KeyHash, ModelSpec, Service, Team,
};

use crate::{
    names::{Name, NameTable},
    report::{Position, Report},
};

/// A value and the position that findings about it refer to.
#[derive(Clone, Debug)]
pub(super) struct Located<T> {
    /// The parsed value.
    pub value: T,
    /// Position in the documents.
    pub pos: Position,
}

/// A bearer key of a team.
#[derive(Clone, Debug)]
pub(super) struct TeamKey {
    /// SHA-256 hash of the key.
    pub hash: KeyHash,
    /// Name of the team that the key belongs to.
    pub team: String,
}

/// All names of one kind of item, and all references to items of that kind.
#[derive(Debug)]
pub(super) struct NameScope {
    /// Defined names.
    pub names: NameTable,
    /// References, which may be to undefined names.
    pub references: Vec<Name>,
}

/// Items of all documents parsed so far. An item with an error is omitted, but its name is kept so
/// that references to it resolve.
#[derive(Debug)]
pub(super) struct ParsedItems {
    /// Teams.
    pub teams: Vec<Located<Team>>,
    /// Classes of service.
    pub classes: Vec<Located<Class>>,
    /// Models.
    pub models: Vec<Located<ModelSpec>>,
    /// Services; the position is that of the path prefix.
    pub services: Vec<Located<Service>>,
    /// Entries; the position is that of the guaranteed share (`owed`), or the start of the entry if
    /// it has none.
    pub entries: Vec<Located<Entry>>,
    /// Endpoints; the position is that of the address.
    pub endpoints: Vec<Located<Endpoint>>,
    /// Rate of the weight store in bytes per second.
    pub weight_rate: Option<Located<u64>>,
    /// Keys of all teams.
    pub keys: Vec<Located<TeamKey>>,
    /// Names of teams and references to them.
    pub team_names: NameScope,
    /// Names of classes and references to them.
    pub class_names: NameScope,
    /// Names of models and references to them.
    pub model_names: NameScope,
    /// Names of services and references to them.
    pub service_names: NameScope,
    /// Names of entries.
    pub entry_names: NameTable,
    /// Names of endpoints.
    pub endpoint_names: NameTable,
    /// Names of data centres, one for each endpoint that uses it.
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
    /// Reports duplicate names and hash collisions, and sorts the names. Must be called before
    /// `check_references` and `target_name`.
    pub fn check_names(&mut self, report: &mut Report<'_>) {
        self.team_names.names.sort_and_check_unique(report);
        self.class_names.names.sort_and_check_unique(report);
        self.model_names.names.sort_and_check_unique(report);
        self.service_names.names.sort_and_check_unique(report);
        self.entry_names.sort_and_check_unique(report);
        self.endpoint_names.sort_and_check_unique(report);
        self.data_centres.sort_and_check_shared(report);
    }

    /// Reports references to undefined names.
    pub fn check_references(&self, report: &mut Report<'_>) {
        let scopes = [&self.team_names, &self.class_names, &self.model_names, &self.service_names];
        for NameScope { names, references } in scopes {
            names.check_references(report, references);
        }
    }

    /// Returns the kind and name of a target, for messages.
    pub fn target_name(&self, target: EntryTarget) -> String {
        let (noun, name) = match target {
            EntryTarget::Model(id) => ("model", self.model_names.names.name_of(id.0)),
            EntryTarget::Service(id) => ("service", self.service_names.names.name_of(id.0)),
        };
        format!("{noun} \"{}\"", name.unwrap_or_default())
    }
}
