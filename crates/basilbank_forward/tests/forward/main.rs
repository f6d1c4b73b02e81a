//! Tests of the decisions about forwarded calls, in virtual time and without a network.

mod budgets;
mod drafts;
mod endpoints;
mod order_schedules;
mod peers;
mod plain;
mod rig;
mod roles;
mod routes;
mod suspects;
