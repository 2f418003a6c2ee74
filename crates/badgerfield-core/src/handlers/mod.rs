//! Controllers: each reads and writes the tables for one matter.

mod admission;
mod answer;
mod charging;
mod claims;
mod directory;
mod dispatch;
mod evacuations;
mod members;
mod poison;
mod reservations;
mod rollouts;
mod spending;
mod stopping;
mod templates;
mod upstream_updates;
