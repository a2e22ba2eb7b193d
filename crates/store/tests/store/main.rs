//! Tests of the store client against a small fake of the store.

mod client;
mod fake;
mod write;
