//! Ranks of calls, from the priorities of teams and routes.

use basilbank_forward::prelude::*;
use test_case::test_case;

use crate::rig::{DESK, WRITER, route};

const STREAM: RouteKind = RouteKind::Streaming;

fn with_priority(prefix: &str, kind: RouteKind, service: &str, priority: u8) -> Route {
    Route { priority, ..route(prefix, kind, service, 1) }
}

fn table(teams: &[(&str, Option<u8>)], routes: Vec<Route>) -> RouteTable {
    let team =
        |(name, priority): &(&str, Option<u8>)| Team { priority: *priority, ..Team::new(name) };
    let all = teams.iter().fold(Teams::default(), |all, it| all.with_team(team(it), []));
    let table = RouteTable::new(1).with_routes(routes);
    if teams.is_empty() { table } else { table.with_teams(all) }
}

fn rank(table: &RouteTable, route: usize, team: Option<&str>) -> Option<u8> {
    let teams = table.teams.as_ref();
    let team = team.and_then(|name| teams?.get(TeamId::of(name)));
    let route = &table.routes()[route];
    let service = route.services().next()?;
    table.rank(service, route, team.map(|team| &**team)).map(|rank| rank.0)
}

#[test]
fn equal_priorities_give_no_rank() {
    let routes =
        vec![with_priority("/a/", STREAM, WRITER, 1), with_priority("/b/", STREAM, WRITER, 1)];
    assert_eq!(rank(&table(&[], routes.clone()), 0, None), None);
    let teams = [("x", Some(1)), ("y", Some(1))];
    assert_eq!(rank(&table(&teams, routes), 0, Some("x")), None);
}

/// The team's priority decides first, and the route's between teams of equal priority.
#[test_case("first", 0, 0)]
#[test_case("first", 1, 1)]
#[test_case("other", 0, 2)]
#[test_case("other", 1, 3)]
fn the_teams_priority_goes_before_the_routes(team: &str, route: usize, expected: u8) {
    let routes =
        vec![with_priority("/a/", STREAM, WRITER, 0), with_priority("/b/", STREAM, WRITER, 2)];
    let table = table(&[("first", Some(0)), ("other", Some(1))], routes);
    assert_eq!(rank(&table, route, Some(team)), Some(expected));
}

/// A public page of a service must not give ranks to the service's streams.
#[test]
fn only_calls_that_compete_are_ranked_against_each_other() {
    let routes = vec![
        with_priority("/a/", STREAM, WRITER, 1),
        with_priority("/page/", RouteKind::Idempotent, WRITER, 0),
        with_priority("/desk/", RouteKind::Idempotent, DESK, 2),
    ];
    let table = table(&[], routes);
    assert_eq!([0, 1, 2].map(|route| rank(&table, route, None)), [None, None, None]);
}

#[test]
fn more_pairs_than_ranks_keep_their_order() {
    let prefixes: Vec<_> = (0..10).map(|n| format!("/{n}/")).collect();
    let routes = prefixes.iter().enumerate();
    let routes = routes.map(|(n, prefix)| with_priority(prefix, STREAM, WRITER, n as u8)).collect();
    let table = table(&[("first", Some(0)), ("other", Some(1))], routes);
    let of = |team| (0..10).map(move |n| (team, n));
    let ranks: Vec<_> = of("first")
        .chain(of("other"))
        .filter_map(|(team, n)| rank(&table, n, Some(team)))
        .collect();
    assert!(ranks.is_sorted(), "{ranks:?}");
    assert_eq!((ranks.len(), ranks.first(), ranks.last()), (20, Some(&0), Some(&9)));
}
