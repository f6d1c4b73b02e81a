//! The known word that a misspelt one was probably meant to be.

/// Most edits between a misspelt word and the one suggested.
const MAX_EDITS: usize = 3;

/// Least characters of a known name's start that stand for the whole.
const MIN_PREFIX_LEN: usize = 3;

/// Longest word that is compared: a longer one costs time and is hardly a misspelling.
const MAX_WORD_LEN: usize = 64;

/// The known word that is nearest to `word`, if one is near enough.
pub(crate) fn closest_match<'a>(
    word: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let max_edits = MAX_EDITS.min(word.len().div_ceil(2));
    let candidates = known.filter_map(|k| distance(word, k).map(|n| (n, k)));
    let (edits, best) = candidates.min()?;
    (edits <= max_edits).then_some(best)
}

/// Edits from a word to a known one. A known name's start, mostly one without its unit, is one off.
fn distance(word: &str, known: &str) -> Option<usize> {
    if MIN_PREFIX_LEN <= word.len() && known.starts_with(word) && known != word {
        return Some(1);
    }
    edit_distance(word, known)
}

/// Edits (insert, delete, replace, swap neighbours) from `a` to `b`; `None` when there are
/// certainly too many.
fn edit_distance(a: &str, b: &str) -> Option<usize> {
    let (a, b) = (a.as_bytes(), b.as_bytes());
    if MAX_WORD_LEN < a.len() || MAX_WORD_LEN < b.len() || MAX_EDITS < a.len().abs_diff(b.len()) {
        return None;
    }
    let mut two_rows_above: Vec<usize> = Vec::new();
    let mut row_above: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut row = vec![i + 1];
        for j in 0..b.len() {
            let replacement = row_above[j] + usize::from(a[i] != b[j]);
            let mut best = replacement.min(row_above[j + 1] + 1).min(row[j] + 1);
            if 0 < i && 0 < j && a[i] == b[j - 1] && a[i - 1] == b[j] {
                best = best.min(two_rows_above[j - 1] + 1);
            }
            row.push(best);
        }
        two_rows_above = row_above;
        row_above = row;
    }
    row_above.last().copied()
}
