//! Checks that look at several things at once.

use std::collections::{BTreeMap, HashMap, HashSet};

use basilbank_core::{
    catalogue::{EntryTarget, Role},
    ids::{ClassId, TeamId},
};

use super::parts::Parts;
use crate::report::{Report, Spot};

/// Shares that add up to one in decimal may add up to a little more in binary.
const ROUNDING: f64 = 1e-9;

/// Checks all things against each other.
pub(super) fn check(report: &mut Report<'_>, parts: &Parts) {
    check_keys(report, parts);
    check_prefixes(report, parts);
    check_addresses(report, parts);
    check_shares(report, parts);
    check_classes(report, parts);
    check_services(report, parts);
    check_served(report, parts);
}

/// A key stands for one team: with two, who is charged would depend on the order of the documents.
fn check_keys(report: &mut Report<'_>, parts: &Parts) {
    let mut seen = HashMap::with_capacity(parts.keys.len());
    for key in &parts.keys {
        let Some((team, spot)) = seen.insert(key.value.hash, (&key.value.team, key.spot)) else {
            continue;
        };
        let message = if *team == key.value.team {
            format!("team \"{team}\" has this key twice")
        } else {
            format!("teams \"{team}\" and \"{}\" have the same key", key.value.team)
        };
        report.clash(key.spot, spot, message, "remove one, or give each team its own key");
    }
}

fn check_prefixes(report: &mut Report<'_>, parts: &Parts) {
    let mut services: Vec<_> = parts.services.iter().collect();
    services.sort_by_key(|s| (&s.value.path_prefix, s.spot));
    let mut outer = services.first();
    for service in services.iter().skip(1) {
        let Some(first) = outer else { break };
        if !service.value.path_prefix.starts_with(&first.value.path_prefix) {
            outer = Some(service);
            continue;
        }
        let (a, b) = (&first.value, &service.value);
        let message = format!(
            "the prefix {} of service \"{}\" is within {} of service \"{}\"",
            b.path_prefix, b.name, a.path_prefix, a.name
        );
        report.clash(service.spot, first.spot, message, "write prefixes that don't overlap");
    }
}

/// Slots are counted and streams are listed by endpoint: two names for one server would have its
/// slots given out twice.
fn check_addresses(report: &mut Report<'_>, parts: &Parts) {
    let mut seen = HashMap::with_capacity(parts.endpoints.len());
    for endpoint in &parts.endpoints {
        let (name, address) = (&endpoint.value.name, &endpoint.value.address);
        let Some((first, spot)) = seen.insert(address, (name, endpoint.spot)) else { continue };
        let message = format!("endpoints \"{first}\" and \"{name}\" have the same address");
        report.clash(endpoint.spot, spot, message, "give each endpoint its own address");
    }
}

fn check_shares(report: &mut Report<'_>, parts: &Parts) {
    let mut owed: HashMap<EntryTarget, f64> = HashMap::new();
    for entry in &parts.entries {
        let sum = owed.entry(entry.value.target).or_insert(0.0);
        let before = *sum;
        *sum += entry.value.limits.owed;
        if before <= 1.0 + ROUNDING && 1.0 + ROUNDING < *sum {
            let target = parts.target_name(entry.value.target);
            let total: f64 = parts
                .entries
                .iter()
                .filter(|e| e.value.target == entry.value.target)
                .map(|e| e.value.limits.owed)
                .sum();
            let message = format!("the owed shares of {target} add up to {total:.3}");
            report.error(entry.spot, message, "lower them to 1 or less together");
        }
    }
}

/// The time between tokens is part of what a model's entry promises.
fn check_classes(report: &mut Report<'_>, parts: &Parts) {
    let drafts = parts.entries.iter().filter(|e| matches!(e.value.target, EntryTarget::Model(_)));
    let used: HashMap<ClassId, &str> =
        drafts.map(|e| (e.value.class, e.value.name.as_str())).collect();
    for class in parts.classes.iter().filter(|c| c.value.tbt.is_zero()) {
        let Some(entry) = used.get(&class.value.id) else { continue };
        let name = &class.value.name;
        let message = format!("class \"{name}\" of the model entry \"{entry}\" has no \"tbt_ms\"");
        report.error(class.spot, message, "add \"tbt_ms\": 44, for example");
    }
}

/// Callers name a service by its path alone, so a team can have one entry for each.
fn check_services(report: &mut Report<'_>, parts: &Parts) {
    let mut seen: HashMap<(TeamId, EntryTarget), (&str, Spot)> = HashMap::new();
    for entry in &parts.entries {
        if matches!(entry.value.target, EntryTarget::Model(_)) {
            continue;
        }
        let key = (entry.value.team, entry.value.target);
        let name = entry.value.name.as_str();
        let Some((first, spot)) = seen.insert(key, (name, entry.spot)) else { continue };
        let target = parts.target_name(entry.value.target);
        let message = format!("entries \"{first}\" and \"{name}\" give one team the same {target}");
        report.clash(entry.spot, spot, message, "keep one of the two entries");
    }
}

/// An entry that nothing serves is refused every call. That may be meant, while endpoints are on
/// their way, so it is a warning: one for each target.
fn check_served(report: &mut Report<'_>, parts: &Parts) {
    let served: HashSet<(EntryTarget, Role)> =
        parts.endpoints.iter().map(|e| (e.value.serves, e.value.role)).collect();
    let mut first: BTreeMap<Spot, EntryTarget> = BTreeMap::new();
    let mut seen = HashSet::new();
    for entry in &parts.entries {
        if seen.insert(entry.value.target) {
            first.insert(entry.spot, entry.value.target);
        }
    }
    for (spot, target) in first {
        let roles: &[(Role, &str)] = match target {
            EntryTarget::Model(_) => &[(Role::Prefill, "prefill"), (Role::Decode, "decode")],
            EntryTarget::Service(_) => &[(Role::Plain, "plain")],
        };
        for (_, role) in roles.iter().filter(|(role, _)| !served.contains(&(target, *role))) {
            let name = parts.target_name(target);
            let message = format!("no endpoint of role {role} serves {name}");
            report.warning(spot, message, "add one, or calls of its entries are refused");
        }
    }
}
