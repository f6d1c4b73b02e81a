//! Stand-ins alone, for daemons that are started by hand.

use std::{
    fs,
    io::{self, Write},
    path::Path,
    thread,
};

use anyhow::Context;
use basilbank_standin::{ADMIN_KEY, CALLER_KEY, ENTRY, Site, SiteSpec};

use crate::local;

/// Starts a site, writes settings for one daemon to a file, and serves until it is stopped.
///
/// # Errors
/// Something did not start, or the file can't be written.
pub fn run(file: &Path) -> anyhow::Result<()> {
    let site = Site::start(&SiteSpec::default())?;
    let mut out = io::stdout();
    writeln!(out, "platform {}", site.platform.url())?;
    for endpoint in site.catalogue()["endpoints"].as_array().into_iter().flatten() {
        writeln!(out, "{} {}", endpoint["name"], endpoint["address"])?;
    }
    writeln!(out, "model {ENTRY}, caller key {CALLER_KEY}, admin key {ADMIN_KEY}")?;
    write_settings(&site, file)?;
    writeln!(out, "basilbankd --settings {}", file.display())?;
    loop {
        thread::park();
    }
}

/// Writes a daemon's settings, with free ports, and lists it as a VM. Returns where callers connect.
pub fn write_settings(site: &Site, file: &Path) -> anyhow::Result<std::net::SocketAddr> {
    let mut settings = site.settings("entry-1");
    settings.callers = local::free_address()?;
    settings.admin = local::free_address()?;
    settings.peers = local::free_address()?;
    site.list_vms(&[(settings.name.clone(), settings.peers)]);
    let text = Site::settings_text(&settings);
    fs::write(file, text).with_context(|| format!("{}", file.display()))?;
    Ok(settings.callers)
}
