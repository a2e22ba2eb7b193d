//! Tests of the entry instance as a process, against stand-ins of the production platform.

mod answers;
mod configuration;
mod life;
mod ownership;
mod world;
