//! Controllers: each reads and writes the tables for one matter.

mod admission;
mod answer;
mod charging;
mod claiming;
mod directory;
mod dispatch;
mod evacuations;
mod members;
mod poison;
mod reservations;
mod rights;
mod rollouts;
mod settings;
mod stopping;
mod upstream_news;
