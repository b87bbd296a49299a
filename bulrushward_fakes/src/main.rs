//! Stand-ins for the outside systems, for tests and the demo only.

mod cli;

use std::{io, net::SocketAddr, process::ExitCode};

use bulrushward_fakes::{FakeEngine, FakeKeyValue, FakePlain, FakeVmList};
use mimalloc::MiMalloc;
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Command;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
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
        Command::KeyValue { address } => {
            let fake = FakeKeyValue::start_at(address).await?;
            wait_for_stop(fake.address()).await?;
            fake.stop().await;
        }
        Command::VmList { address, file } => {
            let fake = FakeVmList::start_at(address, file).await?;
            wait_for_stop(fake.address()).await?;
            fake.stop().await;
        }
        Command::Engine { address, settings } => {
            let fake = FakeEngine::start_at(address, settings.into()).await?;
            wait_for_stop(fake.address()).await?;
            fake.stop().await;
        }
        Command::Plain { address } => {
            let fake = FakePlain::start_at(address).await?;
            wait_for_stop(fake.address()).await?;
            fake.stop().await;
        }
    }
    Ok(())
}

/// Says where the stand-in listens and waits for SIGTERM or SIGINT.
async fn wait_for_stop(address: SocketAddr) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    println!("listening address={address}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
