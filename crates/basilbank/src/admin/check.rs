//! The dry run: what a proposed catalogue's check finds, and what it would change.

use std::io::Read;

use basilbank_config::{Document, Finding, check_catalogue, diff};
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::{admin::access::problem, names::Names};

/// Longest proposal in bytes.
const PROPOSAL: u64 = 64 << 20;

/// A proposed catalogue: all its documents.
#[derive(Deserialize, Debug)]
struct Proposal {
    documents: Vec<ProposedDocument>,
}

/// One document.
#[derive(Deserialize, Debug)]
struct ProposedDocument {
    key: String,
    text: String,
}

/// What would happen.
#[derive(Serialize, Debug)]
struct Verdict {
    accepted: bool,
    findings: Vec<FindingRow>,
    changes: Vec<String>,
}

/// One finding.
#[derive(Serialize, Debug)]
struct FindingRow {
    file: String,
    line: usize,
    column: usize,
    severity: &'static str,
    message: String,
    help: String,
}

/// Checks a proposal against the catalogue in force.
pub fn answer(request: &Request, names: &Names) -> Response {
    let Some(proposal) = read(request) else {
        return problem(400, "the body must be {\"documents\": [{\"key\": …, \"text\": …}]}");
    };
    let documents: Vec<Document> = proposal.documents.into_iter().map(Into::into).collect();
    let checked = check_catalogue(names.catalogue().revision + 1, &documents);
    let changes = checked.catalogue.as_ref().map(|new| diff(names.catalogue(), new));
    Response::json(&Verdict {
        accepted: checked.catalogue.is_some(),
        findings: checked.findings.items.into_iter().map(Into::into).collect(),
        changes: changes.unwrap_or_default().iter().map(ToString::to_string).collect(),
    })
}

fn read(request: &Request) -> Option<Proposal> {
    let mut text = Vec::new();
    request.data()?.take(PROPOSAL).read_to_end(&mut text).ok()?;
    serde_json::from_slice(&text).ok()
}

impl From<ProposedDocument> for Document {
    fn from(document: ProposedDocument) -> Document {
        Document { key: document.key, text: Some(document.text), revision: 0 }
    }
}

impl From<Finding> for FindingRow {
    fn from(finding: Finding) -> FindingRow {
        FindingRow {
            file: finding.file,
            line: finding.line,
            column: finding.column,
            severity: finding.severity.as_str(),
            message: finding.message,
            help: finding.help,
        }
    }
}
