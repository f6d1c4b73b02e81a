//! Settings and catalogue: JSON with comments, checked. All findings are reported together, each
//! with its file, line and column.

mod settings;

pub use settings::{ApiLimits, LogSettings, Settings};
