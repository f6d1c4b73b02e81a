//! The operators' command `basilbank`: checks settings and catalogues, and asks a daemon's admin API
//! what it is doing.
//!
//! ```
//! use basilbank_cli::{Shell, Status, run};
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! let mut shell = Shell {
//!     input: &mut "a-key\n".as_bytes(),
//!     out: &mut out,
//!     err: &mut err,
//!     env: &|_| None,
//!     sleep: &|_| {},
//! };
//! assert_eq!(run(&mut shell, vec!["hash-key".into()]), Status::Ok);
//! assert_eq!(out.len(), 65);
//! ```

mod admin;
mod args;
mod check;
mod compare;
mod failure;
mod help;
mod key;
mod run;
mod shell;
mod show;
mod table;
mod trace;
mod watch;

pub use failure::{Failure, Status};
pub use run::run;
pub use shell::Shell;
pub use table::{render_list, render_object};
