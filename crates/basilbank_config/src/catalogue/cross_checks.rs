//! Checks that look at several things at once.

use std::collections::{BTreeMap, HashMap, HashSet};

use basilbank_core::{
    catalogue::{EntryTarget, Role},
    ids::{ClassId, TeamId},
};

use super::items::ParsedItems;
use crate::report::{Position, Report};

/// Shares that add up to one in decimal may add up to a little more in binary.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks all things against each other.
pub(super) fn check_all(report: &mut Report<'_>, items: &ParsedItems) {
    check_keys(report, items);
    check_path_prefixes(report, items);
    check_addresses(report, items);
    check_guaranteed_shares(report, items);
    check_model_entry_classes(report, items);
    check_service_entries(report, items);
    check_targets_served(report, items);
}

/// A key stands for one team: with two, who is charged would depend on the order of the documents.
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

/// Slots are counted and streams are listed by endpoint: two names for one server would have its
/// slots given out twice.
fn check_addresses(report: &mut Report<'_>, items: &ParsedItems) {
    let mut seen = HashMap::with_capacity(items.endpoints.len());
    for endpoint in &items.endpoints {
        let (name, address) = (&endpoint.value.name, &endpoint.value.address);
        let Some((first, pos)) = seen.insert(address, (name, endpoint.pos)) else { continue };
        let message = format!("endpoints \"{first}\" and \"{name}\" have the same address");
        report.conflict(endpoint.pos, pos, message, "give each endpoint its own address");
    }
}

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

/// The time between tokens is part of what a model's entry promises.
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

/// Callers name a service by its path alone, so a team can have one entry for each.
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

/// An entry that nothing serves is refused every call. That may be meant, while endpoints are on
/// their way, so it is a warning: one for each target.
fn check_targets_served(report: &mut Report<'_>, items: &ParsedItems) {
    let served: HashSet<(EntryTarget, Role)> =
        items.endpoints.iter().map(|e| (e.value.serves, e.value.role)).collect();
    let mut first: BTreeMap<Position, EntryTarget> = BTreeMap::new();
    let mut seen = HashSet::new();
    for entry in &items.entries {
        if seen.insert(entry.value.target) {
            first.insert(entry.pos, entry.value.target);
        }
    }
    for (pos, target) in first {
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
