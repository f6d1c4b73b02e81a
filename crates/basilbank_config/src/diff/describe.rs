//! Formats catalogue items as fields, with the names and values used in documents.

use std::{collections::HashMap, time::Duration};

use basilbank_core::catalogue::{
    Catalogue, Class, Endpoint, Entry, EntryTarget, ModelSpec, Role, Service, Team,
};

use super::change::ItemKind;

/// Names of items by their hashes, and the new catalogue of a comparison.
pub(super) struct NameLookup<'a> {
    /// The new catalogue.
    pub new_catalogue: &'a Catalogue,
    names: HashMap<u64, &'a str>,
}

impl<'a> NameLookup<'a> {
    /// Collects the names of both catalogues.
    pub fn new(old: &'a Catalogue, new: &'a Catalogue) -> NameLookup<'a> {
        let mut names = HashMap::new();
        for catalogue in [old, new] {
            names.extend(catalogue.teams.iter().map(|t| (t.id.0, t.name.as_str())));
            names.extend(catalogue.classes.iter().map(|c| (c.id.0, c.name.as_str())));
            names.extend(catalogue.models.iter().map(|m| (m.id.0, m.name.as_str())));
            names.extend(catalogue.services.iter().map(|s| (s.id.0, s.name.as_str())));
        }
        NameLookup { new_catalogue: new, names }
    }

    /// Returns the name with a hash, or the hash in hex if the name is unknown.
    pub fn name(&self, id: u64) -> String {
        self.names.get(&id).map_or_else(|| format!("{id:016x}"), |name| (*name).to_owned())
    }

    /// Returns the kind and name of a target.
    pub fn target(&self, target: EntryTarget) -> String {
        match target {
            EntryTarget::Model(id) => format!("model {}", self.name(id.0)),
            EntryTarget::Service(id) => format!("service {}", self.name(id.0)),
        }
    }
}

/// Name of a field and its formatted value.
pub(super) type FieldText = (&'static str, String);

/// A catalogue item that can be formatted field by field.
pub(super) trait CatalogueItem: PartialEq {
    /// Kind of the item.
    const KIND: ItemKind;

    /// Returns the name of the item.
    fn name(&self) -> &str;

    /// Returns the fields except the name. The order is always the same, so that two items can be
    /// compared field by field.
    fn fields(&self, lookup: &NameLookup<'_>) -> Vec<FieldText>;
}

/// Formats a limit; zero means that there is none.
pub(super) fn format_limit(value: f64) -> String {
    if value == 0.0 { "not limited".to_owned() } else { value.to_string() }
}

fn format_millis(value: Duration) -> String {
    value.as_millis().to_string()
}

fn text_or_none(text: &str) -> String {
    if text.is_empty() { "none".to_owned() } else { text.to_owned() }
}

impl CatalogueItem for Team {
    const KIND: ItemKind = ItemKind::Team;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &NameLookup<'_>) -> Vec<FieldText> {
        // The first digits are enough to distinguish keys, and full hashes would make the line too
        // long.
        let start = |key: &[u8; 32]| format!("{:02x}{:02x}…", key[0], key[1]);
        let keys: Vec<_> = self.keys.iter().map(start).collect();
        vec![("keys", format!("[{}]", keys.join(" ")))]
    }
}

impl CatalogueItem for Class {
    const KIND: ItemKind = ItemKind::Class;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &NameLookup<'_>) -> Vec<FieldText> {
        let tbt = if self.tbt.is_zero() { "no target".to_owned() } else { format_millis(self.tbt) };
        vec![
            ("ttft_ms", format_millis(self.ttft)),
            ("tbt_ms", tbt),
            ("wait_ms", format_millis(self.max_wait)),
            ("priority", self.priority.to_string()),
        ]
    }
}

impl CatalogueItem for ModelSpec {
    const KIND: ItemKind = ItemKind::Model;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &NameLookup<'_>) -> Vec<FieldText> {
        vec![
            ("version", self.version.clone()),
            ("adapter", text_or_none(&self.adapter)),
            ("weight_bytes", self.weight_bytes.to_string()),
            ("kv_bytes_per_token", self.token_bytes.to_string()),
            ("block_tokens", self.block_tokens.to_string()),
        ]
    }
}

impl CatalogueItem for Service {
    const KIND: ItemKind = ItemKind::Service;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, _: &NameLookup<'_>) -> Vec<FieldText> {
        vec![
            ("prefix", self.path_prefix.clone()),
            ("repeatable", self.repeatable_methods.join(" ")),
        ]
    }
}

impl CatalogueItem for Entry {
    const KIND: ItemKind = ItemKind::Entry;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, lookup: &NameLookup<'_>) -> Vec<FieldText> {
        vec![
            ("owner", lookup.name(self.team.0)),
            ("class", lookup.name(self.class.0)),
            ("target", lookup.target(self.target)),
            ("requests_per_s", format_limit(self.limits.requests)),
            ("tokens_per_s", format_limit(self.limits.tokens)),
            ("concurrent", format_limit(f64::from(self.limits.concurrent))),
            ("owed", self.limits.owed.to_string()),
        ]
    }
}

impl CatalogueItem for Endpoint {
    const KIND: ItemKind = ItemKind::Endpoint;

    fn name(&self) -> &str {
        &self.name
    }

    fn fields(&self, lookup: &NameLookup<'_>) -> Vec<FieldText> {
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
