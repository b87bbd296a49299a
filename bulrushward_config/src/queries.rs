//! Lookups of services, kinds of work and organisations.

use crate::{Config, Kind, Organisation, Service};

impl Config {
    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the service that serves the given model.
    #[must_use]
    pub fn service_for_model(&self, model: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.models.iter().any(|served| served == model))
    }

    /// Returns the kind of work of a request, or `None` if it names one that the service does not
    /// accept.
    ///
    /// A request that names no kind gets the first one whose `max_tokens` it does not exceed; a
    /// kind without `max_tokens` accepts any request. If none fits, the request gets the kind with
    /// the longest deadline.
    #[must_use]
    pub fn kind_for(
        &self,
        service: &Service,
        named: Option<&str>,
        max_tokens: Option<u64>,
    ) -> Option<&Kind> {
        let allowed = |kind: &&Kind| service.kinds.is_empty() || service.kinds.contains(&kind.name);
        let mut kinds = self.kinds.iter().filter(allowed);
        if let Some(named) = named {
            return kinds.find(|kind| kind.name == named);
        }
        let fits = |kind: &&Kind| {
            kind.max_tokens
                .is_none_or(|limit| max_tokens.is_some_and(|requested| requested <= limit))
        };
        kinds
            .clone()
            .find(fits)
            .or_else(|| kinds.max_by_key(|kind| kind.deadline))
    }

    /// Returns the organisation that the API key belongs to.
    #[must_use]
    pub fn organisation_for_key(&self, api_key: &str) -> Option<&Organisation> {
        self.organisations.get(self.keys.find(api_key)?)
    }
}
