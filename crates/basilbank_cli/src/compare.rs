//! The command `diff`: compares catalogues.

use basilbank_config::{Finding, check_catalogue, diff};
use serde_json::{Value, json};

use crate::{
    admin::AdminClient,
    args::{Format, Options},
    check::{exit_status, findings_to_json, read_documents, write_findings},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    show::write_json,
    table::{JsonObject, format_cell},
};

/// Compares two catalogues that are read from files.
pub fn compare_files(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    old: &[String],
    new: &[String],
) -> Result<ExitStatus, Failure> {
    let old = check_catalogue(0, &read_documents(old)?);
    let new = check_catalogue(0, &read_documents(new)?);
    let findings: Vec<Finding> = [old.findings.items, new.findings.items].concat();
    let changes: Vec<String> = match (&old.catalogue, &new.catalogue) {
        (Some(old), Some(new)) => diff(old, new).iter().map(ToString::to_string).collect(),
        _ => Vec::new(),
    };
    match options.format {
        Format::Json => {
            let answer = json!({ "findings": findings_to_json(&findings), "changes": changes });
            write_json(ctx, &answer)?;
        }
        Format::Table => {
            write_findings(ctx, &findings)?;
            if exit_status(&findings) == ExitStatus::Ok {
                write_changes(ctx, &changes)?;
            }
        }
    }
    Ok(exit_status(&findings))
}

/// Has a daemon compare a catalogue with the one it has in force. Changes nothing there.
pub fn dry_run(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    files: &[String],
) -> Result<ExitStatus, Failure> {
    let to_json = |d: &basilbank_config::Document| json!({ "key": d.key, "text": d.text });
    let documents: Vec<Value> = read_documents(files)?.iter().map(to_json).collect();
    let answer = AdminClient::new(options)?.post("check", &json!({ "documents": documents }))?;
    let (findings, changes) = parse_dry_run(&answer)?;
    let has_errors = findings.iter().any(|f| f.get("severity").is_none_or(|s| s != "warning"));
    match options.format {
        Format::Json => write_json(ctx, &answer)?,
        Format::Table => {
            for finding in &findings {
                writeln!(ctx.out, "{}", format_finding(finding))?;
            }
            if !has_errors {
                write_changes(ctx, &changes)?;
            }
        }
    }
    Ok(if has_errors { ExitStatus::InvalidOrNotFound } else { ExitStatus::Ok })
}

fn write_changes(ctx: &mut CommandContext<'_>, changes: &[String]) -> Result<(), Failure> {
    for change in changes {
        writeln!(ctx.out, "{change}")?;
    }
    writeln!(ctx.out, "{} changes", changes.len())?;
    Ok(())
}

fn parse_dry_run(answer: &Value) -> Result<(Vec<JsonObject>, Vec<String>), Failure> {
    let invalid_answer =
        || Failure::Unreachable("the daemon's answer is not a dry run's".to_owned());
    let list = |name: &str| answer.get(name).and_then(Value::as_array).ok_or_else(invalid_answer);
    let findings = list("findings")?.iter().map(|f| f.as_object().cloned());
    let findings: Option<Vec<JsonObject>> = findings.collect();
    Ok((findings.ok_or_else(invalid_answer)?, list("changes")?.iter().map(format_cell).collect()))
}

/// Formats a finding from the daemon's answer in the way `check` prints findings.
fn format_finding(finding: &JsonObject) -> String {
    let text = |name: &str| finding.get(name).map_or("-".to_owned(), format_cell);
    let position = format!("{}:{}:{}", text("file"), text("line"), text("column"));
    format!("{position}: {}: {}; {}", text("severity"), text("message"), text("help"))
}
