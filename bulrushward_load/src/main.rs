//! The load generator `bulrushward-load` with its commands `run`, `compare` and `hold`.

mod cli;

use std::{process::ExitCode, time::Duration};

use bulrushward_load::{
    Arrival, BoundError, Client, ClientError, Figure, FigureError, Pace, compare,
    generate_arrivals, hold, run, write_json,
};
use mimalloc::MiMalloc;

use crate::cli::{Command, Common, EXIT_USAGE};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Interval at which held streams are checked.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(100);

#[tokio::main]
async fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match execute(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { message, code }) => {
            eprintln!("bulrushward-load: {message}");
            code
        }
    }
}

/// An error that ends the program before all figures are reported.
struct Failure {
    message: String,
    code: ExitCode,
}

impl From<BoundError> for Failure {
    fn from(error: BoundError) -> Self {
        Self {
            message: error.to_string(),
            code: ExitCode::from(EXIT_USAGE),
        }
    }
}

impl From<ClientError> for Failure {
    fn from(error: ClientError) -> Self {
        Self {
            message: error.to_string(),
            code: ExitCode::FAILURE,
        }
    }
}

impl From<FigureError> for Failure {
    fn from(error: FigureError) -> Self {
        Self {
            message: error.to_string(),
            code: ExitCode::FAILURE,
        }
    }
}

async fn execute(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run {
            common,
            concurrency,
            work,
            target,
        } => {
            let (client, arrivals) = prepare(&common)?;
            let pace = match concurrency {
                0 => Pace::Open,
                concurrency => Pace::Closed { concurrency },
            };
            let time = common.time;
            let results = run(&client, &target, work, arrivals, pace, time).await?;
            report(&common, &results.figures(&common.size, &work.to_string()))
        }
        Command::Compare {
            common,
            work,
            added_time_target,
            direct,
            routed,
        } => {
            let (client, arrivals) = prepare(&common)?;
            let time = common.time;
            let comparison = compare(&client, &direct, &routed, work, &arrivals, time).await;
            let figures = comparison.figures(&common.size, work, added_time_target);
            report(&common, &figures)
        }
        Command::Hold { common, target } => {
            let (client, arrivals) = prepare(&common)?;
            let mut held = hold(&client, &target, &arrivals, common.time).await?;
            report(
                &common,
                &[stream_figure(&common, "open-streams", held.open())],
            )?;
            let end = tokio::time::Instant::now() + common.time;
            while tokio::time::Instant::now() < end && held.ended() < held.open() {
                tokio::time::sleep(HOLD_POLL_INTERVAL).await;
            }
            let ended = held.ended();
            println!("{}", stream_figure(&common, "ended-streams", ended));
            Ok(())
        }
    }
}

fn prepare(common: &Common) -> Result<(Client, Vec<Arrival>), Failure> {
    let settings = common.arrival_settings()?;
    let client = Client::new(common.client_settings())?;
    Ok((client, generate_arrivals(&settings)))
}

fn stream_figure(common: &Common, measure: &str, count: usize) -> Figure {
    Figure {
        measure: measure.to_owned(),
        size: common.size.clone(),
        case: "held".to_owned(),
        value: count as f64,
        unit: "streams",
        target_met: None,
    }
}

fn report(common: &Common, figures: &[Figure]) -> Result<(), Failure> {
    for figure in figures {
        println!("{figure}");
    }
    match &common.json {
        Some(path) => Ok(write_json(path, figures)?),
        None => Ok(()),
    }
}
