//! `bulrushward-soak`: plays seeds one after the other and names those that broke a promise.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use bulrushward_soak::{SoakSettings, run};

/// Randomized soak of direct routers on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// The daemon
    #[bpaf(argument("PATH"), fallback("target/release/bulrushward-directd".into()))]
    daemon: PathBuf,
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Seeds to play
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds of faults for each seed
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Routers
    #[bpaf(argument("N"), fallback(3))]
    routers: usize,
    /// Folder for the routers' logs
    #[bpaf(argument("DIR"), fallback("target/soak".into()))]
    logs: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("bulrushward-soak: the runtime did not start: {error}");
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
