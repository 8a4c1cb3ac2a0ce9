//! When the leader may count a worker's lease as over: one case at a time, and every order of messages up to a depth.

#[path = "../common/mod.rs"]
mod common;

mod accounting;
mod interleavings;
mod second_cut;
mod stand_ins;
