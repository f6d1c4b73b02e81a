//! Reads one document's parts.

use std::time::Duration;

use basilbank_core::{
    catalogue::{
        Class, Endpoint, Entry, EntryTarget, KeyHash, Limits, ModelSpec, Role, Service, Team,
    },
    ids::{ClassId, DataCentreId, EndpointId, EntryId, ModelId, ServiceId, TeamId},
};
use jsonc_parser::ast::Object;

use super::{
    parts::{Parts, Placed, Scope, TeamKey},
    schema::{CATALOGUE, CLASS, ENDPOINT, ENTRY, MODEL, SERVICE, TEAM},
};
use crate::{fields::Fields, key::parse_hash, names::Name, report::Report, schema::Section};

/// Blocks of the prefix cache have this many tokens where a model does not say.
const BLOCK_TOKENS: u32 = 16;

/// Methods whose calls may be repeated where a service does not say.
const REPEATABLE: [&str; 2] = ["GET", "HEAD"];

/// Paths that are the router's own.
const OWN_PREFIX: &str = "/v1/";

/// Reads all that a document holds.
pub(super) fn read_document(
    report: &mut Report<'_>,
    parts: &mut Parts,
    file: usize,
    root: &Object<'_>,
) {
    let top = Fields::new(report, file, &CATALOGUE, root);
    let mut each = |list: &str, section: &'static Section, read: ReadFn| {
        for object in top.objects(list) {
            let fields = Fields::new(report, file, section, object);
            // A thing with a finding is left out: nothing is compiled any more, and checks across
            // things would report follow-ups of what is already reported.
            let _ = read(report, parts, &fields);
        }
    };
    each("teams", &TEAM, read_team);
    each("classes", &CLASS, read_class);
    each("models", &MODEL, read_model);
    each("services", &SERVICE, read_service);
    each("entries", &ENTRY, read_entry);
    each("endpoints", &ENDPOINT, read_endpoint);
    read_weight_store(report, parts, &top);
}

type ReadFn = fn(&mut Report<'_>, &mut Parts, &Fields<'_, '_>) -> Option<()>;

fn read_team(report: &mut Report<'_>, parts: &mut Parts, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = TeamId::of(name);
    parts.team_names.names.add(id.0, name, fields.spot_of("name"));
    let keys = read_keys(report, parts, fields, name);
    let team = Team { id, name: name.to_owned(), keys };
    parts.teams.push(Placed { value: team, spot: fields.spot() });
    Some(())
}

fn read_keys(
    report: &mut Report<'_>,
    parts: &mut Parts,
    fields: &Fields<'_, '_>,
    team: &str,
) -> Vec<KeyHash> {
    let mut keys = Vec::new();
    for (text, spot) in fields.texts("keys").unwrap_or_default() {
        let Some(hash) = parse_hash(text) else {
            // The text may be a key that was put here by mistake, so it isn't repeated.
            let message = "a key's hash is not 64 hex digits";
            report.error(spot, message, "write what `basilbank hash-key` prints for the key");
            continue;
        };
        keys.push(hash);
        let key = TeamKey { hash, team: team.to_owned() };
        parts.keys.push(Placed { value: key, spot });
    }
    keys
}

fn read_class(_: &mut Report<'_>, parts: &mut Parts, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = ClassId::of(name);
    parts.class_names.names.add(id.0, name, fields.spot_of("name"));
    let class = Class {
        id,
        name: name.to_owned(),
        ttft: fields.millis("ttft_ms")?,
        tbt: fields.millis("tbt_ms").unwrap_or(Duration::ZERO),
        max_wait: fields.millis("wait_ms").unwrap_or(Duration::ZERO),
        priority: fields.count("priority").unwrap_or(0),
    };
    parts.classes.push(Placed { value: class, spot: fields.spot() });
    Some(())
}

fn read_model(_: &mut Report<'_>, parts: &mut Parts, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = ModelId::of(name);
    parts.model_names.names.add(id.0, name, fields.spot_of("name"));
    let model = ModelSpec {
        id,
        name: name.to_owned(),
        version: fields.text("version")?.to_owned(),
        adapter: fields.text("adapter").unwrap_or_default().to_owned(),
        weight_bytes: fields.whole("weight_bytes")?,
        token_bytes: fields.whole("kv_bytes_per_token")?,
        block_tokens: fields.count("block_tokens").unwrap_or(BLOCK_TOKENS),
    };
    parts.models.push(Placed { value: model, spot: fields.spot() });
    Some(())
}

fn read_service(report: &mut Report<'_>, parts: &mut Parts, fields: &Fields<'_, '_>) -> Option<()> {
    let name = fields.text("name")?;
    let id = ServiceId::of(name);
    parts.service_names.names.add(id.0, name, fields.spot_of("name"));
    let prefix = read_prefix(report, fields)?;
    let service = Service {
        id,
        name: name.to_owned(),
        path_prefix: prefix,
        repeatable_methods: read_methods(report, fields),
    };
    parts.services.push(Placed { value: service, spot: fields.spot_of("prefix") });
    Some(())
}

fn read_prefix(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Option<String> {
    let prefix = fields.text("prefix")?;
    let spot = fields.spot_of("prefix");
    let path = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '"');
    let framed = prefix.starts_with('/') && prefix.ends_with('/');
    if !framed || prefix.contains("//") || prefix.len() < 3 || !prefix.chars().all(path) {
        let help = "write a path that starts and ends with '/', for example \"/desk/\"";
        report.error(spot, format!("\"prefix\" can't be {prefix:?}"), help);
        return None;
    }
    if prefix.starts_with(OWN_PREFIX) {
        let message = format!("paths under {OWN_PREFIX} are the router's own");
        report.error(spot, message, "write another prefix, for example \"/desk/\"");
        return None;
    }
    Some(prefix.to_owned())
}

fn read_methods(report: &mut Report<'_>, fields: &Fields<'_, '_>) -> Vec<String> {
    let Some(methods) = fields.texts("repeatable") else {
        return REPEATABLE.map(str::to_owned).to_vec();
    };
    let mut all = Vec::with_capacity(methods.len());
    for (method, spot) in methods {
        if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
            let message = format!("{method:?} is not a method");
            report.error(spot, message, "write it in upper case, for example \"GET\"");
        }
        all.push(method.to_owned());
    }
    all.sort();
    all.dedup();
    all
}

