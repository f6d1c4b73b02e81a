use super::NameTable;
use crate::report::{Position, Report, Source};

/// Symptom: calls for one entry run at another's endpoint. Sequence: two names with the same 64-bit
/// hash come into one catalogue. Cause: things are known by their hash alone. No two such names are
/// at hand, so the test gives two names the same hash.
#[test]
fn names_with_the_same_hash_are_reported() {
    let mut report = Report::new(vec![Source { name: "c", text: "ab\ncd" }]);
    let mut names = NameTable::new("entry");
    names.add(7, "one", Position { file: 0, offset: 0 });
    names.add(7, "two", Position { file: 0, offset: 4 });
    names.add(8, "three", Position { file: 0, offset: 1 });
    names.sort_and_check_unique(&mut report);
    let findings = report.finish().to_string();
    assert_eq!(
        findings,
        "c:2:2: error: the entry names \"one\" and \"two\" have the same hash (the other is at c:1:1); \
         rename one of them"
    );
}
