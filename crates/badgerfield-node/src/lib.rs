//! The process around the core: sockets, clocks and random numbers.
//!
//! A [`driver::Driver`] owns one [`badgerfield_core::Node`], which makes all decisions without
//! I/O. Input from sockets and timers is passed to it as events with the time of the [`clock`],
//! and the driver executes the commands that it returns. Requests on routes are handled by the
//! [`gateway`]. An [`adapter`] translates between the formats of a platform and those of this
//! crate.
//!
//! Commands are executed by [`peers`] (QUIC between the processes of the fleet), [`etcd`] (the
//! store), [`upstream_client`] (engines and plain services) and [`caller_api`] (HTTP).
//! [`operator_api`] serves metrics and state. [`settings`] and [`templates`] parse the files
//! that operators write and report every error with its position.

pub mod adapter;
pub mod buffered_log;
pub mod caller_api;
mod caller_stream;
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
pub mod memory;
pub mod metrics;
pub mod operator_api;
mod peer_traffic;
pub mod peers;
pub mod reservations;
mod rollouts;
mod segment_loads;
mod service_calls;
mod serving;
pub mod settings;
mod shutdown;
mod store_calls;
mod suspects;
pub mod sync;
pub mod templates;
pub mod upstream_client;
mod upstream_list;
mod versions;
