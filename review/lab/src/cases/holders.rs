//! Two machines give orders to one runner.

use std::{
    collections::HashMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread,
};

use super::{start_runner, start_store};
use crate::world::{Site, cannot_run};

/// The machines: the first seed of the old settings, another one, and the one that is cut off.
const OLD: u8 = 11;
const OTHER: u8 = 12;
const CUT: u8 = 13;
/// What is added to a machine's number for the address at which the other side reaches it.
const ACROSS: u8 = 100;

const LEASE_S: f64 = 3.0;

/// The way between the machine that is cut off and the others: its datagrams go by a proxy, which
/// drops all of them while the cut lasts.
fn connect(site: &Site, cut: bool) {
    let port = site.net.peer_port();
    let bind = |host: u8| {
        let socket = UdpSocket::bind(site.net.at(host + ACROSS, port));
        Arc::new(socket.unwrap_or_else(|_| cannot_run("the proxy's address")))
    };
    let sockets: HashMap<u8, Arc<UdpSocket>> =
        [OLD, OTHER, CUT].into_iter().map(|host| (host, bind(host))).collect();
    let machine = |host: u8| -> SocketAddr { site.net.at(host, port) };
    for host in [OLD, OTHER] {
        let (here, back, to) = (sockets[&host].clone(), sockets[&CUT].clone(), machine(host));
        thread::spawn(move || {
            let mut bytes = [0; 65536];
            while let Ok((count, _)) = here.recv_from(&mut bytes) {
                if !cut {
                    let _ = back.send_to(&bytes[..count], to);
                }
            }
        });
    }
    let (here, to) = (sockets[&CUT].clone(), machine(CUT));
    let others: HashMap<SocketAddr, Arc<UdpSocket>> =
        [OLD, OTHER].into_iter().map(|host| (machine(host), sockets[&host].clone())).collect();
    thread::spawn(move || {
        let mut bytes = [0; 65536];
        while let Ok((count, from)) = here.recv_from(&mut bytes) {
            if let Some(back) = others.get(&from).filter(|_| !cut) {
                let _ = back.send_to(&bytes[..count], to);
            }
        }
    });
}

pub fn play(site: &Site, trouble: bool) -> Vec<String> {
    let store = start_store(site);
    let mut runners = Vec::new();
    for host in 21..=29 {
        let stage = if host <= 23 { "prefill" } else { "decode" };
        runners.push(start_runner(site, &store, host, stage, "v1"));
    }
    runners.push(start_runner(site, &store, 41, "", "v1"));
    connect(site, trouble);
    let old = site.start(OLD, "hall-a", &[OLD, OTHER], true);
    let other = site.start(OTHER, "hall-b", &[OLD, OTHER], true);
    site.wait_ready(OLD);
    site.wait_ready(OTHER);
    // The new settings begin with the machine that is cut off, which starts again.
    site.record.wait_until(4.0);
    if trouble {
        site.record.note("machine 13 is cut off from the other machines");
    }
    let cut = site.start(CUT, "hall-c", &[CUT, OTHER + ACROSS, OLD + ACROSS], false);
    site.wait_ready(CUT);
    // Planned work: runners are added.
    site.record.wait_until(14.6);
    site.record.note("runners are added");
    for (host, stage) in [(30, "prefill"), (31, "prefill"), (32, "decode")] {
        runners.push(start_runner(site, &store, host, stage, "v1"));
    }
    site.record.wait_until(16.0);
    site.record.note("end");
    drop((old, other, cut));
    let mut faults = Vec::new();
    for runner in &runners {
        let orders = runner.orders.lock().map(|orders| orders.clone()).unwrap_or_default();
        for (index, second) in orders.iter().enumerate() {
            for first in &orders[..index] {
                let (a, b) = (&first.holder, &second.holder);
                if a == b {
                    continue;
                }
                let pause = second.at - first.at;
                if first.fence == second.fence {
                    let fence = first.fence;
                    faults.push(format!(
                        "ONE: {} gets fence {fence} from {a} and from {b}",
                        first.runner
                    ));
                }
                if pause < LEASE_S {
                    faults.push(format!(
                        "ONE: {} gets orders from {a} and {b} within {pause:.3} s",
                        first.runner
                    ));
                }
            }
        }
    }
    faults
}
