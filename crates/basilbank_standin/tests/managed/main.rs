//! A daemon on a stand-in of the users' platform, over real sockets.

mod bytes;
mod callers;
mod cut_off;
mod drafts;
mod endpoints;
mod ends;
mod entries;
mod event_ids;
mod keys;
mod leaving;
mod overload;
mod ports;
mod proofs;
mod readings;
mod restarts;
mod restored;
mod second_answers;
mod settings;
mod shares;
mod silences;
mod slow_link;
mod stated;
mod store;
mod support;
mod take_ups;
mod versions;
