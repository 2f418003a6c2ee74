//! The process around the decisions: sockets, clocks and randomness.
//!
//! A [`driver::Driver`] owns one [`badgerfield_core::Node`]. Whatever reads from a
//! socket or a timer makes an event of it and hands it over, with the time of its [`clock`], and
//! carries out the orders that come back. Requests on routes take a way of their own, told in [`gateway`]; what a platform
//! calls things is translated by an [`adapter`].
//!
//! The orders go to [`peers`] (QUIC between the system's processes), [`kv`] (the platform's
//! key-value service), [`upstreams`] (engines and plain services) and [`callers`]
//! (HTTP). [`operators`] serves metrics and state. [`settings`] and [`templates`] read
//! what people write; both list every fault with its place.

pub mod adapter;
pub mod callers;
mod chat;
pub mod clock;
pub mod driver;
mod evacuations;
mod follow;
pub mod gateway;
pub mod http;
pub mod ini;
pub mod kv;
pub mod log_lines;
pub mod logs;
pub mod metrics;
pub mod operators;
mod peer_traffic;
pub mod peers;
mod rollouts;
pub mod settings;
mod store_calls;
mod suspects;
pub mod sync;
pub mod templates;
mod upstream_list;
pub mod upstreams;
