//! Identifiers.
//!
//! Things that daemons must agree on (a VM, an endpoint, a team) are identified by a stable 64-bit
//! hash of their name, which is the same on every daemon and in every revision. Things that belong
//! to one daemon (a request, an attempt) are identified by keys into arenas. Such a key carries a
//! generation, so a late answer refers to a key that is no longer valid and is dropped.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the identifier of a name.
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
    /// Identifies a VM that runs a daemon.
    VmId
);
name_id!(
    /// Identifies a data centre.
    DataCentreId
);
name_id!(
    /// Identifies a team.
    TeamId
);
name_id!(
    /// Identifies a class of service.
    ClassId
);
name_id!(
    /// Identifies a catalogue entry.
    EntryId
);
name_id!(
    /// Identifies a model.
    ModelId
);
name_id!(
    /// Identifies a plain service.
    ServiceId
);
name_id!(
    /// Identifies an endpoint: a prefill or decode runner, or one replica of a plain service.
    EndpointId
);
name_id!(
    /// Identifies a request on all daemons: a hash of VM, incarnation and a counter.
    RequestId
);

impl RequestId {
    /// Returns the id of the `counter`th request of one incarnation of a VM.
    #[must_use]
    pub fn new(vm: VmId, incarnation: u64, counter: u64) -> RequestId {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&vm.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&incarnation.to_le_bytes());
        bytes[16..].copy_from_slice(&counter.to_le_bytes());
        RequestId(xxh3_64(&bytes))
    }
}

/// Number that the shell gives to a caller's open call. Numbers are not reused.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Default)]
pub struct CallerId(pub u64);

slotmap::new_key_type! {
    /// Key of a request in this daemon's arena.
    pub struct RequestKey;
    /// Key of one attempt to run a request at an endpoint.
    pub struct AttemptKey;
}
