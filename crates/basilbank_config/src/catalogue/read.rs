//! Reads the items of one document.

use std::time::Duration;

use basilbank_core::{
    catalogue::{
        Class, Endpoint, Entry, EntryTarget, KeyHash, Limits, ModelSpec, Role, Service, Team,
    },
    ids::{ClassId, DataCentreId, EndpointId, EntryId, ModelId, ServiceId, TeamId},
};
use jsonc_parser::ast::Object;

use super::{
    items::{Located, NameScope, ParsedItems, TeamKey},
    schema::{CATALOGUE, CLASS, ENDPOINT, ENTRY, MODEL, SERVICE, TEAM},
};
use crate::{
    fields::Fields, key::parse_key_hash, names::Name, report::Report, schema::ObjectSchema,
};

/// Tokens per block of the prefix cache, for models that don't set it.
const DEFAULT_BLOCK_TOKENS: u32 = 16;

/// Methods whose calls may be repeated, for services that don't set them.
const DEFAULT_REPEATABLE_METHODS: [&str; 2] = ["GET", "HEAD"];

/// Path prefix of the router's own API, which services can't use.
const ROUTER_PATH_PREFIX: &str = "/v1/";

/// Reads all items of a document and adds them to `items`.
pub(super) fn read_document(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    file: usize,
    root: &Object<'_>,
) {
    let root_fields = Fields::new(report, file, &CATALOGUE, root);
    let mut read_list = |list: &str, schema: &'static ObjectSchema, read: ReadItem| {
        for object in root_fields.object_list(list) {
            let fields = Fields::new(report, file, schema, object);
            // An item with an error is skipped. The error already prevents compilation, and the
            // cross-checks would only report its consequences again.
            let _ = read(report, items, &fields);
        }
    };
    read_list("teams", &TEAM, read_team);
    read_list("classes", &CLASS, read_class);
    read_list("models", &MODEL, read_model);
    read_list("services", &SERVICE, read_service);
    read_list("entries", &ENTRY, read_entry);
    read_list("endpoints", &ENDPOINT, read_endpoint);
    read_weight_store(report, items, &root_fields);
}

