//! The known word that a misspelt one was probably meant to be.

/// Most edits between a misspelt word and the one suggested.
const MAX_EDITS: usize = 3;

/// Least characters of a known name's start that stand for the whole.
const MIN_START: usize = 3;

/// Longest word that is compared: a longer one costs time and is hardly a misspelling.
const MAX_LEN: usize = 64;

/// The known word that is nearest to `word`, if one is near enough.
pub(crate) fn nearest<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let allowed = MAX_EDITS.min(word.len().div_ceil(2));
    let near = known.filter_map(|k| distance(word, k).map(|n| (n, k)));
    let (edits, best) = near.min()?;
    (edits <= allowed).then_some(best)
}

/// Edits from a word to a known one. A known name's start, mostly one without its unit, is one off.
fn distance(word: &str, known: &str) -> Option<usize> {
    if MIN_START <= word.len() && known.starts_with(word) && known != word {
        return Some(1);
    }
    edits(word, known)
}

/// Edits (insert, delete, replace, swap neighbours) from `a` to `b`; `None` when there are
/// certainly too many.
fn edits(a: &str, b: &str) -> Option<usize> {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    if MAX_LEN < a.len() || MAX_LEN < b.len() || MAX_EDITS < a.len().abs_diff(b.len()) {
        return None;
    }
    let mut before: Vec<usize> = Vec::new();
    let mut above: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut row = vec![i + 1];
        for j in 0..b.len() {
            let replaced = above[j] + usize::from(a[i] != b[j]);
            let mut best = replaced.min(above[j + 1] + 1).min(row[j] + 1);
            if 0 < i && 0 < j && a[i] == b[j - 1] && a[i - 1] == b[j] {
                best = best.min(before[j - 1] + 1);
            }
            row.push(best);
        }
        before = above;
        above = row;
    }
    above.last().copied()
}
