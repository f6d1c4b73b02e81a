//! The shell's parts, each against a few bytes of the other side.

mod engine_control;
mod engine_draft;
mod engine_plain;
mod engine_report;
mod responder;
mod rig;
