//! Implementation of the commands.

mod drain;
mod explain;
mod read;
mod submit;
mod wait;

use crate::{
    cli::Command,
    client::AdminClient,
    error::CtlError,
    output::CommandOutput,
    source::{ConfigSource, report_errors},
};

/// Runs a command.
pub(crate) async fn run(command: Command) -> Result<CommandOutput, CtlError> {
    match command {
        Command::Check { format, file } => {
            let checked = ConfigSource::read(&file)?.check();
            let name = file.display().to_string();
            Ok(match checked {
                Ok(()) if format.json => CommandOutput::text("{\n  \"errors\": []\n}\n"),
                Ok(()) => CommandOutput::text(format!("{name} has no errors")),
                Err(errors) => report_errors(&name, &errors, format.json),
            })
        }
        Command::Submit {
            connection,
            format,
            note,
            base,
            wait,
            file,
        } => {
            let client = AdminClient::new(&connection)?;
            submit::submit_file(&client, &file, base, note, wait, format.json).await
        }
        Command::Show {
            connection,
            format,
            revision,
        } => {
            let client = AdminClient::new(&connection)?;
            read::show(&client, revision, format.json).await
        }
        Command::Diff {
            connection,
            format,
            file,
        } => {
            let client = AdminClient::new(&connection)?;
            read::diff(&client, &file, format.json).await
        }
        Command::History {
            connection,
            format,
            limit,
            diff,
        } => {
            let client = AdminClient::new(&connection)?;
            read::history(&client, limit, diff, format.json).await
        }
        Command::Status { connection, format } => {
            let client = AdminClient::new(&connection)?;
            read::status(&client, format.json).await
        }
        Command::Drain {
            connection,
            format,
            note,
            wait,
            backend,
        } => {
            let client = AdminClient::new(&connection)?;
            let edit = drain::DrainEdit::drain(backend);
            drain::submit_edit(&client, &edit, &note, wait, format.json).await
        }
        Command::Undrain {
            connection,
            format,
            note,
            wait,
            backend,
        } => {
            let client = AdminClient::new(&connection)?;
            let edit = drain::DrainEdit::undrain(backend);
            drain::submit_edit(&client, &edit, &note, wait, format.json).await
        }
        Command::Explain { request, logs } => explain::explain(&request, &logs),
    }
}
