//! Submission of configuration texts.

use std::{path::Path, time::Duration};

use bulrushward_protocol::{
    Revision,
    admin::{ConflictResponse, SubmitRequest, SubmitResponse},
};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    cli::Note,
    client::{AdminClient, SubmitOutcome},
    commands::wait::{Rollout, wait_until_active},
    error::CtlError,
    output::CommandOutput,
    source::{ConfigSource, report_errors},
};

/// An accepted text and the processes on which it is active.
#[derive(Debug, Serialize)]
struct SubmitReport {
    #[serde(flatten)]
    accepted: SubmitResponse,
    #[serde(skip_serializing_if = "Option::is_none")]
    spread: Option<Rollout>,
}

/// Submits the configuration text in a file.
pub(crate) async fn submit_file(
    client: &AdminClient,
    file: &Path,
    base: Option<Revision>,
    note: Note,
    wait: Option<Duration>,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let source = ConfigSource::read(file)?;
    let name = file.display().to_string();
    let Some(base) = base.or(source.revision) else {
        let message = format!(
            "--base (BULRUSHWARD_BASE): missing, and the first line of {name} is not \"# revision: N\"; give the \
             revision on which the text is based, 0 for the first text"
        );
        return Err(CtlError::Setting { message });
    };
    if let Err(errors) = source.check() {
        return Ok(report_errors(&name, &errors, json));
    }
    let request = new_request(base, source.text.clone(), &note);
    match client.submit(&request).await? {
        SubmitOutcome::Accepted(accepted) => report_accepted(client, accepted, wait, json).await,
        SubmitOutcome::Conflict(conflict) => Ok(report_conflict(base, &conflict, json)),
        SubmitOutcome::TextErrors(errors) => {
            Ok(report_errors(&name, &source.with_file_lines(errors), json))
        }
    }
}

/// Creates a request whose submission id is a hash of its content.
///
/// Running the same command again thus resends the same submission, which is accepted only once.
pub(crate) fn new_request(base: Revision, text: String, note: &Note) -> SubmitRequest {
    let mut hash = Sha256::new();
    hash.update(base.to_be_bytes());
    for field in [&text, &note.author, &note.why] {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    let mut id = [0; size_of::<u128>()];
    id.copy_from_slice(&hash.finalize()[..size_of::<u128>()]);
    SubmitRequest {
        base,
        text,
        author: note.author.clone(),
        why: note.why.clone(),
        submission: u128::from_be_bytes(id),
    }
}

/// Reports an accepted text, after waiting until it is active if `wait` is given.
pub(crate) async fn report_accepted(
    client: &AdminClient,
    accepted: SubmitResponse,
    wait: Option<Duration>,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    let revision = accepted.info.revision;
    let rollout = match wait {
        Some(limit) => Some(wait_until_active(client, revision, limit).await),
        None => None,
    };
    let (rollout, wait_error) = match rollout {
        Some(Ok(rollout)) => (Some(rollout), None),
        Some(Err(error)) => (None, Some(error)),
        None => (None, None),
    };
    let report = SubmitReport {
        accepted,
        spread: rollout,
    };
    let output = CommandOutput::json_or_text(json, &report, format_report);
    if let Some(error) = wait_error {
        return Ok(output.with_failure(format!(
            "revision {revision} is accepted, but it is not known where it is active: {error}"
        )));
    }
    let incomplete = report.spread.filter(|rollout| !rollout.is_complete());
    Ok(match incomplete {
        Some(rollout) => output.with_failure(describe_missing(revision, &rollout)),
        None => output,
    })
}

fn format_report(report: &SubmitReport) -> String {
    let revision = report.accepted.info.revision;
    let state = if report.accepted.unchanged {
        "already has this text; nothing was changed"
    } else {
        "is accepted"
    };
    let complete = report
        .spread
        .as_ref()
        .filter(|rollout| rollout.is_complete());
    let active_line = complete.map_or_else(String::new, |rollout| {
        format!(
            "active on all {} live processes after {} ms\n",
            rollout.in_force, rollout.waited_ms
        )
    });
    format!("revision {revision} {state}\n{active_line}")
}

fn describe_missing(revision: Revision, rollout: &Rollout) -> String {
    let missing: Vec<_> = rollout
        .missing
        .iter()
        .map(|missing| {
            format!(
                "{} (revision {}, last heard from {} ms ago)",
                missing.node, missing.revision, missing.age_ms
            )
        })
        .collect();
    let live = rollout.in_force + missing.len();
    if live == 0 {
        return format!(
            "revision {revision} is accepted, but no live process is known; see bulrushctl status"
        );
    }
    format!(
        "revision {revision} is accepted, but after {} ms it is not active on {} of {live} live \
         processes: {}; see bulrushctl status",
        rollout.waited_ms,
        missing.len(),
        missing.join(", ")
    )
}

fn report_conflict(base: Revision, conflict: &ConflictResponse, json: bool) -> CommandOutput {
    let current = &conflict.current;
    CommandOutput::json_or_text(json, conflict, |conflict| {
        format!(
            "--- revision {base}\n+++ revision {}\n{}",
            conflict.current.revision, conflict.diff
        )
    })
    .with_failure(format!(
        "the text was not accepted: revision {} by {} ({}) is newer than its base {base}; merge \
         the changes above and submit again with --base {}",
        current.revision, current.author, current.why, current.revision
    ))
}
