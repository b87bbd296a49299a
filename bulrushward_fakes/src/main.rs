//! Runs one test double of an external system as a process; for tests and the demo only.

mod cli;

use std::{io, process::ExitCode};

use bulrushward_fakes::{
    Fake, FakeEngine, FakeKeyValue, FakePlain, FakeState, FakeVmList, OnCrash, PlainSettings,
};
use mimalloc::MiMalloc;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::{
    filter::{LevelFilter, Targets},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::cli::Command;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    let rust_log = std::env::var("RUST_LOG").ok();
    let filter = rust_log.and_then(|filter| filter.parse().ok());
    tracing_subscriber::registry()
        .with(filter.unwrap_or_else(|| Targets::new().with_default(LevelFilter::INFO)))
        .with(tracing_logfmt::builder().layer().with_writer(io::stderr))
        .init();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bulrushward-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::KeyValue { addresses } => {
            let fake = FakeKeyValue::start_at(addresses).await?;
            run_until_stop(fake).await
        }
        Command::VmList { addresses, file } => {
            let fake = FakeVmList::start_at(addresses, file).await?;
            run_until_stop(fake).await
        }
        Command::Engine {
            addresses,
            settings,
        } => {
            let fake = FakeEngine::start_at(addresses, settings).await?;
            run_until_stop(fake).await
        }
        Command::Plain { addresses } => {
            let settings = PlainSettings {
                on_crash: OnCrash::Abort,
            };
            let fake = FakePlain::start_at(addresses, settings).await?;
            run_until_stop(fake).await
        }
    }
}

/// Prints the addresses of a fake on standard output and stops it on SIGTERM or SIGINT.
async fn run_until_stop<S: FakeState>(fake: Fake<S>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let addresses = fake.addresses();
    println!(
        "listening address={} admin={}",
        addresses.public, addresses.admin
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    fake.stop().await;
    Ok(())
}
