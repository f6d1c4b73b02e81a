//! The command `check`: checks settings and catalogue documents.

use basilbank_config::{Document, Finding, Settings, TextKind, check_catalogue};
use serde_json::{Value, json};

use crate::{
    args::{Format, Options, read_file},
    context::CommandContext,
    failure::{ExitStatus, Failure},
    show::write_json,
};

/// A file to check.
struct InputFile {
    name: String,
    text: String,
    kind: TextKind,
}

/// Checks files and prints the findings.
pub fn run(
    ctx: &mut CommandContext<'_>,
    options: &Options,
    names: &[String],
) -> Result<ExitStatus, Failure> {
    let files = names.iter().map(|name| read_input(name)).collect::<Result<Vec<_>, _>>()?;
    let findings = check_files(&files);
    match options.format {
        Format::Json => {
            let kind = |f: &InputFile| json!({ "file": f.name, "kind": f.kind.as_str() });
            let files: Vec<_> = files.iter().map(kind).collect();
            write_json(ctx, &json!({ "files": files, "findings": findings_to_json(&findings) }))?;
        }
        Format::Table => {
            write_findings(ctx, &findings)?;
            for file in &files {
                let count = findings.iter().filter(|f| f.file == file.name).count();
                let (name, kind) = (&file.name, file.kind.as_str());
                writeln!(ctx.out, "{name}: {kind}, {count} findings")?;
            }
        }
    }
    Ok(exit_status(&findings))
}

/// Reads the documents of a catalogue from files.
pub fn read_documents(names: &[String]) -> Result<Vec<Document>, Failure> {
    let read = |name: &String| {
        Ok(Document { key: name.clone(), text: Some(read_file(name)?), revision: 0 })
    };
    names.iter().map(read).collect()
}

/// Prints findings, one per line.
pub fn write_findings(ctx: &mut CommandContext<'_>, findings: &[Finding]) -> Result<(), Failure> {
    for finding in findings {
        writeln!(ctx.out, "{finding}")?;
    }
    Ok(())
}

/// Converts findings to the JSON format of the admin API.
pub fn findings_to_json(findings: &[Finding]) -> Value {
    let finding_to_json = |f: &Finding| {
        json!({
            "file": f.file,
            "line": f.line,
            "column": f.column,
            "severity": f.severity.as_str(),
            "message": f.message,
            "help": f.help,
        })
    };
    findings.iter().map(finding_to_json).collect()
}

/// Returns the exit status for findings. Warnings alone are a success.
pub fn exit_status(findings: &[Finding]) -> ExitStatus {
    let has_errors = findings.iter().any(|f| f.severity == basilbank_config::Severity::Error);
    if has_errors { ExitStatus::InvalidOrNotFound } else { ExitStatus::Ok }
}

fn read_input(name: &str) -> Result<InputFile, Failure> {
    let text = read_file(name)?;
    let kind = TextKind::detect(&text);
    Ok(InputFile { name: name.to_owned(), text, kind })
}

/// Checks each settings file by itself, and all catalogue documents together as one catalogue.
fn check_files(files: &[InputFile]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut documents = Vec::new();
    for InputFile { name, text, kind } in files {
        match kind {
            TextKind::Settings => {
                let parsed = Settings::parse(name, text);
                findings.extend(parsed.err().unwrap_or_default().items);
            }
            TextKind::Catalogue => {
                let text = Some(text.clone());
                documents.push(Document { key: name.clone(), text, revision: 0 });
            }
        }
    }
    findings.extend(check_catalogue(0, &documents).findings.items);
    findings
}
