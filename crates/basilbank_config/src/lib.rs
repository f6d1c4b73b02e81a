//! Parses and validates the daemon's settings and the operators' catalogue, which are JSON with
//! comments. All findings of a check are reported together, each with its file, line and column.
//!
//! ```
//! use basilbank_config::{Document, parse_catalogue};
//!
//! let text = r#"{ "teams": [{ "nam": "fitters" }] }"#.to_owned();
//! let document = Document { key: "catalogue/teams".to_owned(), text: Some(text), revision: 1 };
//! let findings = parse_catalogue(1, &[document]).unwrap_err();
//! assert!(findings.to_string().contains("did you mean \"name\"?"));
//! ```

mod catalogue;
mod diff;
mod document;
mod fields;
mod finding;
mod key;
mod names;
mod report;
mod schema;
mod settings;
mod suggestion;
mod syntax;

pub use basilbank_wire::Document;

pub use catalogue::{
    CATALOGUE, CheckedCatalogue, MAX_DOCUMENT_BYTES, check_catalogue, parse_catalogue,
};
pub use diff::{Action, Change, Consequence, ItemKind, diff};
pub use document::TextKind;
pub use finding::{Finding, Findings, Severity};
pub use key::key_hash;
pub use schema::{Field, FieldType, ObjectSchema, Presence};
pub use settings::{ApiLimits, CONNECTION_BYTES, LogSettings, SETTINGS, Settings};
