//! The command `watch`: polls a daemon and prints what changed.

use std::{collections::BTreeMap, time::SystemTime};

use serde_json::{Value, json};

use crate::{
    admin::AdminClient,
    args::{Format, List, Options, WatchOptions},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    show::list_items,
    table::{JsonObject, format_cell},
};

/// Lists that are polled in addition to the status.
const WATCHED_LISTS: [List; 3] = [List::Endpoints, List::Peers, List::Orders];

/// Fields that identify an object of a list. The first one that the object has is used.
const ID_FIELDS: [&str; 4] = ["name", "id", "endpoint", "vm"];

/// Fields that change constantly on a healthy daemon and are therefore not reported.
const VOLATILE_FIELDS: [&str; 4] = ["heartbeat", "held", "queued", "requests"];

/// Suffixes of other fields that change constantly: durations and ages.
const VOLATILE_SUFFIXES: [&str; 2] = ["_ms", "_s"];

/// Values by list, object and field, such as `endpoints writer-d1 running`.
type Snapshot = BTreeMap<String, String>;

/// A value that differs from the previous poll. `None` means that it did not exist.
struct Change {
    what: String,
    old: Option<String>,
    new: Option<String>,
}

/// Polls the daemon at regular intervals and prints what changed since the previous poll.
pub fn run(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    watch: WatchOptions,
) -> Result<ExitStatus, Failure> {
    let admin = AdminClient::new(options)?;
    let mut previous: Option<Snapshot> = None;
    let mut is_unreachable = false;
    let mut round = 0;
    loop {
        round += 1;
        match take_snapshot(&admin) {
            Ok(snapshot) => {
                if is_unreachable {
                    write_changes(ctx, options, &reachability_change("no", "yes"))?;
                }
                is_unreachable = false;
                match &previous {
                    Some(old) => write_changes(ctx, options, &diff_snapshots(old, &snapshot))?,
                    None => write_changes(ctx, options, &reachability_change("-", "yes"))?,
                }
                previous = Some(snapshot);
            }
            Err(Failure::Unreachable(message)) => {
                if !is_unreachable {
                    writeln!(ctx.err, "basilbank: {message}")?;
                    write_changes(
                        ctx,
                        options,
                        &reachability_change(if previous.is_some() { "yes" } else { "-" }, "no"),
                    )?;
                }
                is_unreachable = true;
            }
            Err(failure) => return Err(failure),
        }
        if watch.count.is_some_and(|count| count <= round) {
            return Ok(if is_unreachable { ExitStatus::Unreachable } else { ExitStatus::Ok });
        }
        (ctx.sleep)(watch.interval);
    }
}

fn reachability_change(old: &str, new: &str) -> Vec<Change> {
    let what = "daemon reached".to_owned();
    vec![Change { what, old: Some(old.to_owned()), new: Some(new.to_owned()) }]
}

fn take_snapshot(admin: &AdminClient) -> Result<Snapshot, Failure> {
    let mut snapshot = Snapshot::new();
    let status = admin.get("status", "status")?;
    for (field, value) in status.as_object().into_iter().flatten() {
        record_value(&mut snapshot, "status", field, value);
    }
    for list in WATCHED_LISTS {
        for item in list_items(&admin.get(list.name(), list.name())?)? {
            record_item(&mut snapshot, list, &item);
        }
    }
    Ok(snapshot)
}

fn record_item(snapshot: &mut Snapshot, list: List, item: &JsonObject) {
    let key = ID_FIELDS.iter().find_map(|key| item.get(*key)).map_or("-".to_owned(), format_cell);
    let what = format!("{} {key}", list.name());
    for (field, value) in item {
        record_value(snapshot, &what, field, value);
    }
}

fn record_value(snapshot: &mut Snapshot, what: &str, field: &str, value: &Value) {
    let is_volatile =
        VOLATILE_FIELDS.contains(&field) || VOLATILE_SUFFIXES.iter().any(|e| field.ends_with(e));
    if !is_volatile {
        snapshot.insert(format!("{what} {field}"), format_cell(value));
    }
}

fn diff_snapshots(previous: &Snapshot, current: &Snapshot) -> Vec<Change> {
    let mut changes = Vec::new();
    for (what, old) in previous {
        let new = current.get(what);
        if new != Some(old) {
            changes.push(Change { what: what.clone(), old: Some(old.clone()), new: new.cloned() });
        }
    }
    for (what, new) in current.iter().filter(|(what, _)| !previous.contains_key(*what)) {
        changes.push(Change { what: what.clone(), old: None, new: Some(new.clone()) });
    }
    changes.sort_by(|a, b| a.what.cmp(&b.what));
    changes
}

fn write_changes(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    changes: &[Change],
) -> Result<(), Failure> {
    for Change { what, old, new } in changes {
        match options.format {
            Format::Json => {
                let at = unix_seconds();
                writeln!(ctx.out, "{}", json!({ "at": at, "what": what, "old": old, "new": new }))?;
            }
            Format::Table => {
                let text = |side: &Option<String>| side.clone().unwrap_or("-".to_owned());
                writeln!(ctx.out, "{what}: {} -> {}", text(old), text(new))?;
            }
        }
    }
    ctx.out.flush()?;
    Ok(())
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
