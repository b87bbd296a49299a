//! Submitting texts.

use std::{path::Path, time::Duration};

use bulrushward_protocol::{
    Revision,
    admin::{ConflictResponse, SubmitRequest, SubmitResponse},
};
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    cli::Note,
    client::{AdminClient, Submitted},
    commands::wait::{Spread, wait_in_force},
    error::CtlError,
    output::Answer,
    source::{Source, report_errors},
};

/// An accepted text and where it is in force.
#[derive(Debug, Serialize)]
struct SubmitReport {
    #[serde(flatten)]
    accepted: SubmitResponse,
    #[serde(skip_serializing_if = "Option::is_none")]
    spread: Option<Spread>,
}

/// Submits a file.
pub(crate) async fn submit_file(
    client: &AdminClient,
    file: &Path,
    base: Option<Revision>,
    note: Note,
    wait: Option<Duration>,
    json: bool,
) -> Result<Answer, CtlError> {
    let source = Source::read(file)?;
    let name = file.display().to_string();
    let Some(base) = base.or(source.revision) else {
        let message = format!(
            "--base (BULRUSHWARD_BASE): missing, and the first line of {name} is not \"# revision: N\"; give the \
             revision that the text was edited from, 0 for the first text"
        );
        return Err(CtlError::Setting { message });
    };
    if let Err(errors) = source.check() {
        return Ok(report_errors(&name, &errors, json));
    }
    let request = new_request(base, source.text.clone(), &note);
    match client.submit(&request).await? {
        Submitted::Accepted(accepted) => finish(client, accepted, wait, json).await,
        Submitted::Conflict(conflict) => Ok(report_conflict(base, &conflict, json)),
        Submitted::TextErrors(errors) => Ok(report_errors(&name, &source.in_file(errors), json)),
    }
}

/// Makes a request whose id depends on all of its content, so that a repeated command repeats it.
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

/// Reports an accepted text, after waiting if asked to.
pub(crate) async fn finish(
    client: &AdminClient,
    accepted: SubmitResponse,
    wait: Option<Duration>,
    json: bool,
) -> Result<Answer, CtlError> {
    let revision = accepted.info.revision;
    let spread = match wait {
        Some(limit) => Some(wait_in_force(client, revision, limit).await),
        None => None,
    };
    let (spread, lost) = match spread {
        Some(Ok(spread)) => (Some(spread), None),
        Some(Err(error)) => (None, Some(error)),
        None => (None, None),
    };
    let report = SubmitReport { accepted, spread };
    let answer = Answer::either(json, &report, format_report);
    if let Some(error) = lost {
        return Ok(answer.failing(format!(
            "revision {revision} is accepted, but where it is in force is not known: {error}"
        )));
    }
    let incomplete = report.spread.filter(|spread| !spread.is_complete());
    Ok(match incomplete {
        Some(spread) => answer.failing(describe_missing(revision, &spread)),
        None => answer,
    })
}

fn format_report(report: &SubmitReport) -> String {
    let revision = report.accepted.info.revision;
    let state = if report.accepted.unchanged {
        "is the same text; nothing was changed"
    } else {
        "is accepted"
    };
    let complete = report.spread.as_ref().filter(|spread| spread.is_complete());
    let in_force = complete.map_or_else(String::new, |spread| {
        format!(
            "in force on all {} live processes after {} ms\n",
            spread.in_force, spread.waited_ms
        )
    });
    format!("revision {revision} {state}\n{in_force}")
}

fn describe_missing(revision: Revision, spread: &Spread) -> String {
    let missing: Vec<_> = spread
        .missing
        .iter()
        .map(|missing| {
            format!(
                "{} (revision {}, last word {} ms ago)",
                missing.node, missing.revision, missing.age_ms
            )
        })
        .collect();
    let live = spread.in_force + missing.len();
    if live == 0 {
        return format!(
            "revision {revision} is accepted, but no live process is known; see bulrushctl status"
        );
    }
    format!(
        "revision {revision} is accepted, but after {} ms it is not in force on {} of {live} live \
         processes: {}; see bulrushctl status",
        spread.waited_ms,
        missing.len(),
        missing.join(", ")
    )
}

fn report_conflict(base: Revision, conflict: &ConflictResponse, json: bool) -> Answer {
    let current = &conflict.current;
    Answer::either(json, conflict, |conflict| {
        format!(
            "--- revision {base}\n+++ revision {}\n{}",
            conflict.current.revision, conflict.diff
        )
    })
    .failing(format!(
        "the text was not accepted: revision {} by {} ({}) came after its base {base}; take over \
         the changes above and submit again with --base {}",
        current.revision, current.author, current.why, current.revision
    ))
}
