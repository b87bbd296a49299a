//! The daemon of the fleet: router and agent.

fn main() {}
