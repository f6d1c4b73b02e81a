//! A share of an endpoint's answers breaks off.

use basilbank_standin::managed::{
    BreakKind, BreakPlace, BreakShare, Caches, Ending, EndpointSpec, Framing, ManagedEndpoint, call,
};

/// Answers that are asked for.
const ANSWERS: usize = 200;

/// Which of some answers are whole.
fn whole(share: BreakShare) -> Vec<bool> {
    let endpoint = ManagedEndpoint::start(EndpointSpec::plain("a"), &Caches::default());
    let endpoint = endpoint.expect("an endpoint");
    let broken = Some((BreakPlace::Inside, BreakKind::Close));
    endpoint.end_some(Ending { framing: Some(Framing::Length), broken }, share);
    let answer = |_| call(endpoint.address(), "GET /sheet/1", &[], b"").expect("an answer").whole;
    (0..ANSWERS).map(answer).collect()
}

#[test]
fn one_answer_in_some_breaks_off_by_a_seed() {
    let share = BreakShare { one_in: 4, seed: 7 };
    let answers = whole(share);
    let broken = answers.iter().filter(|whole| !**whole).count();
    assert!((ANSWERS / 8..ANSWERS / 2).contains(&broken), "{broken}");
    assert_eq!(whole(share), answers);
    assert_ne!(whole(BreakShare { seed: 8, ..share }), answers);
}

#[test]
fn all_answers_break_off() {
    assert!(whole(BreakShare::ALL).iter().all(|whole| !whole));
}
