//! Records that a later change in the same answer replaces.

use std::{cell::Cell, time::Duration};

use basilbank_forward::prelude::*;
use basilbank_gateway::Reading;
use tokio::time::sleep;

use crate::rig::{Rig, configuration, immediately, in_virtual_time, list, no_answer};

/// Time until the list changes.
const UNTIL_CHANGE: Duration = Duration::from_millis(200);

/// Guards against a version that isn't known, as its endpoint came and went within one answer.
#[test]
fn a_replaced_record_names_a_version_that_served() {
    in_virtual_time(|| async {
        let rig = Rig::new();
        let table = configuration(1, 1).table.expect("a configuration");
        let table = table.with_service("desk", Service::default());
        rig.router
            .dispatch(Event::RoutesRead { revisions: Revisions::at(1), table: Some(table.into()) });
        let has_changed = Cell::new(false);
        rig.start_reader(Topic::Endpoints, move |query, _| match query.scope {
            Scope::Page { .. } => immediately(Ok(list(1, &["a"]))),
            Scope::Changes { .. } if has_changed.replace(true) => no_answer(),
            Scope::Changes { .. } => Box::pin(async {
                sleep(UNTIL_CHANGE).await;
                let record = list(2, &["b"]).endpoints.remove(0);
                let record = EndpointInfo { version: "v2".to_owned(), ..record };
                Ok(Reading {
                    revisions: Revisions::at(3),
                    removed: vec!["b".to_owned()],
                    replaced: vec![("b".to_owned(), Some(record))],
                    ..Reading::default()
                })
            }),
        });
        let are_several = || {
            let now = rig.router.now();
            rig.router.read(|state| state.versions.are_several(["desk"].into_iter(), now))
        };
        sleep(UNTIL_CHANGE / 2).await;
        assert!(!are_several());
        sleep(UNTIL_CHANGE).await;
        assert!(are_several());
    });
}
