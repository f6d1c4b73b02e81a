//! Plays the cases of the review: `review_lab CASE ROOT FOLDER`. Exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case couldn't run.

mod cases;
mod http;
mod runner;
mod store;
mod world;

use std::{env, fs, path::PathBuf};

use world::{Net, Record, Site, cannot_run};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let [case, root, folder] = &words[..] else { cannot_run("CASE ROOT FOLDER") };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let net = Net::free();
    let dir = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if fs::create_dir_all(&dir).is_err() {
        cannot_run("a temporary folder");
    }
    let record = Record::new(&PathBuf::from(folder).join("record.txt"));
    let root = PathBuf::from(root);
    let site = Site { net, record, root, dir: dir.clone(), store: net.at(1, 8080) };
    site.record.note(&format!("case {case}, trouble {trouble}"));
    let faults = match case.as_str() {
        "holders" => cases::holders::play(&site, trouble),
        "framing" => cases::framing::play(&site, trouble),
        "parts" => cases::parts::play(&site, trouble),
        "rejoined" => cases::rejoined::play(&site, trouble),
        "versions" => cases::versions::play(&site, trouble),
        _ => cannot_run("no such case"),
    };
    for fault in &faults {
        site.record.note(&format!("BROKEN {fault}"));
        println!("broken: {fault}");
    }
    site.record.note(&format!("{} faults", faults.len()));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(dir);
    }
    println!("{} faults", faults.len());
    std::process::exit(i32::from(!faults.is_empty()));
}
