//! The fields of a catalogue document.

use crate::schema::{Field, Kind, Section};

/// Largest number of bytes, or bytes a second, that a catalogue may name.
const MAX_BYTES: u64 = 1 << 50;

/// Largest rate in tokens or requests a second.
const MAX_RATE: f64 = 1e9;

/// A catalogue document.
pub const CATALOGUE: Section = Section {
    noun: "catalogue",
    fields: &[
        Field::optional("teams", Kind::Objects(&TEAM), "[]", "[{ \"name\": \"fitters\" }]"),
        Field::optional("classes", Kind::Objects(&CLASS), "[]", "[{ \"name\": \"draft\" }]"),
        Field::optional("models", Kind::Objects(&MODEL), "[]", "[{ \"name\": \"writer\" }]"),
        Field::optional("services", Kind::Objects(&SERVICE), "[]", "[{ \"name\": \"desk\" }]"),
        Field::optional("entries", Kind::Objects(&ENTRY), "[]", "[{ \"name\": \"quotes\" }]"),
        Field::optional("endpoints", Kind::Objects(&ENDPOINT), "[]", "[{ \"name\": \"run-1\" }]"),
        Field::optional(
            "weight_store",
            Kind::Object(&WEIGHT_STORE),
            "not limited",
            "{ \"bytes_per_s\": 2e9 }",
        ),
    ],
};

/// A team.
pub(super) const TEAM: Section = Section {
    noun: "team",
    fields: &[
        Field::required("name", Kind::Name, "\"fitters\""),
        Field::optional("keys", Kind::Texts, "[]", "[\"64 hex digits\"]"),
    ],
};

/// A class of service.
pub(super) const CLASS: Section = Section {
    noun: "class",
    fields: &[
        Field::required("name", Kind::Name, "\"draft\""),
        Field::required("ttft_ms", Kind::millis(1), "340"),
        Field::optional("tbt_ms", Kind::millis(1), "no target", "44"),
        Field::optional("wait_ms", Kind::millis(0), "0", "5000"),
        Field::optional("priority", Kind::Whole { min: 0, max: 255 }, "0", "10"),
    ],
};

/// A model.
pub(super) const MODEL: Section = Section {
    noun: "model",
    fields: &[
        Field::required("name", Kind::Name, "\"quote-writer\""),
        Field::required("version", Kind::Name, "\"v7\""),
        Field::optional("adapter", Kind::Name, "none", "\"kitchens\""),
        Field::required("weight_bytes", Kind::Whole { min: 1, max: MAX_BYTES }, "16e9"),
        Field::required("kv_bytes_per_token", Kind::Whole { min: 1, max: 1 << 30 }, "131072"),
        Field::optional("block_tokens", Kind::Whole { min: 1, max: 4096 }, "16", "32"),
    ],
};

/// A plain service.
pub(super) const SERVICE: Section = Section {
    noun: "service",
    fields: &[
        Field::required("name", Kind::Name, "\"fitter-desk\""),
        Field::required("prefix", Kind::Text { min: 1 }, "\"/desk/\""),
        Field::optional(
            "repeatable",
            Kind::Texts,
            "[\"GET\", \"HEAD\"]",
            "[\"GET\", \"HEAD\", \"PUT\"]",
        ),
    ],
};

/// An entry.
pub(super) const ENTRY: Section = Section {
    noun: "entry",
    fields: &[
        Field::required("name", Kind::Name, "\"quotes\""),
        Field::required("owner", Kind::Name, "\"fitters\""),
        Field::required("class", Kind::Name, "\"draft\""),
        Field::optional("model", Kind::Name, "\"service\" stands in its place", "\"quote-writer\""),
        Field::optional("service", Kind::Name, "\"model\" stands in its place", "\"fitter-desk\""),
        Field::optional("limits", Kind::Object(&LIMITS), "{}", "{ \"owed\": 0.4 }"),
    ],
};

/// An entry's limits.
pub(super) const LIMITS: Section = Section {
    noun: "limits object",
    fields: &[
        Field::optional("requests_per_s", positive(MAX_RATE), "not limited", "20"),
        Field::optional("tokens_per_s", positive(MAX_RATE), "not limited", "40000"),
        Field::optional("concurrent", Kind::Whole { min: 1, max: 1_000_000 }, "not limited", "50"),
        Field::optional("owed", Kind::Number { min: 0.0, max: 1.0 }, "0", "0.4"),
    ],
};

/// An endpoint.
pub(super) const ENDPOINT: Section = Section {
    noun: "endpoint",
    fields: &[
        Field::required("name", Kind::Name, "\"writer-d1\""),
        Field::required("address", Kind::Address, "\"10.0.1.1:8000\""),
        Field::required("data_centre", Kind::Name, "\"hall-a\""),
        Field::required("role", Kind::Choice(&["prefill", "decode", "plain"]), "\"decode\""),
        Field::optional("model", Kind::Name, "\"service\" stands in its place", "\"quote-writer\""),
        Field::optional("service", Kind::Name, "\"model\" stands in its place", "\"fitter-desk\""),
        Field::required("slots", Kind::Whole { min: 1, max: 100_000 }, "20"),
        Field::optional(
            "prefill_tokens_per_s",
            positive(MAX_RATE),
            "must be there for role prefill",
            "8000",
        ),
        Field::optional(
            "link_bytes_per_s",
            Kind::Whole { min: 1, max: MAX_BYTES },
            "must be there for roles prefill and decode",
            "1.25e9",
        ),
        Field::optional("fencing", Kind::Flag, "false", "true"),
        Field::optional("orders", Kind::Flag, "false", "true"),
        Field::optional("leaving", Kind::Flag, "false", "true"),
    ],
};

/// The weight store.
pub(super) const WEIGHT_STORE: Section = Section {
    noun: "weight store",
    fields: &[Field::required("bytes_per_s", Kind::Whole { min: 1, max: MAX_BYTES }, "2e9")],
};

/// A positive number. Zero is left to mean 'not limited' in the compiled catalogue.
const fn positive(max: f64) -> Kind {
    Kind::Number { min: 0.001, max }
}
