//! `check`

use basilbank_config::{Document, Finding, Settings, TextKind, check_catalogue};
use serde_json::{Value, json};

use crate::{
    args::{Format, Options, read_file},
    failure::{Failure, Status},
    shell::Shell,
    show::write_json,
};

/// A file and what it is.
struct File {
    name: String,
    text: String,
    kind: TextKind,
}

/// Checks files.
pub fn run(shell: &mut Shell<'_>, options: &Options, names: &[String]) -> Result<Status, Failure> {
    let files = names.iter().map(|name| open(name)).collect::<Result<Vec<_>, _>>()?;
    let findings = findings(&files);
    match options.format {
        Format::Json => {
            let kind = |f: &File| json!({ "file": f.name, "kind": f.kind.as_str() });
            let files: Vec<_> = files.iter().map(kind).collect();
            write_json(shell, &json!({ "files": files, "findings": to_json(&findings) }))?;
        }
        Format::Table => {
            write_findings(shell, &findings)?;
            for file in &files {
                let count = findings.iter().filter(|f| f.file == file.name).count();
                let (name, kind) = (&file.name, file.kind.as_str());
                writeln!(shell.out, "{name}: {kind}, {count} findings")?;
            }
        }
    }
    Ok(status(&findings))
}

/// The documents of a catalogue that files hold.
pub fn documents(names: &[String]) -> Result<Vec<Document>, Failure> {
    let read = |name: &String| {
        Ok(Document { key: name.clone(), text: Some(read_file(name)?), revision: 0 })
    };
    names.iter().map(read).collect()
}

/// Prints findings, one a line.
pub fn write_findings(shell: &mut Shell<'_>, findings: &[Finding]) -> Result<(), Failure> {
    for finding in findings {
        writeln!(shell.out, "{finding}")?;
    }
    Ok(())
}

/// Findings as the admin API gives them.
pub fn to_json(findings: &[Finding]) -> Value {
    let object = |f: &Finding| {
        json!({
            "file": f.file,
            "line": f.line,
            "column": f.column,
            "severity": f.severity.as_str(),
            "message": f.message,
            "help": f.help,
        })
    };
    findings.iter().map(object).collect()
}

/// The status that findings come to: warnings alone are well.
pub fn status(findings: &[Finding]) -> Status {
    let errors = findings.iter().any(|f| f.severity == basilbank_config::Severity::Error);
    if errors { Status::Found } else { Status::Ok }
}

fn open(name: &str) -> Result<File, Failure> {
    let text = read_file(name)?;
    let kind = TextKind::detect(&text);
    Ok(File { name: name.to_owned(), text, kind })
}

/// Each settings file is checked by itself, all documents of the catalogue are checked together.
fn findings(files: &[File]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut documents = Vec::new();
    for File { name, text, kind } in files {
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
