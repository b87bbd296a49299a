//! Measures the decision code of the fleet against in-memory stand-ins.

fn main() {}
