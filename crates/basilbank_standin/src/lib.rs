//! Small stand-ins for the platform, the model engines and plain services. They speak
//! `docs/PROTOCOLS.md` over loopback, have faults as switches, and are no part of the product.
//!
//! ```
//! use basilbank_standin::{Engine, EngineSpec, Role, expected_answer};
//!
//! let prefill = Engine::start(EngineSpec::default().with_role(Role::Prefill)).unwrap();
//! let decode = Engine::start(EngineSpec::default().with_role(Role::Decode)).unwrap();
//! assert_ne!(prefill.address(), decode.address());
//! assert_eq!(expected_answer("two oak worktops", 3).len(), 3);
//! ```

mod client;
mod engine;
mod faults;
mod http;
mod kv;
pub mod managed;
mod plain;
mod platform;
mod prefix;
mod queue;
mod site;
mod spec;
mod stream;
mod text;

pub use self::{
    client::{Client, DraftStream, WholeDraft, chat_prompt},
    engine::{Engine, EngineCounters},
    faults::Faults,
    plain::{PlainService, Run},
    platform::{Platform, PlatformCounters, PlatformFaults, Vm},
    site::{ADMIN_KEY, CALLER_KEY, ENTRY, Site, SiteSpec},
    spec::{EngineSpec, Role},
    text::{expected_answer, prefix_blocks},
};
