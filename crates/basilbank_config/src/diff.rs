//! What a new catalogue changes, by name and field, and what follows from it.
//!
//! ```
//! use basilbank_config::diff;
//! use basilbank_core::catalogue::Catalogue;
//!
//! let old = Catalogue::default();
//! let new = Catalogue { weight_rate: 2_000_000_000, ..Catalogue::default() };
//! let changes = diff(&old, &new);
//! assert_eq!(changes[0].to_string(), "~ weight store: bytes_per_s not limited -> 2000000000");
//! ```

mod change;
mod describe;
mod follow;

use std::cmp::Ordering;

use basilbank_core::catalogue::Catalogue;

pub use self::change::{Change, Consequence, Item, Step};
use self::{
    describe::{Described, Lookup},
    follow::Follow,
};

/// All changes from one catalogue to another, by kind, name and field. Revisions aren't compared.
#[must_use]
pub fn diff(old: &Catalogue, new: &Catalogue) -> Vec<Change> {
    let lookup = Lookup::new(old, new);
    let mut changes = Vec::new();
    compare(&lookup, &old.teams, &new.teams, &mut changes);
    compare(&lookup, &old.classes, &new.classes, &mut changes);
    compare(&lookup, &old.models, &new.models, &mut changes);
    compare(&lookup, &old.services, &new.services, &mut changes);
    compare(&lookup, &old.entries, &new.entries, &mut changes);
    compare(&lookup, &old.endpoints, &new.endpoints, &mut changes);
    compare_weight_store(old.weight_rate, new.weight_rate, &mut changes);
    changes
}

/// Walks two lists that are sorted by name side by side.
fn compare<T: Described + Follow>(
    lookup: &Lookup<'_>,
    mut old: &[T],
    mut new: &[T],
    changes: &mut Vec<Change>,
) {
    loop {
        let order = match (old.first(), new.first()) {
            (None, None) => return,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => a.name().cmp(b.name()),
        };
        match order {
            Ordering::Less => {
                let consequence = old[0].removed(lookup);
                changes.push(Change::new(T::ITEM, old[0].name(), Step::Removed, consequence));
                old = &old[1..];
            }
            Ordering::Greater => {
                let consequence = new[0].added(lookup);
                changes.push(Change::new(T::ITEM, new[0].name(), Step::Added, consequence));
                new = &new[1..];
            }
            Ordering::Equal => {
                if old[0] != new[0] {
                    compare_fields(lookup, &old[0], &new[0], changes);
                }
                (old, new) = (&old[1..], &new[1..]);
            }
        }
    }
}

fn compare_fields<T: Described + Follow>(
    lookup: &Lookup<'_>,
    old: &T,
    new: &T,
    changes: &mut Vec<Change>,
) {
    let fields = old.fields(lookup).into_iter().zip(new.fields(lookup));
    for ((field, before), (_, after)) in fields {
        if before == after {
            continue;
        }
        let consequence = new.changed(old, field, lookup);
        let step = Step::Changed { field, old: before, new: after };
        changes.push(Change::new(T::ITEM, new.name(), step, consequence));
    }
}

fn compare_weight_store(old: u64, new: u64, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (old, new) = (describe::limit(old as f64), describe::limit(new as f64));
    let step = Step::Changed { field: "bytes_per_s", old, new };
    changes.push(Change::new(Item::WeightStore, "", step, None));
}
