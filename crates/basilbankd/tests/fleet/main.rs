//! Several real daemons at one site, over real sockets: processes that die, stop and come back.

#[path = "../common/mod.rs"]
mod common;
mod drafts;
mod leaving;
mod limits;
mod load;
mod members;
mod orders;
mod outage;
mod rig;
mod steward;
