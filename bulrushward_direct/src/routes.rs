//! Looks up the route, the organisation and the service of a request in a configuration.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{FleetConfig, Organisation, Route, Service, ServiceName, Target};

/// A configuration indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    config: FleetConfig,
    /// Indices of the routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    by_service: HashMap<ServiceName, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let by_key = config
            .organisations
            .iter()
            .enumerate()
            .flat_map(|(index, organisation)| {
                organisation
                    .keys
                    .iter()
                    .map(move |key| (key.clone(), index))
            })
            .collect();
        let by_service = config
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            config,
            by_host,
            by_key,
            by_service,
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the route of a host with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = strip_port(host).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let index = routes
            .iter()
            .find(|index| path.starts_with(&self.config.routes[**index].prefix))?;
        Some(&self.config.routes[*index])
    }

    /// Returns whether requests need a key, which they do as soon as any organisation is configured.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        !self.config.organisations.is_empty()
    }

    /// Returns the organisation that owns a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let index = self.by_key.get(key)?;
        Some(&self.config.organisations[*index])
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.by_service.get(name)?;
        Some(&self.config.services[*index])
    }
}

impl Route {
    /// Returns the service for a request; equal keys map to the same service while the weights are unchanged.
    #[must_use]
    pub fn service_for(&self, key: u64) -> Option<&ServiceName> {
        let positive = |target: &&Target| target.weight > 0.0;
        let total: f64 = self
            .targets
            .iter()
            .filter(positive)
            .map(|target| target.weight)
            .sum();
        let hash = xxh3_64(&key.to_le_bytes());
        let mut left = hash as f64 / u64::MAX as f64 * total;
        let mut last = None;
        for target in self.targets.iter().filter(positive) {
            last = Some(&target.service);
            left -= target.weight;
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

/// Removes the port from a host without truncating an IPv6 address.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
