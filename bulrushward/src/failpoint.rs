//! Steps at which tests bring about a failure of the process.

use fail::FailScenario;
use nix::sys::signal::{Signal, raise};

/// Reads the fail points of the environment; they hold until the returned value is dropped.
pub(crate) fn start() -> FailScenario<'static> {
    FailScenario::setup()
}

/// Marks a step of a request or of the control state.
///
/// Does nothing unless the `fail` library was built with fail points and one of this name is
/// set, by `FAILPOINTS` in the environment: `return(kill)` ends the process as a crash would,
/// `return(freeze)` stops it until it is sent SIGCONT.
pub(crate) fn hit(name: &str) {
    // The library's macro takes the name only when fail points are built in.
    let _ = name;
    fail::fail_point!(name, |action| act(action.as_deref()));
}

#[allow(dead_code, reason = "it is called only when fail points are built in")]
fn act(action: Option<&str>) {
    match action {
        Some("kill") => std::process::abort(),
        Some("freeze") => {
            // A process can always signal itself.
            let _delivered = raise(Signal::SIGSTOP);
        }
        _ => {}
    }
}
