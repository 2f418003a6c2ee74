//! Stand-ins for the systems that badgerfield depends on, for tests and experiments only.
//!
//! Each stand-in is a separate process that speaks the published protocol of its system:
//! [`kv`] the key-value service, [`engine`] a model engine, [`service`] a plain service,
//! [`vms`] the VM list. Each has an admin port that sets faults; most also report there
//! which requests they executed. [`site`] starts them together with badgerfield processes.
//! [`load`] sends requests as callers do and compares the answers with the reports of the
//! engines. [`fleet`] runs many nodes in one process, for tests and for the measurements of
//! [`measure`], [`capacity`], [`route`] and [`whole_fleet`].

pub mod capacity;
pub mod engine;
pub mod fleet;
pub mod kv;
pub mod load;
pub mod measure;
pub mod route;
pub mod server;
pub mod service;
pub mod site;
pub mod vms;
pub mod whole_fleet;
