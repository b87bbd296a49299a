//! Drains and undrains backend servers by editing the active configuration text.

use std::time::Duration;

use bulrushward_protocol::{BackendId, ServiceId, admin::ConfigResponse};
use toml_edit::{Array, DocumentMut, Item, TableLike, value};

use crate::{
    cli::Note,
    client::{AdminClient, SubmitOutcome},
    commands::submit::{new_request, report_accepted},
    error::CtlError,
    output::CommandOutput,
    source::{ConfigSource, report_errors},
};

/// Maximum number of submissions if other operators change the configuration at the same time.
const MAX_ATTEMPTS: usize = 5;
/// Key in a service's table that lists its draining backend servers.
const DRAINING: &str = "draining";

/// An edit that drains or undrains one backend server.
#[derive(Debug)]
pub(crate) struct DrainEdit {
    backend: BackendId,
    draining: bool,
}

impl DrainEdit {
    /// Creates an edit that takes a backend server out of use.
    pub(crate) fn drain(backend: BackendId) -> Self {
        let draining = true;
        Self { backend, draining }
    }

    /// Creates an edit that puts a backend server back into use.
    pub(crate) fn undrain(backend: BackendId) -> Self {
        let draining = false;
        Self { backend, draining }
    }

    /// Returns the edited text, in which everything else stays as it was.
    ///
    /// `announced` is the service to which the backend server belongs according to its agent.
    fn apply(&self, text: &str, announced: Option<&ServiceId>) -> Result<String, CtlError> {
        let parsed = text.parse::<DocumentMut>();
        let mut document = parsed.map_err(|error| edit_error(error.to_string()))?;
        let service = self.find_service(&mut document, announced).ok_or_else(|| {
            edit_error(format!(
                "backend server {:?} is not in any service of the active configuration; see \
                     bulrushctl show and bulrushctl status",
                self.backend
            ))
        })?;
        let item = service.entry(DRAINING).or_insert(value(Array::new()));
        let Some(names) = item.as_array_mut() else {
            return Err(edit_error(format!("{DRAINING} is not an array")));
        };
        names.retain(|name| name.as_str() != Some(&self.backend));
        if self.draining {
            names.push(self.backend.as_str());
        }
        Ok(document.to_string())
    }

    /// Returns the service that lists the backend server, or otherwise the announced service.
    fn find_service<'d>(
        &self,
        document: &'d mut DocumentMut,
        announced: Option<&ServiceId>,
    ) -> Option<&'d mut dyn TableLike> {
        let lists = |service: &dyn TableLike, key: &str| {
            let names = service.get(key).and_then(Item::as_array);
            let mut names = names.into_iter().flatten();
            names.any(|name| name.as_str() == Some(&self.backend))
        };
        let is_announced = |service: &dyn TableLike| {
            announced.is_some_and(|announced| {
                service.get("name").and_then(Item::as_str) == Some(announced)
            })
        };
        let services = tables(document.get_mut("service")?);
        let (listing, others): (Vec<_>, Vec<_>) = services
            .into_iter()
            .partition(|service| lists(*service, "servers") || lists(*service, DRAINING));
        listing
            .into_iter()
            .next()
            .or_else(|| others.into_iter().find(|service| is_announced(*service)))
    }

    /// Returns whether the edit would not change the configuration.
    fn is_already_applied(&self, config: &bulrushward_config::Config) -> bool {
        let mut draining = config.services.iter().flat_map(|service| &service.draining);
        draining.any(|name| *name == self.backend) == self.draining
    }
}

/// Edits the active configuration text and submits it, with retries after conflicts.
pub(crate) async fn submit_edit(
    client: &AdminClient,
    edit: &DrainEdit,
    note: &Note,
    wait: Option<Duration>,
    json: bool,
) -> Result<CommandOutput, CtlError> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(config) = client.config(None).await? else {
            let message =
                "no configuration has been accepted yet; submit one with --base 0".to_owned();
            return Err(CtlError::Edit { message });
        };
        let text = edited_text(client, edit, &config).await?;
        let source = ConfigSource {
            revision: None,
            text,
        };
        if let Err(errors) = source.check() {
            return Ok(report_errors("the edited text", &errors, json));
        }
        let request = new_request(config.info.revision, source.text, note);
        match client.submit(&request).await? {
            SubmitOutcome::Accepted(accepted) => {
                return report_accepted(client, accepted, wait, json).await;
            }
            SubmitOutcome::Conflict(_) => {}
            SubmitOutcome::TextErrors(errors) => {
                return Ok(report_errors("the edited text", &errors, json));
            }
        }
    }
    Err(edit_error(format!(
        "others changed the configuration during each of {MAX_ATTEMPTS} attempts; nothing was \
         changed, try again"
    )))
}

/// Returns the edited text, or the same text if the edit would not change it.
async fn edited_text(
    client: &AdminClient,
    edit: &DrainEdit,
    config: &ConfigResponse,
) -> Result<String, CtlError> {
    let parsed = bulrushward_config::parse(&config.text);
    let parsed = parsed
        .map_err(|error| edit_error(format!("the active configuration is invalid: {error}")))?;
    let listed = |service: &bulrushward_config::Service| {
        service.servers.contains(&edit.backend) || service.draining.contains(&edit.backend)
    };
    let announced = if parsed.services.iter().any(listed) {
        None
    } else {
        announced_service(client, &edit.backend).await?
    };
    let known = announced.is_some() || parsed.services.iter().any(listed);
    if known && edit.is_already_applied(&parsed) {
        return Ok(config.text.clone());
    }
    edit.apply(&config.text, announced.as_ref())
}

/// Returns the service that the agent of a backend server announces.
async fn announced_service(
    client: &AdminClient,
    backend: &BackendId,
) -> Result<Option<ServiceId>, CtlError> {
    let status = client.status().await?;
    let mut members = status.members.into_iter();
    let member = members.find(|member| member.backend.as_ref() == Some(backend));
    Ok(member.and_then(|member| member.service))
}

/// Returns the tables of an array of tables or of an inline array.
fn tables(item: &mut Item) -> Vec<&mut dyn TableLike> {
    match item {
        Item::ArrayOfTables(tables) => tables
            .iter_mut()
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        Item::Value(toml_edit::Value::Array(tables)) => tables
            .iter_mut()
            .filter_map(|table| table.as_inline_table_mut())
            .map(|table| table as &mut dyn TableLike)
            .collect(),
        _ => Vec::new(),
    }
}

fn edit_error(message: String) -> CtlError {
    CtlError::Edit { message }
}
