//! Tests of the decisions about forwarded calls, in virtual time and without a network.

mod addresses;
mod budgets;
mod drafts;
mod endpoints;
mod homes;
mod introductions;
mod leaving;
mod line;
mod load;
mod old_views;
mod order_schedules;
mod overload;
mod pace;
mod peers;
mod plain;
mod queue;
mod restart_schedules;
mod restarted_drafts;
mod restarts;
mod restored_store;
mod rig;
mod roles;
mod routes;
mod share;
mod suspects;
mod watchers;
