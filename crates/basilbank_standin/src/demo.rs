//! The demo: a site and real daemons in one process, on loopback.

use std::{
    io::{self, Write},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use basilbank::Daemon;
use basilbank_standin::{
    CALLER_KEY, Client, ENTRY, EngineSpec, Site, SiteSpec, chat_prompt, expected_answer,
};
use serde_json::json;

const READY: Duration = Duration::from_secs(20);
const MESSAGE: &str = "Site notes: galley kitchen, 2.4 m by 3.1 m, oak worktops. Draft a scope.";
const TOKENS: u32 = 40;

/// What the demo does after it has started.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// Shows a draft and serves until it is stopped.
    Serve,
    /// Checks one call of each kind and ends.
    Once,
}

/// Starts everything and runs the demo.
///
/// # Errors
/// Something did not start, or a call did not come back right.
pub fn run(mode: Mode, port: u16, daemons: u16) -> anyhow::Result<()> {
    let engine = EngineSpec::default().with_token_time(Duration::from_millis(15));
    let site = Site::start(&SiteSpec { engine, ..SiteSpec::default() })?;
    let daemons = start_daemons(&site, port, daemons)?;
    let clients: Vec<Client> = daemons.iter().map(|d| Client::new(d.callers())).collect();
    for client in &clients {
        wait_ready(client)?;
    }
    let mut out = io::stdout();
    for daemon in &daemons {
        writeln!(out, "callers  http://{}", daemon.callers())?;
        writeln!(out, "admin    http://{}", daemon.admin())?;
    }
    writeln!(out, "\n{}\n", curl_line(daemons[0].callers()))?;
    for client in &clients {
        show_stream(client, &mut out)?;
        check_whole(client)?;
        check_plain(client)?;
    }
    writeln!(out, "A whole answer and a plain call came back right, too.")?;
    if mode == Mode::Serve {
        writeln!(out, "Serving until Ctrl-C.")?;
        loop {
            thread::park();
        }
    }
    drop(clients);
    daemons.iter().for_each(Daemon::shutdown);
    daemons.into_iter().try_for_each(Daemon::wait)
}

fn start_daemons(site: &Site, port: u16, count: u16) -> anyhow::Result<Vec<Daemon>> {
    let mut daemons = Vec::new();
    let mut listed = Vec::new();
    for i in 0..count {
        let mut settings = site.settings(&format!("entry-{}", i + 1));
        "error".clone_into(&mut settings.log.level);
        if port != 0 {
            settings.callers.set_port(port + i);
        }
        let name = settings.name.clone();
        let daemon = Daemon::start(settings).with_context(|| format!("daemon {name}"))?;
        listed.push((name, daemon.peers()));
        daemons.push(daemon);
    }
    site.list_vms(&listed);
    Ok(daemons)
}

/// Waits until a daemon has its catalogue.
pub fn wait_ready(client: &Client) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let last = client.json("GET", "/v1/models", "");
        if last.as_ref().is_ok_and(|(status, _)| *status == 200) {
            return Ok(());
        }
        ensure!(start.elapsed() < READY, "the daemon does not get ready: {last:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn curl_line(callers: SocketAddr) -> String {
    let body = json!({
        "model": ENTRY, "messages": [{ "role": "user", "content": MESSAGE }],
        "max_tokens": TOKENS, "stream": true,
    });
    format!(
        "curl -N http://{callers}/v1/chat/completions \\\n  -H 'Authorization: Bearer {CALLER_KEY}' \
         \\\n  -H 'Content-Type: application/json' \\\n  -d '{body}'"
    )
}

fn show_stream(client: &Client, out: &mut impl Write) -> anyhow::Result<()> {
    let mut texts = Vec::new();
    for text in client.stream(MESSAGE, TOKENS)? {
        let text = text?;
        write!(out, "{text}")?;
        out.flush()?;
        texts.push(text);
    }
    writeln!(out, "\n")?;
    ensure!(texts == expected_answer(&chat_prompt(MESSAGE), TOKENS), "the streamed draft is wrong");
    Ok(())
}

fn check_whole(client: &Client) -> anyhow::Result<()> {
    let draft = client.whole(MESSAGE, TOKENS)?;
    let expected = expected_answer(MESSAGE, TOKENS);
    ensure!(draft.text == expected.concat(), "the whole answer is wrong: {draft:?}");
    ensure!(draft.completion_tokens == expected.len() as u64, "the usage is wrong: {draft:?}");
    Ok(())
}

fn check_plain(client: &Client) -> anyhow::Result<()> {
    let (status, answer) = client.json("GET", "/desk/stock/OAK-40", "")?;
    ensure!(status == 200 && answer["item"] == "OAK-40", "the plain call: {status} {answer}");
    Ok(())
}
