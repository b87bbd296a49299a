//! The daemon of direct routers on the users' platform.
//!
//! It is separate from `bulrushwardd`, the program of agents and of the routers that call them: most of the
//! memory of an idle process is pages of its program file, and direct routers do not need the libraries of
//! `bulrushwardd`.

mod daemon;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
