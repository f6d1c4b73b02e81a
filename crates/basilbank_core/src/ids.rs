//! Identifiers.
//!
//! Things that daemons must agree on (a VM, an endpoint, a team) are known by a stable 64-bit hash
//! of their name, the same on every daemon and across revisions. Things of one daemon (a request, an
//! attempt) are keys into arenas; a key carries a generation, so an answer that comes late finds a
//! dead key and is dropped.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier of a name.
            #[must_use]
            pub fn of(name: &str) -> $name {
                $name(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({:016x})"), self.0)
            }
        }
    };
}

name_id!(
    /// A VM that runs a daemon.
    VmId
);
name_id!(
    /// A data centre.
    DataCentreId
);
name_id!(
    /// A team.
    TeamId
);
name_id!(
    /// A class of service.
    ClassId
);
name_id!(
    /// A catalogue entry.
    EntryId
);
name_id!(
    /// A model.
    ModelId
);
name_id!(
    /// A plain service.
    ServiceId
);
name_id!(
    /// An endpoint: a prefill or decode runner, or one replica of a plain service.
    EndpointId
);
name_id!(
    /// A request, unique across daemons: a hash of VM, incarnation and a counter.
    RequestId
);

impl RequestId {
    /// The id of the `counter`th request of one incarnation of a VM.
    #[must_use]
    pub fn new(vm: VmId, incarnation: u64, counter: u64) -> RequestId {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&vm.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&incarnation.to_le_bytes());
        bytes[16..].copy_from_slice(&counter.to_le_bytes());
        RequestId(xxh3_64(&bytes))
    }
}

/// A caller's open call, numbered by the shell. Numbers are not used again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct CallerId(pub u64);

slotmap::new_key_type! {
    /// A request in this daemon's arena.
    pub struct RequestKey;
    /// One try of a request at an endpoint.
    pub struct AttemptKey;
}
