//! Tests of the decisions about forwarded calls, in virtual time and without a network.

mod budgets;
mod drafts;
mod endpoints;
mod homes;
mod leaving;
mod load;
mod order_schedules;
mod overload;
mod peers;
mod plain;
mod queue;
mod rig;
mod roles;
mod routes;
mod suspects;
