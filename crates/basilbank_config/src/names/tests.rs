use super::NameTable;
use crate::report::{Position, Report, Source};

/// If two names in a catalogue have the same 64-bit hash, calls for one entry run at the endpoint
/// of the other, because daemons identify items by the hash alone. No pair of colliding names is
/// known, so the test passes the same hash for two names.
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
