//! The demo on a stand-in of the users' platform.

use std::{
    io::{self, Write},
    thread,
};

use anyhow::{Context, ensure};
use basilbank_standin::managed::{Answer, World, WorldSpec, call};

use crate::demo::Mode;

/// Events of the draft that is shown.
const EVENTS: u32 = 30;

/// Starts a store, endpoints and daemons, and runs the demo.
///
/// # Errors
/// Something did not start, or a call did not come back right.
pub fn run(mode: Mode, daemons: u16) -> anyhow::Result<()> {
    let spec = WorldSpec { daemons: usize::from(daemons), ..WorldSpec::default() };
    let world = World::start(&spec)?;
    let mut out = io::stdout();
    for daemon in 0..spec.daemons {
        writeln!(out, "callers  http://{}", world.callers(daemon))?;
        writeln!(out, "metrics  http://{}/metrics", world.ready(daemon))?;
    }
    let shown = world.callers(0);
    writeln!(
        out,
        "\ncurl -N -H 'Host: shop.example' -H 'X-Attempt-Id: 1' -H 'X-Token-Counts: 1000,{EVENTS}' \
         -d 'site notes' http://{shown}/draft/1\n"
    )?;
    for daemon in 0..spec.daemons {
        check(&world, daemon, &mut out)?;
    }
    writeln!(out, "A plain call and an unknown route came back right, too.")?;
    if mode == Mode::Serve {
        writeln!(out, "Serving until Ctrl-C.")?;
        loop {
            thread::park();
        }
    }
    Ok(())
}

fn check(world: &World, daemon: usize, out: &mut impl Write) -> anyhow::Result<()> {
    let to = world.callers(daemon);
    let ask = |line: &str, more: &[(&str, &str)], body: &[u8]| -> anyhow::Result<Answer> {
        let mut headers = vec![("host", "shop.example"), ("x-attempt-id", "demo")];
        headers.extend(more);
        call(to, line, &headers, body).with_context(|| line.to_owned())
    };
    let counts = format!("1000,{EVENTS}");
    let draft = ask("POST /draft/1", &[("x-token-counts", &counts)], b"site notes")?;
    ensure!(draft.status == 200 && draft.whole, "the draft: {draft:?}");
    let events = draft.text().matches("data: ").count();
    ensure!(events == EVENTS as usize, "the draft has {events} events");
    writeln!(out, "A draft of {events} events streamed through daemon {daemon}.")?;
    let plain = ask("GET /sheet/1", &[], b"")?;
    ensure!(plain.status == 200, "the plain call: {plain:?}");
    let unknown = ask("GET /nowhere/1", &[], b"")?;
    ensure!(unknown.status == 404, "the unknown route: {unknown:?}");
    Ok(())
}
