//! Measures parsing, comparing and rejecting a catalogue of 10,000 teams with one entry each and
//! 840 endpoints, split into several documents. Prints one `name=value` line for each figure.
//!
//! `cargo run --release -p basilbank_config --example parse_10k`

use std::{
    fmt::Write as _,
    io::{self, Write as _},
    time::{Duration, Instant},
};

use basilbank_config::{Document, diff, key_hash, parse_catalogue};

const TEAMS: usize = 10_000;
const TEAMS_PER_DOCUMENT: usize = 2_000;
const MODELS: usize = 5;
const ENDPOINTS: usize = 840;
const ROUNDS: usize = 5;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let documents = catalogue_documents()?;
    let bytes: usize = documents.iter().filter_map(|d| d.text.as_ref()).map(String::len).sum();
    let largest = documents.iter().filter_map(|d| d.text.as_ref()).map(String::len).max();
    let peak_before = peak_memory_kb();
    drop(parse_catalogue(1, &documents)?);
    let peak_kb = peak_memory_kb() - peak_before;
    let (parse_time, catalogue) = median_time(|| parse_catalogue(1, &documents));
    let catalogue = catalogue?;
    let mut changed = catalogue.clone();
    for entry in &mut changed.entries {
        entry.limits.requests += 1.0;
    }
    let (diff_time, changes) = median_time(|| diff(&catalogue, &changed));
    let invalid = with_unknown_class(&documents);
    let (reject_time, findings) =
        median_time(|| parse_catalogue(1, &invalid).err().map_or(0, |f| f.len()));
    let mut out = io::stdout().lock();
    writeln!(out, "documents={}", documents.len())?;
    writeln!(out, "bytes={bytes}")?;
    writeln!(out, "largest_document_bytes={}", largest.unwrap_or(0))?;
    writeln!(out, "teams={}", catalogue.teams.len())?;
    writeln!(out, "entries={}", catalogue.entries.len())?;
    writeln!(out, "endpoints={}", catalogue.endpoints.len())?;
    writeln!(out, "parse_ms={:.1}", as_millis(parse_time))?;
    writeln!(out, "parse_peak_kb={peak_kb}")?;
    writeln!(out, "changes={}", changes.len())?;
    writeln!(out, "diff_ms={:.1}", as_millis(diff_time))?;
    writeln!(out, "findings={findings}")?;
    writeln!(out, "reject_ms={:.1}", as_millis(reject_time))?;
    Ok(())
}

/// Returns the peak resident memory of the process in kilobytes, or 0 if the system doesn't report
/// it.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn as_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns the median time of `ROUNDS` runs, and the result of the last run.
fn median_time<T>(mut run: impl FnMut() -> T) -> (Duration, T) {
    let mut times = Vec::new();
    let mut round = || {
        let start = Instant::now();
        let result = run();
        times.push(start.elapsed());
        result
    };
    for _ in 1..ROUNDS {
        round();
    }
    let result = round();
    times.sort();
    (times[ROUNDS / 2], result)
}

/// Returns the documents with every entry referring to a class that doesn't exist.
fn with_unknown_class(documents: &[Document]) -> Vec<Document> {
    let misspell_class =
        |text: &String| text.replace("\"class\": \"draft\"", "\"class\": \"drafd\"");
    let document =
        |d: &Document| Document { text: d.text.as_ref().map(misspell_class), ..d.clone() };
    documents.iter().map(document).collect()
}

fn document(key: &str, text: String) -> Document {
    Document { key: key.to_owned(), text: Some(text), revision: 1 }
}

fn catalogue_documents() -> Result<Vec<Document>, std::fmt::Error> {
    let mut all = vec![document("catalogue/models", models_text()?)];
    all.push(document("catalogue/endpoints", endpoints_text()?));
    for shard in 0..TEAMS / TEAMS_PER_DOCUMENT {
        let (key, text) = (format!("catalogue/teams-{shard}"), teams_text(shard)?);
        all.push(document(&key, text));
    }
    Ok(all)
}

fn models_text() -> Result<String, std::fmt::Error> {
    let mut text = String::from(
        "{ \"classes\": [{ \"name\": \"draft\", \"ttft_ms\": 340, \"tbt_ms\": 44, \"wait_ms\": 2000 }],\n\"models\": [",
    );
    for model in 0..MODELS {
        writeln!(
            text,
            "  {{ \"name\": \"model-{model}\", \"version\": \"v1\", \"weight_bytes\": 16e9, \"kv_bytes_per_token\": 131072 }},"
        )?;
    }
    text.push_str("] }");
    Ok(text)
}

fn endpoints_text() -> Result<String, std::fmt::Error> {
    let mut text = String::from("{ \"endpoints\": [\n");
    for i in 0..ENDPOINTS {
        let (role, slots) = if i % 3 == 0 { ("prefill", 2) } else { ("decode", 20) };
        writeln!(
            text,
            "  {{ \"name\": \"runner-{i}\", \"address\": \"10.{}.{}.1:8000\", \"data_centre\": \"dc-{}\", \"role\": \"{role}\", \
             \"model\": \"model-{}\", \"slots\": {slots}, \"prefill_tokens_per_s\": 8000, \"link_bytes_per_s\": 1.25e9, \
             \"fencing\": true, \"orders\": true }},",
            i / 200,
            i % 200,
            i % 5,
            i / 3 % MODELS
        )?;
    }
    text.push_str("] }");
    Ok(text)
}

fn teams_text(shard: usize) -> Result<String, std::fmt::Error> {
    let range = shard * TEAMS_PER_DOCUMENT..(shard + 1) * TEAMS_PER_DOCUMENT;
    let mut text = String::from("{ \"teams\": [\n");
    for i in range.clone() {
        let hash = key_hash(&format!("key of account {i}"));
        let digits = hash.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
        writeln!(text, "  {{ \"name\": \"account-{i}\", \"keys\": [\"{digits}\"] }},")?;
    }
    text.push_str("], \"entries\": [\n");
    for i in range {
        writeln!(
            text,
            "  {{ \"name\": \"account-{i}-draft\", \"owner\": \"account-{i}\", \"class\": \"draft\", \"model\": \"model-{}\", \
             \"limits\": {{ \"requests_per_s\": 20, \"tokens_per_s\": 40000, \"concurrent\": 50, \"owed\": 0.0004 }} }},",
            i % MODELS
        )?;
    }
    text.push_str("] }");
    Ok(text)
}
