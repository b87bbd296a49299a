//! The daemon of direct routers on the users' platform.
//!
//! A process of its own, apart from the routers and agents of `bulrushwardd`: most of the memory of an idle
//! process are pages of its program file, and nothing here needs the libraries of the others.

mod daemon;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
