//! `watch`: what changes at a daemon.

use std::{collections::BTreeMap, time::SystemTime};

use serde_json::{Value, json};

use crate::{
    admin::Admin,
    args::{Format, List, Options, Rounds},
    failure::{Failure, Status},
    shell::Shell,
    show::items,
    table::{Flat, cell},
};

/// Lists that are watched beside the status.
const LISTS: [List; 3] = [List::Endpoints, List::Peers, List::Orders];

/// Fields that tell one object of a list from the others; the first that it has counts.
const KEYS: [&str; 4] = ["name", "id", "endpoint", "vm"];

/// Fields that move all the time, on a daemon that works as it should.
const RESTLESS: [&str; 4] = ["heartbeat", "held", "queued", "requests"];

/// Fields that end like this move too.
const RESTLESS_ENDS: [&str; 2] = ["_ms", "_s"];

/// Values by what they belong to: `endpoint writer-d1 running`.
type Seen = BTreeMap<String, String>;

/// One value that is another than before.
struct Difference {
    what: String,
    old: Option<String>,
    new: Option<String>,
}

/// Asks again and again, and prints what changed.
pub fn run(shell: &mut Shell<'_>, options: &Options, rounds: Rounds) -> Result<Status, Failure> {
    let admin = Admin::new(options)?;
    let mut before: Option<Seen> = None;
    let mut lost = false;
    let mut round = 0;
    loop {
        round += 1;
        match look(&admin) {
            Ok(seen) => {
                if lost {
                    write(shell, options, &reached("no", "yes"))?;
                }
                lost = false;
                match &before {
                    Some(before) => write(shell, options, &differences(before, &seen))?,
                    None => write(shell, options, &reached("-", "yes"))?,
                }
                before = Some(seen);
            }
            Err(Failure::Unreachable(message)) => {
                if !lost {
                    writeln!(shell.err, "basilbank: {message}")?;
                    write(
                        shell,
                        options,
                        &reached(if before.is_some() { "yes" } else { "-" }, "no"),
                    )?;
                }
                lost = true;
            }
            Err(other) => return Err(other),
        }
        if rounds.count.is_some_and(|count| count <= round) {
            return Ok(if lost { Status::Unreachable } else { Status::Ok });
        }
        (shell.sleep)(rounds.interval);
    }
}

fn reached(old: &str, new: &str) -> Vec<Difference> {
    let what = "daemon reached".to_owned();
    vec![Difference { what, old: Some(old.to_owned()), new: Some(new.to_owned()) }]
}

fn look(admin: &Admin) -> Result<Seen, Failure> {
    let mut seen = Seen::new();
    let status = admin.get("status", "status")?;
    for (field, value) in status.as_object().into_iter().flatten() {
        note(&mut seen, "status", field, value);
    }
    for list in LISTS {
        for item in items(&admin.get(list.name(), list.name())?)? {
            note_item(&mut seen, list, &item);
        }
    }
    Ok(seen)
}

fn note_item(seen: &mut Seen, list: List, item: &Flat) {
    let key = KEYS.iter().find_map(|key| item.get(*key)).map_or("-".to_owned(), cell);
    let what = format!("{} {key}", list.name());
    for (field, value) in item {
        note(seen, &what, field, value);
    }
}

fn note(seen: &mut Seen, what: &str, field: &str, value: &Value) {
    let restless = RESTLESS.contains(&field) || RESTLESS_ENDS.iter().any(|e| field.ends_with(e));
    if !restless {
        seen.insert(format!("{what} {field}"), cell(value));
    }
}

fn differences(before: &Seen, after: &Seen) -> Vec<Difference> {
    let mut all = Vec::new();
    for (what, old) in before {
        let new = after.get(what);
        if new != Some(old) {
            all.push(Difference { what: what.clone(), old: Some(old.clone()), new: new.cloned() });
        }
    }
    for (what, new) in after.iter().filter(|(what, _)| !before.contains_key(*what)) {
        all.push(Difference { what: what.clone(), old: None, new: Some(new.clone()) });
    }
    all.sort_by(|a, b| a.what.cmp(&b.what));
    all
}

fn write(shell: &mut Shell<'_>, options: &Options, all: &[Difference]) -> Result<(), Failure> {
    for Difference { what, old, new } in all {
        match options.format {
            Format::Json => {
                let at = unix_seconds();
                writeln!(
                    shell.out,
                    "{}",
                    json!({ "at": at, "what": what, "old": old, "new": new })
                )?;
            }
            Format::Table => {
                let text = |side: &Option<String>| side.clone().unwrap_or("-".to_owned());
                writeln!(shell.out, "{what}: {} -> {}", text(old), text(new))?;
            }
        }
    }
    shell.out.flush()?;
    Ok(())
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
