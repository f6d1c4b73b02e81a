//! Memory: of the parts that grow with the fleet or the catalogue, by the resident size of this
//! process over many copies, and by the sizes of the structures.

use std::{fs, mem::size_of, sync::Arc};

use basilbank_core::{
    prelude::*,
    state::{DocumentStore, Holder, Member, SharedLimit, Usage, View},
};
use basilbank_wire::Document;

use crate::{
    fleet::{LARGEST, SETTLED, spec},
    world::{Spec, TeamSpec, World},
};

/// Bytes of a page.
const PAGE: u64 = 4096;
/// Client accounts.
const ACCOUNTS: usize = 10_000;
/// Accounts in one document.
const SHARD: usize = 100;
/// Bytes of one account's text in the catalogue.
const ACCOUNT_TEXT: usize = 400;
/// Copies that are measured together.
const COPIES: u64 = 10;

/// Prints all figures.
pub fn run() {
    println!("state.320.rss_bytes_per_daemon={}", fleet());
    println!("state.member_bytes={}", size_of::<Member>());
    println!("state.limit_used_bytes={}", size_of::<Usage>());
    println!("state.limit_shared_bytes={}", size_of::<SharedLimit>());
    println!("state.limit_holder_bytes={}", size_of::<Holder>());
    let catalogue = Arc::new(accounts().catalogue());
    let view = grown(COPIES, || View::new(Arc::clone(&catalogue)));
    println!("state.rss_bytes_of_view_of_10000_accounts={view}");
    println!(
        "state.rss_bytes_of_catalogue_of_10000_accounts={}",
        grown(COPIES, || accounts().catalogue())
    );
    let store = grown(COPIES, documents);
    println!("state.rss_bytes_of_documents_of_10000_accounts={store}");
}

fn fleet() -> u64 {
    let before = resident();
    let mut world = World::new(spec(LARGEST));
    world.run_until(SETTLED);
    let grown = resident().saturating_sub(before);
    std::mem::forget(world);
    grown / LARGEST as u64
}

/// Resident bytes that one thing takes, measured over several.
fn grown<T>(copies: u64, make: impl Fn() -> T) -> u64 {
    let before = resident();
    let all: Vec<_> = (0..copies).map(|_| make()).collect();
    let after = resident();
    // Memory that is given back would be used again by the next part, which would then look small.
    std::mem::forget(all);
    after.saturating_sub(before) / copies
}

/// Resident bytes of this process; 0 where the system does not tell.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

fn accounts() -> Spec {
    let team = |i: usize| {
        let limits = Limits { requests: 20.0, ..Limits::default() };
        let name = Box::leak(format!("team-{i}").into_boxed_str());
        TeamSpec { name, drafts: limits, calls: limits }
    };
    Spec { teams: (0..ACCOUNTS).map(team).collect(), ..spec(LARGEST) }
}

fn documents() -> DocumentStore {
    let document = |i: usize| Document {
        key: format!("catalogue/accounts-{i}"),
        text: Some("x".repeat(SHARD * ACCOUNT_TEXT)),
        revision: 1,
    };
    let mut store = DocumentStore::default();
    store.apply(0, 1, (0..ACCOUNTS / SHARD).map(document).collect());
    store
}
