//! The shell's parts, each against a few bytes of the other side.

mod admin;
mod breaks;
mod endless;
mod ends;
mod engine_control;
mod engine_draft;
mod engine_plain;
mod engine_report;
mod inbox;
mod malformed_heads;
mod observe;
mod peers;
mod platform;
mod pool;
mod responder;
mod rig;
