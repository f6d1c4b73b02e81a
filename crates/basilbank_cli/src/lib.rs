//! The operators' command `basilbank`: checks settings and catalogues, and asks a daemon's admin API
//! what it is doing.
//!
//! ```
//! use basilbank_cli::{CommandContext, ExitStatus, run};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let mut ctx = CommandContext {
//!     input: &mut "a-key\n".as_bytes(),
//!     out: &mut out,
//!     err: &mut err,
//!     env: &|_| None,
//!     sleep: &|_| {},
//! };
//! assert_eq!(run(&mut ctx, vec!["hash-key".into()]), ExitStatus::Ok);
//! assert_eq!(out.len(), 65);
//! ```

mod admin;
mod args;
mod check;
mod compare;
mod context;
mod failure;
mod hash_key;
mod help;
mod run;
mod show;
mod table;
mod trace;
mod watch;

pub use context::CommandContext;
pub use failure::{ExitStatus, Failure};
pub use run::run;
pub use table::{render_list, render_object};
