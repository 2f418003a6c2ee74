//! Handlers of events, messages and ticks. Each module is responsible for one part of the shared
//! state.

mod admission;
mod answer;
mod availability;
mod charging;
mod claims;
mod departures;
mod directory;
mod dispatch;
mod evacuations;
mod handovers;
mod joining;
mod members;
mod operator_values;
mod poison;
mod reservations;
mod rollouts;
mod spending;
mod stopping;
mod streams;
mod templates;
mod upstream_updates;
mod versions;
