//! The process around the decisions: sockets, clocks and randomness.
//!
//! A [`driver::Driver`] owns one [`badgerfield_core::Node`]. Whatever reads from a
//! socket or a timer makes an event of it and hands it over, with the time of its [`clock`], and
//! carries out the orders that come back. Requests on routes take a way of their own, told in [`gateway`]; what a platform
//! calls things is translated by an [`adapter`].
//!
//! The orders go to [`peers`] (QUIC between the system's processes), [`etcd`] (the platform's
//! key-value service), [`upstream_client`] (engines and plain services) and [`caller_api`]
//! (HTTP). [`operator_api`] serves metrics and state. [`settings`] and [`templates`] read
//! what people write; both list every fault with its place.

pub mod adapter;
pub mod buffered_log;
pub mod caller_api;
mod chat;
pub mod clock;
pub mod driver;
pub mod etcd;
mod evacuations;
mod follow;
pub mod gateway;
pub mod http;
pub mod ini_file;
pub mod logs;
pub mod metrics;
pub mod operator_api;
mod peer_traffic;
pub mod peers;
mod rollouts;
pub mod settings;
mod store_calls;
mod suspects;
pub mod sync;
pub mod templates;
pub mod upstream_client;
mod upstream_list;
