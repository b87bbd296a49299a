//! Taking backend servers out of use and back, by editing the text in force.

use std::time::Duration;

use bulrushward_protocol::{BackendId, ServiceId, admin::ConfigResponse};
use toml_edit::{Array, DocumentMut, Item, TableLike, value};

use crate::{
    cli::Note,
    client::{AdminClient, Submitted},
    commands::submit::{finish, new_request},
    error::CtlError,
    output::Answer,
    source::{Source, report_errors},
};

/// Times that the edit is made anew because others changed the text meanwhile.
const MAX_ATTEMPTS: usize = 5;
/// Key of a service that lists its draining backend servers.
const DRAINING: &str = "draining";

/// The change of one backend server's state.
#[derive(Debug)]
pub(crate) struct Edit {
    backend: BackendId,
    draining: bool,
}

impl Edit {
    /// Takes a backend server out of use.
    pub(crate) fn drain(backend: BackendId) -> Self {
        let draining = true;
        Self { backend, draining }
    }

    /// Takes a backend server back into use.
    pub(crate) fn undrain(backend: BackendId) -> Self {
        let draining = false;
        Self { backend, draining }
    }

    /// Edits a text; the rest of it stays as it is.
    ///
    /// `announced` is the service that the fleet knows the backend server to belong to.
    fn apply(&self, text: &str, announced: Option<&ServiceId>) -> Result<String, CtlError> {
        let parsed = text.parse::<DocumentMut>();
        let mut document = parsed.map_err(|error| edit_error(error.to_string()))?;
        let service = self.find_service(&mut document, announced).ok_or_else(|| {
            edit_error(format!(
                "backend server {:?} is in no service of the text in force; see bulrushctl \
                     show and bulrushctl status",
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

    /// Finds the service that lists the backend server, or else the announced one.
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

    /// Whether the text says already what the edit would make it say.
    fn is_done(&self, config: &bulrushward_config::Config) -> bool {
        let mut draining = config.services.iter().flat_map(|service| &service.draining);
        draining.any(|name| *name == self.backend) == self.draining
    }
}

/// Edits the text in force and submits it, again if others were faster.
pub(crate) async fn submit_edit(
    client: &AdminClient,
    edit: &Edit,
    note: &Note,
    wait: Option<Duration>,
    json: bool,
) -> Result<Answer, CtlError> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(config) = client.config(None).await? else {
            let message = "no text has been accepted yet; submit one with --base 0".to_owned();
            return Err(CtlError::Edit { message });
        };
        let text = edited_text(client, edit, &config).await?;
        let source = Source {
            revision: None,
            text,
        };
        if let Err(errors) = source.check() {
            return Ok(report_errors("the edited text", &errors, json));
        }
        let request = new_request(config.info.revision, source.text, note);
        match client.submit(&request).await? {
            Submitted::Accepted(accepted) => return finish(client, accepted, wait, json).await,
            Submitted::Conflict(_) => {}
            Submitted::TextErrors(errors) => {
                return Ok(report_errors("the edited text", &errors, json));
            }
        }
    }
    Err(edit_error(format!(
        "the text in force changed under each of {MAX_ATTEMPTS} attempts; nothing was changed, \
         try again"
    )))
}

/// Returns the text with the edit made, the same text if it says so already.
async fn edited_text(
    client: &AdminClient,
    edit: &Edit,
    config: &ConfigResponse,
) -> Result<String, CtlError> {
    let parsed = bulrushward_config::parse(&config.text);
    let parsed = parsed.map_err(|error| edit_error(format!("the text in force: {error}")))?;
    let listed = |service: &bulrushward_config::Service| {
        service.servers.contains(&edit.backend) || service.draining.contains(&edit.backend)
    };
    let announced = if parsed.services.iter().any(listed) {
        None
    } else {
        announced_service(client, &edit.backend).await?
    };
    let known = announced.is_some() || parsed.services.iter().any(listed);
    if known && edit.is_done(&parsed) {
        return Ok(config.text.clone());
    }
    edit.apply(&config.text, announced.as_ref())
}

/// Asks the fleet which service a backend server belongs to.
async fn announced_service(
    client: &AdminClient,
    backend: &BackendId,
) -> Result<Option<ServiceId>, CtlError> {
    let status = client.status().await?;
    let mut members = status.members.into_iter();
    let member = members.find(|member| member.backend.as_ref() == Some(backend));
    Ok(member.and_then(|member| member.service))
}

/// Returns the tables of an array, however it is written.
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
