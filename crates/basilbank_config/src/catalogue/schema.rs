//! Schema of a catalogue document.

use crate::schema::{Field, FieldType, ObjectSchema};

/// Maximum for sizes in bytes and rates in bytes per second.
const MAX_BYTES: u64 = 1 << 50;

/// Maximum for rates in tokens or requests per second.
const MAX_RATE_PER_S: f64 = 1e9;

/// Schema of a catalogue document.
pub const CATALOGUE: ObjectSchema = ObjectSchema {
    noun: "catalogue",
    fields: &[
        Field::optional("teams", FieldType::ObjectList(&TEAM), "[]", "[{ \"name\": \"fitters\" }]")
            .doc("Teams, which calls are charged to."),
        Field::optional(
            "classes",
            FieldType::ObjectList(&CLASS),
            "[]",
            "[{ \"name\": \"draft\" }]",
        )
        .doc("Classes of service: latency targets, waiting time and priority."),
        Field::optional(
            "models",
            FieldType::ObjectList(&MODEL),
            "[]",
            "[{ \"name\": \"writer\" }]",
        )
        .doc("What prefill and decode endpoints serve."),
        Field::optional(
            "services",
            FieldType::ObjectList(&SERVICE),
            "[]",
            "[{ \"name\": \"desk\" }]",
        )
        .doc("What plain endpoints serve."),
        Field::optional(
            "entries",
            FieldType::ObjectList(&ENTRY),
            "[]",
            "[{ \"name\": \"quotes\" }]",
        )
        .doc("Which team may use what, under which promise and limits."),
        Field::optional(
            "endpoints",
            FieldType::ObjectList(&ENDPOINT),
            "[]",
            "[{ \"name\": \"run-1\" }]",
        )
        .doc("Endpoints that requests run on."),
        Field::optional(
            "weight_store",
            FieldType::Object(&WEIGHT_STORE),
            "not limited",
            "{ \"bytes_per_s\": 2e9 }",
        )
        .doc("The store that endpoints load models from."),
    ],
};

/// Schema of a team.
pub(super) const TEAM: ObjectSchema = ObjectSchema {
    noun: "team",
    fields: &[
        Field::required("name", FieldType::Name, "\"fitters\"").doc("Its name."),
        Field::optional("keys", FieldType::TextList, "[]", "[\"64 hex digits\"]")
            .doc("SHA-256 hashes of its callers' bearer keys, 64 hex digits each."),
    ],
};

/// Schema of a class of service.
pub(super) const CLASS: ObjectSchema = ObjectSchema {
    noun: "class",
    fields: &[
        Field::required("name", FieldType::Name, "\"draft\"").doc("Its name."),
        Field::required("ttft_ms", FieldType::millis(1), "340")
            .doc("Target for the time to the first token, or to a plain call's whole answer."),
        Field::optional("tbt_ms", FieldType::millis(1), "no target", "44")
            .doc("Target for the time between tokens. A class of a model's entry must have it."),
        Field::optional("wait_ms", FieldType::millis(0), "0", "5000")
            .doc("How long a request may wait beyond its target; 0 refuses it at once."),
        Field::optional("priority", FieldType::Integer { min: 0, max: 255 }, "0", "10")
            .doc("Engines run requests of a higher priority first."),
    ],
};

/// Schema of a model.
pub(super) const MODEL: ObjectSchema = ObjectSchema {
    noun: "model",
    fields: &[
        Field::required("name", FieldType::Name, "\"quote-writer\"").doc("Its name."),
        Field::required("version", FieldType::Name, "\"v7\"")
            .doc("The version that its endpoints should serve."),
        Field::optional("adapter", FieldType::Name, "none", "\"kitchens\"")
            .doc("The adapter that its endpoints should have loaded."),
        Field::required("weight_bytes", FieldType::Integer { min: 1, max: MAX_BYTES }, "16e9")
            .doc("Size of the weights."),
        Field::required(
            "kv_bytes_per_token",
            FieldType::Integer { min: 1, max: 1 << 30 },
            "131072",
        )
        .doc("Size of one token's KV cache."),
        Field::optional("block_tokens", FieldType::Integer { min: 1, max: 4096 }, "16", "32")
            .doc("Tokens of one block of the prefix cache."),
    ],
};

/// Schema of a plain service.
pub(super) const SERVICE: ObjectSchema = ObjectSchema {
    noun: "service",
    fields: &[
        Field::required("name", FieldType::Name, "\"fitter-desk\"").doc("Its name."),
        Field::required("prefix", FieldType::Text, "\"/desk/\"")
            .doc("Paths that start with it go to the service; it starts and ends with `/`."),
        Field::optional(
            "repeatable",
            FieldType::TextList,
            "[\"GET\", \"HEAD\"]",
            "[\"GET\", \"HEAD\", \"PUT\"]",
        )
        .doc("Methods whose calls may be sent again when it isn't known whether they ran."),
    ],
};

