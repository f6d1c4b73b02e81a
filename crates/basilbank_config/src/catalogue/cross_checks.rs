//! Checks that compare several catalogue items with each other.

use std::collections::{BTreeMap, HashMap, HashSet};

use basilbank_core::{
    catalogue::{EntryTarget, Role},
    ids::{ClassId, TeamId},
};

use super::items::ParsedItems;
use crate::report::{Position, Report};

/// Tolerance for sums of guaranteed shares: shares that add up to one in decimal may add up to
/// slightly more in binary floating point.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Runs all cross-checks on the items of all documents.
pub(super) fn check_all(report: &mut Report<'_>, items: &ParsedItems) {
    check_keys(report, items);
    check_path_prefixes(report, items);
    check_addresses(report, items);
    check_guaranteed_shares(report, items);
    check_model_entry_classes(report, items);
    check_service_entries(report, items);
    check_targets_served(report, items);
}

/// Reports keys that occur more than once. A key identifies one team: if two teams had the same
/// key, the order of the documents would decide which one is charged.
fn check_keys(report: &mut Report<'_>, items: &ParsedItems) {
    let mut seen = HashMap::with_capacity(items.keys.len());
    for key in &items.keys {
        let Some((team, pos)) = seen.insert(key.value.hash, (&key.value.team, key.pos)) else {
            continue;
        };
        let message = if *team == key.value.team {
            format!("team \"{team}\" has this key twice")
        } else {
            format!("teams \"{team}\" and \"{}\" have the same key", key.value.team)
        };
        report.conflict(key.pos, pos, message, "remove one, or give each team its own key");
    }
}

/// Reports services whose path prefix lies within the prefix of another service.
fn check_path_prefixes(report: &mut Report<'_>, items: &ParsedItems) {
    let mut services: Vec<_> = items.services.iter().collect();
    services.sort_by_key(|s| (&s.value.path_prefix, s.pos));
    let mut enclosing = services.first();
    for service in services.iter().skip(1) {
        let Some(first) = enclosing else { break };
        if !service.value.path_prefix.starts_with(&first.value.path_prefix) {
            enclosing = Some(service);
            continue;
        }
        let (a, b) = (&first.value, &service.value);
        let message = format!(
            "the prefix {} of service \"{}\" is within {} of service \"{}\"",
            b.path_prefix, b.name, a.path_prefix, a.name
        );
        report.conflict(service.pos, first.pos, message, "write prefixes that don't overlap");
    }
}

/// Reports endpoints with the same address. Slots are counted and streams are listed per endpoint,
/// so the slots of a server with two names would be granted twice.
fn check_addresses(report: &mut Report<'_>, items: &ParsedItems) {
    let mut seen = HashMap::with_capacity(items.endpoints.len());
    for endpoint in &items.endpoints {
        let (name, address) = (&endpoint.value.name, &endpoint.value.address);
        let Some((first, pos)) = seen.insert(address, (name, endpoint.pos)) else { continue };
        let message = format!("endpoints \"{first}\" and \"{name}\" have the same address");
        report.conflict(endpoint.pos, pos, message, "give each endpoint its own address");
    }
}

/// Reports targets whose guaranteed shares (`owed`) add up to more than 1.
fn check_guaranteed_shares(report: &mut Report<'_>, items: &ParsedItems) {
    let mut share_sums: HashMap<EntryTarget, f64> = HashMap::new();
    for entry in &items.entries {
        let sum = share_sums.entry(entry.value.target).or_insert(0.0);
        let previous_sum = *sum;
        *sum += entry.value.limits.owed;
        if previous_sum <= 1.0 + SHARE_TOLERANCE && 1.0 + SHARE_TOLERANCE < *sum {
            let target = items.target_name(entry.value.target);
            let total: f64 = items
                .entries
                .iter()
                .filter(|e| e.value.target == entry.value.target)
                .map(|e| e.value.limits.owed)
                .sum();
            let message = format!("the owed shares of {target} add up to {total:.3}");
            report.error(entry.pos, message, "lower them to 1 or less together");
        }
    }
}

/// Reports classes without a target for the time between tokens that are used by an entry for a
/// model. That target is part of what such an entry promises.
fn check_model_entry_classes(report: &mut Report<'_>, items: &ParsedItems) {
    let model_entries =
        items.entries.iter().filter(|e| matches!(e.value.target, EntryTarget::Model(_)));
    let used: HashMap<ClassId, &str> =
        model_entries.map(|e| (e.value.class, e.value.name.as_str())).collect();
    for class in items.classes.iter().filter(|c| c.value.tbt.is_zero()) {
        let Some(entry) = used.get(&class.value.id) else { continue };
        let name = &class.value.name;
        let message = format!("class \"{name}\" of the model entry \"{entry}\" has no \"tbt_ms\"");
        report.error(class.pos, message, "add \"tbt_ms\": 44, for example");
    }
}

/// Reports teams with more than one entry for the same service. Callers select a service by its
/// path alone, so the entry to use would be ambiguous.
fn check_service_entries(report: &mut Report<'_>, items: &ParsedItems) {
    let mut seen: HashMap<(TeamId, EntryTarget), (&str, Position)> = HashMap::new();
    for entry in &items.entries {
        if matches!(entry.value.target, EntryTarget::Model(_)) {
            continue;
        }
        let key = (entry.value.team, entry.value.target);
        let name = entry.value.name.as_str();
        let Some((first, pos)) = seen.insert(key, (name, entry.pos)) else { continue };
        let target = items.target_name(entry.value.target);
        let message = format!("entries \"{first}\" and \"{name}\" give one team the same {target}");
        report.conflict(entry.pos, pos, message, "keep one of the two entries");
    }
}

/// Warns about each target of an entry that has no endpoint of a required role. All calls of such
/// an entry are refused. This is not an error, because the endpoints may be added later.
fn check_targets_served(report: &mut Report<'_>, items: &ParsedItems) {
    let served: HashSet<(EntryTarget, Role)> =
        items.endpoints.iter().map(|e| (e.value.serves, e.value.role)).collect();
    let mut first_entries: BTreeMap<Position, EntryTarget> = BTreeMap::new();
    let mut seen = HashSet::new();
    for entry in &items.entries {
        if seen.insert(entry.value.target) {
            first_entries.insert(entry.pos, entry.value.target);
        }
    }
    for (pos, target) in first_entries {
        let roles: &[(Role, &str)] = match target {
            EntryTarget::Model(_) => &[(Role::Prefill, "prefill"), (Role::Decode, "decode")],
            EntryTarget::Service(_) => &[(Role::Plain, "plain")],
        };
        for (_, role) in roles.iter().filter(|(role, _)| !served.contains(&(target, *role))) {
            let name = items.target_name(target);
            let message = format!("no endpoint of role {role} serves {name}");
            report.warning(pos, message, "add one, or calls of its entries are refused");
        }
    }
}
