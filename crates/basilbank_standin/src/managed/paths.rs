//! One daemon's own paths to the endpoints.

use std::{io, net::SocketAddr};

use super::{
    inside::Caches,
    proxy::{Proxy, Weather},
    store::{ManagedStore, StoreView},
};

/// A proxy before each endpoint for one daemon alone, and the way to the store on which that daemon
/// finds them. So its paths can be cut while others reach the endpoints. Dropping it ends them.
pub struct Paths {
    view: StoreView,
    caches: Caches,
    proxies: Vec<(SocketAddr, Proxy)>,
}

impl Paths {
    /// Starts without endpoints.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(store: &ManagedStore, caches: &Caches) -> io::Result<Paths> {
        Ok(Paths { view: store.view()?, caches: caches.clone(), proxies: Vec::new() })
    }

    /// Adds a path to the endpoint that is listed with an address.
    ///
    /// # Errors
    /// It can't listen.
    pub fn add(&mut self, listed: SocketAddr) -> io::Result<()> {
        let proxy = Proxy::start(listed)?;
        self.view.rename(listed, proxy.address());
        self.caches.alias(proxy.address(), listed);
        self.proxies.push((listed, proxy));
        Ok(())
    }

    /// Where the daemon reads the store.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.view.address()
    }

    /// The paths, in the order in which they were added.
    pub fn proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().map(|(_, proxy)| proxy)
    }

    /// The path to the endpoint that is listed with an address.
    #[must_use]
    pub fn to(&self, listed: SocketAddr) -> Option<&Proxy> {
        self.proxies.iter().find(|(address, _)| *address == listed).map(|(_, proxy)| proxy)
    }

    /// Nothing listens any more on the path to an endpoint, as after the end of its process.
    pub fn close(&mut self, listed: SocketAddr) {
        self.of(listed).for_each(Proxy::close);
    }

    /// The path to an endpoint listens again.
    ///
    /// # Errors
    /// It can't listen.
    pub fn open(&mut self, listed: SocketAddr) -> io::Result<()> {
        self.of(listed).try_for_each(Proxy::open)
    }

    fn of(&mut self, listed: SocketAddr) -> impl Iterator<Item = &mut Proxy> {
        let proxies = self.proxies.iter_mut();
        proxies.filter(move |(address, _)| *address == listed).map(|(_, proxy)| proxy)
    }

    /// Sets what all paths do from now on.
    pub fn set(&self, weather: Weather) {
        self.proxies().for_each(|proxy| proxy.set(weather));
    }

    /// Resets the open connections of all paths.
    pub fn reset(&self) {
        self.proxies().for_each(Proxy::reset);
    }
}