fn read_entry(report: &mut Report<'_>, parts: &mut Parts, fields: &Fields<'_, '_>) -> Option<()> {
    let id = EntryId::of(fields.text("name").unwrap_or_default());
    if let Some(name) = fields.text("name") {
        parts.entry_names.add(id.0, name, fields.spot_of("name"));
    }
    let owner = refer(&mut parts.team_names, fields, "owner", |name| TeamId::of(name).0);
    let class = refer(&mut parts.class_names, fields, "class", |name| ClassId::of(name).0);
    let target = read_target(report, parts, fields);
    let limits = fields.object(report, "limits");
    let spot = match &limits {
        Some(limits) if limits.has("owed") => limits.spot_of("owed"),
        _ => fields.spot(),
    };
    let entry = Entry {
        id,
        name: fields.text("name")?.to_owned(),
        team: TeamId(owner?),
        class: ClassId(class?),
        target: target?,
        limits: limits.map(|l| read_limits(&l)).unwrap_or_default(),
    };
    parts.entries.push(Placed { value: entry, spot });
    Some(())
}

fn read_limits(fields: &Fields<'_, '_>) -> Limits {
    Limits {
        requests: fields.number("requests_per_s").unwrap_or(0.0),
        tokens: fields.number("tokens_per_s").unwrap_or(0.0),
        concurrent: fields.count("concurrent").unwrap_or(0),
        owed: fields.number("owed").unwrap_or(0.0),
    }
}

fn read_endpoint(
    report: &mut Report<'_>,
    parts: &mut Parts,
    fields: &Fields<'_, '_>,
) -> Option<()> {
    let id = EndpointId::of(fields.text("name").unwrap_or_default());
    if let Some(name) = fields.text("name") {
        parts.endpoint_names.add(id.0, name, fields.spot_of("name"));
    }
    let data_centre = fields.text("data_centre");
    if let Some(name) = data_centre {
        parts.data_centres.add(DataCentreId::of(name).0, name, fields.spot_of("data_centre"));
    }
    check_address(report, fields);
    let serves = read_target(report, parts, fields);
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
        slots: fields.count("slots")?,
        prefill_rate: fields.number("prefill_tokens_per_s").unwrap_or(0.0),
        link_rate: fields.whole("link_bytes_per_s").unwrap_or(0),
        checks_fencing: fields.flag("fencing").unwrap_or(false),
        accepts_orders: fields.flag("orders").unwrap_or(false),
        leaving: fields.flag("leaving").unwrap_or(false),
    };
    parts.endpoints.push(Placed { value: endpoint, spot: fields.spot_of("address") });
    Some(())
}

