//! Suggests a known word for a misspelt one.

/// Maximum number of edits between a misspelt word and the suggested one.
const MAX_EDITS: usize = 3;

/// Minimum length in bytes of a word that is treated as an abbreviation of a known word.
const MIN_PREFIX_LEN: usize = 3;

/// Maximum length in bytes of words that are compared. Longer words take time and are unlikely to
/// be misspellings.
const MAX_WORD_LEN: usize = 64;

/// Returns the known word that is closest to `word`, or `None` if none is close enough.
pub(crate) fn closest_match<'a>(
    word: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let max_edits = MAX_EDITS.min(word.len().div_ceil(2));
    let candidates = known.filter_map(|k| distance(word, k).map(|n| (n, k)));
    let (edits, best) = candidates.min()?;
    (edits <= max_edits).then_some(best)
}

/// Returns the number of edits from a word to a known one, or `None` if there are too many. A
/// prefix of the known word counts as one edit: usually it is a field name without its unit.
fn distance(word: &str, known: &str) -> Option<usize> {
    if MIN_PREFIX_LEN <= word.len() && known.starts_with(word) && known != word {
        return Some(1);
    }
    edit_distance(word, known)
}

/// Returns the number of edits (insertions, deletions, substitutions and swaps of neighbours) from
/// `a` to `b`. Returns `None` without computing it if a word is too long or the lengths differ too
/// much.
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
