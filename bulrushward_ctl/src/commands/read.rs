//! Read-only commands.

use std::path::Path;

use bulrushward_config::text_diff;
use bulrushward_protocol::{
    Revision,
    admin::{HistoryEntry, MemberStatus, StatusResponse},
};
use serde::Serialize;

use crate::{
    client::AdminClient,
    error::CtlError,
    output::{CommandOutput, format_table, format_time},
    source::{ConfigSource, with_revision},
};

/// Difference between the active configuration text and a file.
#[derive(Debug, Serialize)]
struct DiffReport {
    /// Revision of the active text, 0 if there is none.
    revision: Revision,
    /// Unified diff from the active text to the file.
    diff: String,
}

/// Prints a revision of the configuration text, by default the active one.
pub(crate) async fn show(
    client: &AdminClient,
    revision: Option<Revision>,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let Some(config) = client.config(revision).await? else {
        let missing = match revision {
            Some(revision) => format!("revision {revision} does not exist; see bulrushctl history"),
            None => "no configuration has been accepted yet; submit one with --base 0".to_owned(),
        };
        return Ok(CommandOutput::default().with_failure(missing));
    };
    Ok(CommandOutput::json_or_text(json, &config, |config| {
        with_revision(config.info.revision, &config.text)
    }))
}

/// Prints the difference between the active configuration text and a file.
pub(crate) async fn diff(
    client: &AdminClient,
    file: &Path,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let source = ConfigSource::read(file)?;
    let config = client.config(None).await?;
    let (revision, text) = config.map_or((0, String::new()), |config| {
        (config.info.revision, config.text)
    });
    let report = DiffReport {
        revision,
        diff: text_diff(&text, &source.text),
    };
    Ok(CommandOutput::json_or_text(json, &report, |report| {
        if report.diff.is_empty() {
            format!("no difference from revision {}", report.revision)
        } else {
            format!(
                "--- revision {}\n+++ {}\n{}",
                report.revision,
                file.display(),
                report.diff
            )
        }
    }))
}

/// Lists accepted changes.
pub(crate) async fn history(
    client: &AdminClient,
    limit: usize,
    diff: bool,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let history = client.history(limit).await?;
    let format_entry = |entry: &HistoryEntry| {
        let info = &entry.info;
        let at = format_time(info.at);
        let line = format!(
            "revision {}  {at}  {}: {}\n",
            info.revision, info.author, info.why
        );
        if diff {
            line + &entry.diff + "\n"
        } else {
            line
        }
    };
    Ok(CommandOutput::json_or_text(json, &history, |history| {
        if history.entries.is_empty() {
            return "no configuration has been accepted yet".to_owned();
        }
        history.entries.iter().map(format_entry).collect()
    }))
}

/// Lists all processes of the fleet.
pub(crate) async fn status(client: &AdminClient, json: bool) -> Result<CommandOutput, CtlError> {
    let status = client.status().await?;
    Ok(CommandOutput::json_or_text(json, &status, format_status))
}

fn format_status(status: &StatusResponse) -> String {
    let heading = [
        "NODE", "ROLE", "STATE", "DOMAIN", "SERVICE", "BACKEND", "REVISION", "LOAD", "QUEUED",
        "REFUSALS", "AGE",
    ];
    let mut members: Vec<_> = status.members.iter().collect();
    members.sort_by(|one, other| one.node.cmp(&other.node));
    let rows: Vec<_> = std::iter::once(heading.map(str::to_owned).to_vec())
        .chain(members.into_iter().map(status_row))
        .collect();
    format!(
        "newest revision {} according to {}\n{}",
        status.newest_revision,
        status.node,
        format_table(&rows)
    )
}

fn status_row(member: &MemberStatus) -> Vec<String> {
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    vec![
        member.node.clone(),
        member.role.to_string(),
        member.state.to_string(),
        member.failure_domain.clone(),
        or_dash(member.service.clone()),
        or_dash(member.backend.clone()),
        member.revision.to_string(),
        member.load.to_string(),
        member.queued.to_string(),
        or_dash(member.refusals.map(|refusals| refusals.to_string())),
        format!("{} ms", member.age.as_millis()),
    ]
}
