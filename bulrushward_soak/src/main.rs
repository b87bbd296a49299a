//! The program `bulrushward-soak`: runs seeds one after another and reports violated invariants.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bulrushward_soak::{SoakSettings, run};

/// Randomized fault-injection test of direct routers on the loopback interface
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Path of the router daemon
    #[bpaf(argument("PATH"), fallback("target/release/bulrushward-directd".into()))]
    daemon: PathBuf,
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds to run, counting up from the first
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds during which faults are injected, for each seed
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Number of routers
    #[bpaf(argument("N"), fallback(3))]
    routers: usize,
    /// Number of threads that are kept busy while faults are injected
    #[bpaf(argument("N"), fallback(0))]
    busy: usize,
    /// Directory for the settings and logs of the routers
    #[bpaf(argument("DIR"), fallback("target/soak".into()))]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("bulrushward-soak: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let settings = SoakSettings {
            daemon: arguments.daemon.clone(),
            logs: arguments.logs.join(seed.to_string()),
            seed,
            duration: Duration::from_secs(arguments.seconds),
            routers: arguments.routers,
            busy_threads: arguments.busy,
        };
        match runtime.block_on(run(settings)) {
            Ok(report) => {
                println!("{report}");
                failed += u64::from(!report.violations.is_empty());
            }
            Err(error) => {
                println!("seed={seed} error={error}");
                failed += 1;
            }
        }
    }
    println!("{} passed, {failed} failed", arguments.seeds - failed);
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