/// Reads one item and adds it to the parsed items. Returns `None` if a field that it needs is
/// missing or invalid.
type ReadItem = fn(&mut Report<'_>, &mut ParsedItems, &Fields<'_, '_>) -> Option<()>;

fn read_team(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
) -> Option<()> {
    let name = fields.text("name")?;
    let id = TeamId::of(name);
    items.team_names.names.add(id.0, name, fields.pos_of("name"));
    let keys = read_keys(report, items, fields, name);
    let team = Team { id, name: name.to_owned(), keys };
    items.teams.push(Located { value: team, pos: fields.pos() });
    Some(())
}

fn read_keys(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
    team: &str,
) -> Vec<KeyHash> {
    let mut keys = Vec::new();
    for (text, pos) in fields.text_list("keys").unwrap_or_default() {
        let Some(hash) = parse_key_hash(text) else {
            // The text may be a plain key that was entered by mistake, so the message omits it.
            let message = "a key's hash is not 64 hex digits";
            report.error(pos, message, "write what `basilbank hash-key` prints for the key");
            continue;
        };
        keys.push(hash);
        let key = TeamKey { hash, team: team.to_owned() };
        items.keys.push(Located { value: key, pos });
    }
    keys
}

fn read_class(_: &mut Report<'_>, items: &mut ParsedItems, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = ClassId::of(name);
    items.class_names.names.add(id.0, name, fields.pos_of("name"));
    let class = Class {
        id,
        name: name.to_owned(),
        ttft: fields.millis("ttft_ms")?,
        tbt: fields.millis("tbt_ms").unwrap_or(Duration::ZERO),
        max_wait: fields.millis("wait_ms").unwrap_or(Duration::ZERO),
        priority: fields.integer_as("priority").unwrap_or(0),
    };
    items.classes.push(Located { value: class, pos: fields.pos() });
    Some(())
}

fn read_model(_: &mut Report<'_>, items: &mut ParsedItems, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = ModelId::of(name);
    items.model_names.names.add(id.0, name, fields.pos_of("name"));
    let model = ModelSpec {
        id,
        name: name.to_owned(),
        version: fields.text("version")?.to_owned(),
        adapter: fields.text("adapter").unwrap_or_default().to_owned(),
        weight_bytes: fields.integer("weight_bytes")?,
        token_bytes: fields.integer("kv_bytes_per_token")?,
        block_tokens: fields.integer_as("block_tokens").unwrap_or(DEFAULT_BLOCK_TOKENS),
    };
    items.models.push(Located { value: model, pos: fields.pos() });
    Some(())
}

fn read_service(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
) -> Option<()> {
    let name = fields.text("name")?;
    let id = ServiceId::of(name);
    items.service_names.names.add(id.0, name, fields.pos_of("name"));
    let prefix = read_prefix(report, fields)?;
    let service = Service {
        id,
        name: name.to_owned(),
        path_prefix: prefix,
        repeatable_methods: read_methods(report, fields),
    };
    items.services.push(Located { value: service, pos: fields.pos_of("prefix") });
    Some(())
}

fn read_prefix(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Option<String> {
    let prefix = fields.text("prefix")?;
    let pos = fields.pos_of("prefix");
    let is_path_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '"');
    let has_slashes = prefix.starts_with('/') && prefix.ends_with('/');
    if !has_slashes
        || prefix.contains("//")
        || prefix.len() < 3
        || !prefix.chars().all(is_path_char)
    {
        let help = "write a path that starts and ends with '/', for example \"/desk/\"";
        report.error(pos, format!("\"prefix\" can't be {prefix:?}"), help);
        return None;
    }
    if prefix.starts_with(ROUTER_PATH_PREFIX) {
        let message = format!("paths under {ROUTER_PATH_PREFIX} are the router's own");
        report.error(pos, message, "write another prefix, for example \"/desk/\"");
        return None;
    }
    Some(prefix.to_owned())
}

fn read_methods(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Vec<String> {
    let Some(methods) = fields.text_list("repeatable") else {
        return DEFAULT_REPEATABLE_METHODS.map(str::to_owned).to_vec();
    };
    let mut all = Vec::with_capacity(methods.len());
    for (method, pos) in methods {
        if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
            let message = format!("{method:?} is not a method");
            report.error(pos, message, "write it in upper case, for example \"GET\"");
        }
        all.push(method.to_owned());
    }
    all.sort();
    all.dedup();
    all
}

fn read_entry(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
) -> Option<()> {
    let id = EntryId::of(fields.text("name").unwrap_or_default());
    if let Some(name) = fields.text("name") {
        items.entry_names.add(id.0, name, fields.pos_of("name"));
    }
    let owner = read_reference(&mut items.team_names, fields, "owner", |name| TeamId::of(name).0);
    let class = read_reference(&mut items.class_names, fields, "class", |name| ClassId::of(name).0);
    let target = read_target(report, items, fields);
    let limits = fields.object(report, "limits");
    let pos = match &limits {
        Some(limits) if limits.has_field("owed") => limits.pos_of("owed"),
        _ => fields.pos(),
    };
    let entry = Entry {
        id,
        name: fields.text("name")?.to_owned(),
        team: TeamId(owner?),
        class: ClassId(class?),
        target: target?,
        limits: limits.map(|l| read_limits(&l)).unwrap_or_default(),
    };
    items.entries.push(Located { value: entry, pos });
    Some(())
}

fn read_limits(fields: &Fields<'_, '_>) -> Limits {
    Limits {
        requests: fields.number("requests_per_s").unwrap_or(0.0),
        tokens: fields.number("tokens_per_s").unwrap_or(0.0),
        concurrent: fields.integer_as("concurrent").unwrap_or(0),
        owed: fields.number("owed").unwrap_or(0.0),
    }
}

fn read_endpoint(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
) -> Option<()> {
    let id = EndpointId::of(fields.text("name").unwrap_or_default());
    if let Some(name) = fields.text("name") {
        items.endpoint_names.add(id.0, name, fields.pos_of("name"));
    }
    let data_centre = fields.text("data_centre");
    if let Some(name) = data_centre {
        items.data_centres.add(DataCentreId::of(name).0, name, fields.pos_of("data_centre"));
    }
    check_address(report, fields);
    let serves = read_target(report, items, fields);
    let role = read_role(fields);
    if let (Some(role), Some(serves)) = (role, serves) {
        check_role(report, fields, role, serves);
    }
    let endpoint = Endpoint {
        id,
        name: fields.text("name")?.to_owned(),
        address: fields.address("address")?.to_string(),
        data_centre: DataCentreId::of(data_centre?),
        role: role?,
        serves: serves?,
        slots: fields.integer_as("slots")?,
        prefill_rate: fields.number("prefill_tokens_per_s").unwrap_or(0.0),
        link_rate: fields.integer("link_bytes_per_s").unwrap_or(0),
        checks_fencing: fields.boolean("fencing").unwrap_or(false),
        accepts_orders: fields.boolean("orders").unwrap_or(false),
        leaving: fields.boolean("leaving").unwrap_or(false),
    };
    items.endpoints.push(Located { value: endpoint, pos: fields.pos_of("address") });
    Some(())
}

/// Reports an address that a listener can bind to, but that no client can connect to.
fn check_address(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let Some(address) = fields.address("address") else { return };
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let help = "write the endpoint's own IP number and port, for example \"10.0.1.1:8000\"";
        let message = format!("nobody can connect to {address}");
        report.error(fields.pos_of("address"), message, help);
    }
}

