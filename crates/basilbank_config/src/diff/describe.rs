//! Things of the catalogue as fields, named and written as in a document.

use std::{collections::HashMap, time::Duration};

use basilbank_core::catalogue::{
    Catalogue, Class, Endpoint, Entry, EntryTarget, ModelSpec, Role, Service, Team,
};

use super::change::Item;

/// Names by their hashes, and the catalogues that are compared.
pub(super) struct Lookup<'a> {
    /// The catalogue afterwards.
    pub new: &'a Catalogue,
    names: HashMap<u64, &'a str>,
}

impl<'a> Lookup<'a> {
    /// The names of both catalogues.
    pub fn new(old: &'a Catalogue, new: &'a Catalogue) -> Lookup<'a> {
        let mut names = HashMap::new();
        for catalogue in [old, new] {
            names.extend(catalogue.teams.iter().map(|t| (t.id.0, t.name.as_str())));
            names.extend(catalogue.classes.iter().map(|c| (c.id.0, c.name.as_str())));
            names.extend(catalogue.models.iter().map(|m| (m.id.0, m.name.as_str())));
            names.extend(catalogue.services.iter().map(|s| (s.id.0, s.name.as_str())));
        }
        Lookup { new, names }
    }

    /// The name with a hash; the hash when there is none.
    pub fn name(&self, id: u64) -> String {
        self.names.get(&id).map_or_else(|| format!("{id:016x}"), |name| (*name).to_owned())
    }

    /// A target's kind and name.
    pub fn target(&self, target: EntryTarget) -> String {
        match target {
            EntryTarget::Model(id) => format!("model {}", self.name(id.0)),
            EntryTarget::Service(id) => format!("service {}", self.name(id.0)),
        }
    }
}

/// A field's name and its value.
pub(super) type Shown = (&'static str, String);

/// A thing that can be shown field by field.
pub(super) trait Described: PartialEq {
    /// Its kind.
    const ITEM: Item;

    /// Its name.
    fn name(&self) -> &str;

    /// Its fields without the name, always the same ones in the same order.
    fn fields(&self, lookup: &Lookup<'_>) -> Vec<Shown>;
}

/// A limit, where zero stands for none.
pub(super) fn limit(value: f64) -> String {
    if value == 0.0 { "not limited".to_owned() } else { value.to_string() }
}

fn millis(value: Duration) -> String {
    value.as_millis().to_string()
}

fn or_none(text: &str) -> String {
    if text.is_empty() { "none".to_owned() } else { text.to_owned() }
}

impl Described for Team {
    const ITEM: Item = Item::Team;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &Lookup<'_>) -> Vec<Shown> {
        // The first digits tell keys apart; a whole hash would only fill the line.
        let start = |key: &[u8; 32]| format!("{:02x}{:02x}…", key[0], key[1]);
        let keys: Vec<_> = self.keys.iter().map(start).collect();
        vec![("keys", format!("[{}]", keys.join(" ")))]
    }
}

impl Described for Class {
    const ITEM: Item = Item::Class;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &Lookup<'_>) -> Vec<Shown> {
        let tbt = if self.tbt.is_zero() { "no target".to_owned() } else { millis(self.tbt) };
        vec![
            ("ttft_ms", millis(self.ttft)),
            ("tbt_ms", tbt),
            ("wait_ms", millis(self.max_wait)),
            ("priority", self.priority.to_string()),
        ]
    }
}

impl Described for ModelSpec {
    const ITEM: Item = Item::Model;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &Lookup<'_>) -> Vec<Shown> {
        vec![
            ("version", self.version.clone()),
            ("adapter", or_none(&self.adapter)),
            ("weight_bytes", self.weight_bytes.to_string()),
            ("kv_bytes_per_token", self.token_bytes.to_string()),
            ("block_tokens", self.block_tokens.to_string()),
        ]
    }
}

impl Described for Service {
    const ITEM: Item = Item::Service;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &Lookup<'_>) -> Vec<Shown> {
        vec![
            ("prefix", self.path_prefix.clone()),
            ("repeatable", self.repeatable_methods.join(" ")),
        ]
    }
}

impl Described for Entry {
    const ITEM: Item = Item::Entry;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, lookup: &Lookup<'_>) -> Vec<Shown> {
        vec![
            ("owner", lookup.name(self.team.0)),
            ("class", lookup.name(self.class.0)),
            ("target", lookup.target(self.target)),
            ("requests_per_s", limit(self.limits.requests)),
            ("tokens_per_s", limit(self.limits.tokens)),
            ("concurrent", limit(f64::from(self.limits.concurrent))),
            ("owed", self.limits.owed.to_string()),
        ]
    }
}

impl Described for Endpoint {
    const ITEM: Item = Item::Endpoint;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, lookup: &Lookup<'_>) -> Vec<Shown> {
        let role = match self.role {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Plain => "plain",
        };
        vec![
            ("address", self.address.clone()),
            ("data_centre", self.data_centre.to_string()),
            ("role", role.to_owned()),
            ("target", lookup.target(self.serves)),
            ("slots", self.slots.to_string()),
            ("prefill_tokens_per_s", self.prefill_rate.to_string()),
            ("link_bytes_per_s", self.link_rate.to_string()),
            ("fencing", self.checks_fencing.to_string()),
            ("orders", self.accepts_orders.to_string()),
            ("leaving", self.leaving.to_string()),
        ]
    }
}
