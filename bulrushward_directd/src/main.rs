//! The daemon of direct routers on the users' platform.
//!
//! It is a program apart from `bulrushwardd`, which runs agents and the routers that call them, because pages
//! of the program file are most of an idle process's memory and direct routers do not need the libraries of
//! `bulrushwardd`.

mod daemon;
mod error;

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::main()
}