fn read_role(fields: &Fields<'_, '_>) -> Option<Role> {
    match fields.text("role")? {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        _ => Some(Role::Plain),
    }
}

/// Checks that the role fits the target and the other fields of the endpoint.
fn check_role(report: &mut Report<'_>, fields: &Fields<'_, '_>, role: Role, serves: EntryTarget) {
    let pos = fields.pos_of("role");
    match (role, serves) {
        (Role::Plain, EntryTarget::Model(_)) => {
            let help = "write \"prefill\" or \"decode\", or name a service instead of the model";
            report.error(pos, "an endpoint of role plain can't serve a model", help);
        }
        (Role::Prefill | Role::Decode, EntryTarget::Service(_)) => {
            let help = "write \"plain\", or name a model instead of the service";
            report.error(pos, "only an endpoint of role plain can serve a service", help);
        }
        _ => {}
    }
    let required: &[(&str, &str)] = match role {
        Role::Prefill => &[("prefill_tokens_per_s", "8000"), ("link_bytes_per_s", "1.25e9")],
        Role::Decode => &[("link_bytes_per_s", "1.25e9")],
        Role::Plain => &[],
    };
    for (name, example) in required.iter().filter(|(name, _)| !fields.has_field(name)) {
        let message = format!("an endpoint of this role needs \"{name}\"");
        report.error(pos, message, format!("add \"{name}\": {example}, for example"));
    }
    let unsupported: &[&str] = match role {
        Role::Plain => &["prefill_tokens_per_s", "orders", "fencing"],
        _ => &[],
    };
    for name in unsupported.iter().filter(|name| fields.has_field(name)) {
        let message = format!("an endpoint of role plain has no \"{name}\"");
        report.error(fields.pos_of(name), message, "remove it");
    }
}

fn read_target(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    fields: &Fields<'_, '_>,
) -> Option<EntryTarget> {
    let model = read_reference(&mut items.model_names, fields, "model", |name| ModelId::of(name).0);
    let service =
        read_reference(&mut items.service_names, fields, "service", |name| ServiceId::of(name).0);
    match (fields.has_field("model"), fields.has_field("service")) {
        (true, true) => {
            let (pos, other) = (fields.pos_of("service"), fields.pos_of("model"));
            report.conflict(pos, other, "\"model\" and \"service\" are both given", "remove one");
            None
        }
        (false, false) => {
            let help = "add \"model\" or \"service\" with the name of one";
            report.error(fields.pos(), "neither \"model\" nor \"service\" is given", help);
            None
        }
        (true, false) => Some(EntryTarget::Model(ModelId(model?))),
        (false, true) => Some(EntryTarget::Service(ServiceId(service?))),
    }
}

/// Records the name in a field as a reference and returns the id that it stands for.
fn read_reference(
    scope: &mut NameScope,
    fields: &Fields<'_, '_>,
    field: &str,
    id: fn(&str) -> u64,
) -> Option<u64> {
    let text = fields.text(field)?;
    let name = Name { id: id(text), text: text.to_owned(), pos: fields.pos_of(field) };
    scope.references.push(name);
    Some(id(text))
}

fn read_weight_store(
    report: &mut Report<'_>,
    items: &mut ParsedItems,
    root_fields: &Fields<'_, '_>,
) {
    let Some(fields) = root_fields.object(report, "weight_store") else { return };
    if let Some(first) = &items.weight_rate {
        report.conflict(fields.pos(), first.pos, "there are two weight stores", "remove one");
        return;
    }
    let value = fields.integer("bytes_per_s").unwrap_or(0);
    items.weight_rate = Some(Located { value, pos: fields.pos() });
}
