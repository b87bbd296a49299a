//! Fail points at which tests make the process fail.

use fail::FailScenario;
use nix::sys::signal::{Signal, raise};

/// Activates the fail points set in the environment until the returned value is dropped.
pub(crate) fn start() -> FailScenario<'static> {
    FailScenario::setup()
}

/// Marks a step at which a test can make the process fail.
///
/// Does nothing unless the `fail` library was built with fail points and the environment variable
/// `FAILPOINTS` sets this one: `return(kill)` ends the process as a crash would, `return(freeze)`
/// stops it until it receives SIGCONT.
pub(crate) fn hit(name: &str) {
    // The macro uses the name only if fail points are built in.
    let _ = name;
    fail::fail_point!(name, |action| run_action(action.as_deref()));
}

#[allow(dead_code, reason = "called only if fail points are built in")]
fn run_action(action: Option<&str>) {
    match action {
        Some("kill") => std::process::abort(),
        Some("freeze") => {
            // A process can always send itself a signal.
            let _delivered = raise(Signal::SIGSTOP);
        }
        _ => {}
    }
}
