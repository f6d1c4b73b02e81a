//! Fleets of which some daemons can't reach endpoints.

use std::time::Duration;

use test_case::test_case;

use crate::fleet::cut_off::{Cut, Play};

/// Connections over a cut path are refused at once.
const REFUSED: Duration = Duration::from_millis(2);

fn large(cut: usize) -> Cut {
    Cut { endpoints: 24, unreached: 24, calls: 300.0, ..Cut::new(71, cut) }
}

/// Guards against callers at daemons that are cut off who are served less often than others.
#[test_case(&Cut::new(8, 4); "half of a small fleet")]
#[test_case(&Cut::new(8, 7); "all but one")]
#[test_case(&Cut { fails_after: REFUSED, ..Cut::new(8, 5) }; "refused")]
#[test_case(&Cut { unreached: 3, ..Cut::new(8, 6) }; "from most endpoints")]
#[test_case(&Cut { loss: 0.1, ..Cut::new(8, 4) }; "lost datagrams")]
#[test_case(&Cut { trouble: true, ..Cut::new(8, 4) }; "restarts and lost peers")]
#[test_case(&large(24); "a third of a large fleet")]
#[test_case(&Cut { fails_after: REFUSED, trouble: true, ..large(60) }; "most of a large fleet, refused")]
fn callers_at_daemons_that_are_cut_off_are_served_as_often_as_others(cut: &Cut) {
    for seed in 1..=3 {
        let got = Play::run(cut.clone(), seed);
        assert!(50 < got.cut.calls, "{got:?}");
        assert!(0.97 * got.others.part() <= got.cut.part(), "seed {seed}: {got:?}");
        assert!(0.97 <= got.others.part(), "those that help serve their own: seed {seed}: {got:?}");
        assert_eq!((got.late_hops, got.twice), (0, 0), "seed {seed}: {got:?}");
        // Each endpoint once, and some peers that don't make the call.
        let most = cut.endpoints + 5;
        assert!(got.most_attempts as usize <= most, "seed {seed}: {got:?}");
        assert!(got.most_served <= 128, "seed {seed}: {got:?}");
    }
}

/// Guards against calls that are tried until their time has passed when nobody reaches their endpoints.
#[test]
fn calls_that_nobody_reaches_are_not_tried_over_and_over() {
    for fails_after in [REFUSED, Duration::from_millis(250)] {
        let got = Play::run(Cut { fails_after, ..Cut::new(8, 8) }, 1);
        assert_eq!(got.cut.served, 0, "{got:?}");
        assert!(got.most_attempts <= 12, "{got:?}");
    }
}
