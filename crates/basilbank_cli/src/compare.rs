//! `diff`

use basilbank_config::{Finding, check_catalogue, diff};
use serde_json::{Value, json};

use crate::{
    admin::Admin,
    args::{Format, Options},
    check::{documents, status, to_json, write_findings},
    failure::{Failure, Status},
    shell::Shell,
    show::write_json,
    table::{Flat, cell},
};

/// Compares two catalogues that files hold.
pub fn files(
    shell: &mut Shell<'_>,
    options: &Options,
    old: &[String],
    new: &[String],
) -> Result<Status, Failure> {
    let old = check_catalogue(0, &documents(old)?);
    let new = check_catalogue(0, &documents(new)?);
    let findings: Vec<Finding> = [old.findings.items, new.findings.items].concat();
    let changes: Vec<String> = match (&old.catalogue, &new.catalogue) {
        (Some(old), Some(new)) => diff(old, new).iter().map(ToString::to_string).collect(),
        _ => Vec::new(),
    };
    match options.format {
        Format::Json => {
            let answer = json!({ "findings": to_json(&findings), "changes": changes });
            write_json(shell, &answer)?;
        }
        Format::Table => {
            write_findings(shell, &findings)?;
            if status(&findings) == Status::Ok {
                write_changes(shell, &changes)?;
            }
        }
    }
    Ok(status(&findings))
}

/// Has a daemon compare a catalogue with the one that it has in force.
pub fn dry_run(
    shell: &mut Shell<'_>,
    options: &Options,
    names: &[String],
) -> Result<Status, Failure> {
    let document = |d: &basilbank_config::Document| json!({ "key": d.key, "text": d.text });
    let documents: Vec<Value> = documents(names)?.iter().map(document).collect();
    let answer = Admin::new(options)?.post("check", &json!({ "documents": documents }))?;
    let (findings, changes) = read_answer(&answer)?;
    let errors = findings.iter().any(|f| f.get("severity").is_none_or(|s| s != "warning"));
    match options.format {
        Format::Json => write_json(shell, &answer)?,
        Format::Table => {
            for finding in &findings {
                writeln!(shell.out, "{}", line(finding))?;
            }
            if !errors {
                write_changes(shell, &changes)?;
            }
        }
    }
    Ok(if errors { Status::Found } else { Status::Ok })
}

fn write_changes(shell: &mut Shell<'_>, changes: &[String]) -> Result<(), Failure> {
    for change in changes {
        writeln!(shell.out, "{change}")?;
    }
    writeln!(shell.out, "{} changes", changes.len())?;
    Ok(())
}

fn read_answer(answer: &Value) -> Result<(Vec<Flat>, Vec<String>), Failure> {
    let wrong = || Failure::Unreachable("the daemon's answer is not a dry run's".to_owned());
    let list = |name: &str| answer.get(name).and_then(Value::as_array).ok_or_else(wrong);
    let findings = list("findings")?.iter().map(|f| f.as_object().cloned());
    let findings: Option<Vec<Flat>> = findings.collect();
    Ok((findings.ok_or_else(wrong)?, list("changes")?.iter().map(cell).collect()))
}

/// A finding of the daemon's, written as `check` writes one.
fn line(finding: &Flat) -> String {
    let text = |name: &str| finding.get(name).map_or("-".to_owned(), cell);
    let place = format!("{}:{}:{}", text("file"), text("line"), text("column"));
    format!("{place}: {}: {}; {}", text("severity"), text("message"), text("help"))
}