/// Schema of an entry.
pub(super) const ENTRY: ObjectSchema = ObjectSchema {
    noun: "entry",
    fields: &[
        Field::required("name", FieldType::Name, "\"quotes\"")
            .doc("Its name; callers put a model's entry into the `model` field."),
        Field::required("owner", FieldType::Name, "\"fitters\"").doc("The team."),
        Field::required("class", FieldType::Name, "\"draft\"").doc("The class of service."),
        Field::optional(
            "model",
            FieldType::Name,
            "\"service\" is given instead",
            "\"quote-writer\"",
        )
        .doc("The model it gives access to."),
        Field::optional(
            "service",
            FieldType::Name,
            "\"model\" is given instead",
            "\"fitter-desk\"",
        )
        .doc("The service it gives access to."),
        Field::optional("limits", FieldType::Object(&LIMITS), "{}", "{ \"owed\": 0.4 }")
            .doc("The owner's limits over the whole fleet."),
    ],
};

/// Schema of an entry's limits.
pub(super) const LIMITS: ObjectSchema = ObjectSchema {
    noun: "limits object",
    fields: &[
        Field::optional("requests_per_s", positive_number(MAX_RATE_PER_S), "not limited", "20")
            .doc("Requests a second."),
        Field::optional("tokens_per_s", positive_number(MAX_RATE_PER_S), "not limited", "40000")
            .doc("Prompt and generated tokens a second."),
        Field::optional(
            "concurrent",
            FieldType::Integer { min: 1, max: 1_000_000 },
            "not limited",
            "50",
        )
        .doc("Requests in progress."),
        Field::optional("owed", FieldType::Number { min: 0.0, max: 1.0 }, "0", "0.4")
            .doc("Guaranteed share of the target's capacity, which the owner can use at any time."),
    ],
};

/// Schema of an endpoint.
pub(super) const ENDPOINT: ObjectSchema = ObjectSchema {
    noun: "endpoint",
    fields: &[
        Field::required("name", FieldType::Name, "\"writer-d1\"").doc("Its name."),
        Field::required("address", FieldType::Address, "\"10.0.1.1:8000\"")
            .doc("Where it listens."),
        Field::required("data_centre", FieldType::Name, "\"hall-a\"").doc("Where it is."),
        Field::required("role", FieldType::Choice(&["prefill", "decode", "plain"]), "\"decode\"")
            .doc("The kind of work that it does."),
        Field::optional(
            "model",
            FieldType::Name,
            "\"service\" is given instead",
            "\"quote-writer\"",
        )
        .doc("The model it serves."),
        Field::optional(
            "service",
            FieldType::Name,
            "\"model\" is given instead",
            "\"fitter-desk\"",
        )
        .doc("The service it serves."),
        Field::required("slots", FieldType::Integer { min: 1, max: 100_000 }, "20")
            .doc("Requests that it can run at once."),
        Field::optional(
            "prefill_tokens_per_s",
            positive_number(MAX_RATE_PER_S),
            "must be there for role prefill",
            "8000",
        )
        .doc("Prompt tokens that it processes a second."),
        Field::optional(
            "link_bytes_per_s",
            FieldType::Integer { min: 1, max: MAX_BYTES },
            "must be there for roles prefill and decode",
            "1.25e9",
        )
        .doc("Rate of its link, which KV cache transfers share."),
        Field::optional("fencing", FieldType::Bool, "false", "true")
            .doc("It refuses orders whose fencing number is older than one it has accepted."),
        Field::optional("orders", FieldType::Bool, "false", "true")
            .doc("It accepts orders to load a model or to change role."),
        Field::optional("leaving", FieldType::Bool, "false", "true")
            .doc("It is being removed and gets no new requests."),
    ],
};

/// Schema of the weight store.
pub(super) const WEIGHT_STORE: ObjectSchema = ObjectSchema {
    noun: "weight store",
    fields: &[Field::required("bytes_per_s", FieldType::Integer { min: 1, max: MAX_BYTES }, "2e9")
        .doc("Its total rate for all endpoints.")],
};

/// Returns the type of a positive number up to `max`. Zero is excluded because it means "not
/// limited" in the compiled catalogue.
const fn positive_number(max: f64) -> FieldType {
    FieldType::Number { min: 0.001, max }
}
