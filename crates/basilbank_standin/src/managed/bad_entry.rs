//! Entries of other writers, that name no endpoint to use.

use serde_json::{Value, json};

use super::store::ManagedStore;

/// What is wrong with an entry under an endpoint's prefix.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BadEntry {
    /// Its bytes are these.
    Bytes(&'static [u8]),
    /// Its value in the store's answer is this JSON, which encodes no bytes.
    Answer(&'static str),
    /// A good one without a field.
    Without(&'static str),
    /// A good one with another JSON in a field.
    With(&'static str, &'static str),
    /// A good one with this text in a field, which need not be a JSON that this process can hold.
    Text(&'static str, &'static str),
    /// A good one with lists in a field, one within the other.
    Nested(&'static str),
}

use BadEntry::{Answer, Bytes, Nested, Text, With, Without};

/// Levels at which a parser that calls itself has no stack left.
const LEVELS: usize = 100_000;

impl BadEntry {
    /// Bytes that can't be read.
    pub const UNREADABLE: [BadEntry; 6] = [
        Bytes(b""),
        Bytes(b"\xff\xfe\x00\x80"),
        Bytes(b"{\"service\":"),
        Bytes(b"[]"),
        Bytes(b"null"),
        Bytes(b"7"),
    ];

    /// Values that encode no bytes.
    pub const BYTELESS: [BadEntry; 6] = [
        Answer("7"),
        Answer("true"),
        Answer("null"),
        Answer("[\"a\"]"),
        Answer("{\"a\":1}"),
        Answer("\"%%%\""),
    ];

    /// A field that every endpoint writes is missing.
    pub const MISSING: [BadEntry; 8] = [
        Without("service"),
        Without("addr"),
        Without("zone"),
        Without("version"),
        Without("slots"),
        Without("state"),
        Without("coldLeftMs"),
        Without("seq"),
    ];

    /// A field has another type.
    pub const MISTYPED: [BadEntry; 15] = [
        With("service", "7"),
        With("addr", "7"),
        With("addr", "\"nowhere\""),
        With("zone", "7"),
        With("version", "[]"),
        With("slots", "\"many\""),
        With("slots", "-1"),
        With("state", "true"),
        With("state", "null"),
        With("coldLeftMs", "\"soon\""),
        With("seq", "{}"),
        With("stage", "7"),
        With("born", "\"today\""),
        With("born", "1.5"),
        With("born", "-1"),
    ];

    /// A state that the platform has not, or a service that no route names.
    pub const UNNAMED: [BadEntry; 4] = [
        With("state", "\"resting\""),
        With("state", "\"\""),
        With("state", "\"READY\""),
        With("service", "\"harbour\""),
    ];

    /// Values that no endpoint writes: nested very deeply, too large or out of range.
    pub const ABSURD: [BadEntry; 18] = [
        Bytes(&[b'['; LEVELS]),
        Nested("service"),
        Nested("addr"),
        Nested("slots"),
        Nested("born"),
        Text("slots", "1e400"),
        Text("slots", "99999999999999999999999999"),
        Text("slots", "0"),
        Text("seq", "1e400"),
        Text("coldLeftMs", "1e400"),
        Text("addr", "\"127.0.0.1:70000\""),
        Text("addr", "\"127.0.0.1:0\""),
        Text("addr", "\"127.0.0.1:-1\""),
        Text("service", "\"\\ud800\""),
        Text("service", "\"\""),
        Text("born", "1e400"),
        Text("born", "99999999999999999999999999"),
        Text("born", "18446744073709551615"),
    ];

    /// All but the absurd ones, by kind.
    pub const KINDS: [&[BadEntry]; 5] = [
        &BadEntry::UNREADABLE,
        &BadEntry::BYTELESS,
        &BadEntry::MISSING,
        &BadEntry::MISTYPED,
        &BadEntry::UNNAMED,
    ];

    /// Writes it. A good entry is what it would be without the fault.
    pub fn put(self, store: &ManagedStore, key: &str, mut good: Value) {
        match self {
            Bytes(bytes) => return store.put_raw(key, bytes),
            Answer(text) => return store.put_answer(key, json(text)),
            Without(field) => drop(good.as_object_mut().and_then(|entry| entry.remove(field))),
            With(field, text) => good[field] = json(text),
            Text(field, text) => {
                return store.put_raw(key, with_text(good, field, text).as_bytes());
            }
            Nested(field) => {
                let text = "[".repeat(LEVELS) + &"]".repeat(LEVELS);
                return store.put_raw(key, with_text(good, field, &text).as_bytes());
            }
        }
        store.put(key, &good);
    }
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}

/// Returns the text of an entry with this text in a field.
fn with_text(mut entry: Value, field: &str, text: &str) -> String {
    const PLACE: &str = "its place";
    entry[field] = json!(PLACE);
    entry.to_string().replace(&json!(PLACE).to_string(), text)
}