/// An address that a listener may have, but that nobody can connect to.
fn check_address(report: &mut Report<'_>, fields: &Fields<'_, '_>) {
    let Some(address) = fields.address("address") else { return };
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let help = "write the endpoint's own IP number and port, for example \"10.0.1.1:8000\"";
        let message = format!("nobody can connect to {address}");
        report.error(fields.spot_of("address"), message, help);
    }
}

fn read_role(fields: &Fields<'_, '_>) -> Option<Role> {
    match fields.text("role")? {
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        _ => Some(Role::Plain),
    }
}

fn check_role(report: &mut Report<'_>, fields: &Fields<'_, '_>, role: Role, serves: EntryTarget) {
    let spot = fields.spot_of("role");
    match (role, serves) {
        (Role::Plain, EntryTarget::Model(_)) => {
            let help = "write \"prefill\" or \"decode\", or name a service instead of the model";
            report.error(spot, "an endpoint of role plain can't serve a model", help);
        }
        (Role::Prefill | Role::Decode, EntryTarget::Service(_)) => {
            let help = "write \"plain\", or name a model instead of the service";
            report.error(spot, "only an endpoint of role plain can serve a service", help);
        }
        _ => {}
    }
    let needed: &[(&str, &str)] = match role {
        Role::Prefill => &[("prefill_tokens_per_s", "8000"), ("link_bytes_per_s", "1.25e9")],
        Role::Decode => &[("link_bytes_per_s", "1.25e9")],
        Role::Plain => &[],
    };
    for (name, example) in needed.iter().filter(|(name, _)| !fields.has(name)) {
        let message = format!("an endpoint of this role needs \"{name}\"");
        report.error(spot, message, format!("add \"{name}\": {example}, for example"));
    }
    let useless: &[&str] = match role {
        Role::Plain => &["prefill_tokens_per_s", "orders", "fencing"],
        _ => &[],
    };
    for name in useless.iter().filter(|name| fields.has(name)) {
        let message = format!("an endpoint of role plain has no \"{name}\"");
        report.error(fields.spot_of(name), message, "remove it");
    }
}

fn read_target(
    report: &mut Report<'_>,
    parts: &mut Parts,
    fields: &Fields<'_, '_>,
) -> Option<EntryTarget> {
    let model = refer(&mut parts.model_names, fields, "model", |name| ModelId::of(name).0);
    let service = refer(&mut parts.service_names, fields, "service", |name| ServiceId::of(name).0);
    match (fields.has("model"), fields.has("service")) {
        (true, true) => {
            let (spot, other) = (fields.spot_of("service"), fields.spot_of("model"));
            report.clash(spot, other, "\"model\" and \"service\" are both given", "remove one");
            None
        }
        (false, false) => {
            let help = "add \"model\" or \"service\" with the name of one";
            report.error(fields.spot(), "neither \"model\" nor \"service\" is given", help);
            None
        }
        (true, false) => Some(EntryTarget::Model(ModelId(model?))),
        (false, true) => Some(EntryTarget::Service(ServiceId(service?))),
    }
}

/// Notes a reference, and gives the id that it stands for.
fn refer(
    scope: &mut Scope,
    fields: &Fields<'_, '_>,
    field: &str,
    id: fn(&str) -> u64,
) -> Option<u64> {
    let text = fields.text(field)?;
    let name = Name { id: id(text), text: text.to_owned(), spot: fields.spot_of(field) };
    scope.references.push(name);
    Some(id(text))
}

fn read_weight_store(report: &mut Report<'_>, parts: &mut Parts, top: &Fields<'_, '_>) {
    let Some(fields) = top.object(report, "weight_store") else { return };
    if let Some(first) = &parts.weight_rate {
        report.clash(fields.spot(), first.spot, "there are two weight stores", "remove one");
        return;
    }
    let value = fields.whole("bytes_per_s").unwrap_or(0);
    parts.weight_rate = Some(Placed { value, spot: fields.spot() });
}
