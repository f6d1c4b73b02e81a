//! Compares two catalogues and lists the changes by name and field, with their consequences.
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
mod consequences;
mod describe;

use std::cmp::Ordering;

use basilbank_core::catalogue::Catalogue;

pub use self::change::{Action, Change, Consequence, ItemKind};
use self::{
    consequences::ChangeConsequences,
    describe::{CatalogueItem, NameLookup},
};

/// Returns all changes from one catalogue to another, ordered by kind, name and field. Revisions
/// aren't compared.
#[must_use]
pub fn diff(old: &Catalogue, new: &Catalogue) -> Vec<Change> {
    let lookup = NameLookup::new(old, new);
    let mut changes = Vec::new();
    compare_lists(&lookup, &old.teams, &new.teams, &mut changes);
    compare_lists(&lookup, &old.classes, &new.classes, &mut changes);
    compare_lists(&lookup, &old.models, &new.models, &mut changes);
    compare_lists(&lookup, &old.services, &new.services, &mut changes);
    compare_lists(&lookup, &old.entries, &new.entries, &mut changes);
    compare_lists(&lookup, &old.endpoints, &new.endpoints, &mut changes);
    compare_weight_store(old.weight_rate, new.weight_rate, &mut changes);
    changes
}

/// Compares two lists of items, which must be sorted by name, and adds the changes.
fn compare_lists<T: CatalogueItem + ChangeConsequences>(
    lookup: &NameLookup<'_>,
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
                let consequence = old[0].when_removed(lookup);
                changes.push(Change::new(T::KIND, old[0].name(), Action::Removed, consequence));
                old = &old[1..];
            }
            Ordering::Greater => {
                let consequence = new[0].when_added(lookup);
                changes.push(Change::new(T::KIND, new[0].name(), Action::Added, consequence));
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

fn compare_fields<T: CatalogueItem + ChangeConsequences>(
    lookup: &NameLookup<'_>,
    old: &T,
    new: &T,
    changes: &mut Vec<Change>,
) {
    let fields = old.fields(lookup).into_iter().zip(new.fields(lookup));
    for ((field, before), (_, after)) in fields {
        if before == after {
            continue;
        }
        let consequence = new.when_changed(old, field, lookup);
        let action = Action::Changed { field, old: before, new: after };
        changes.push(Change::new(T::KIND, new.name(), action, consequence));
    }
}

fn compare_weight_store(old: u64, new: u64, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    let (old, new) = (describe::format_limit(old as f64), describe::format_limit(new as f64));
    let action = Action::Changed { field: "bytes_per_s", old, new };
    changes.push(Change::new(ItemKind::WeightStore, "", action, None));
}
