//! Converts raw arguments into validated settings.

use super::{
    Command,
    arguments::{AgentArguments, Arguments, CommonArguments, RouterArguments},
    checks::{address, bytes, filter, milliseconds, name, path, seconds, url},
};
use crate::{
    error::SettingError,
    settings::{AgentSettings, CommonSettings, RouterSettings},
};

impl Arguments {
    pub(super) fn check(self) -> Result<Command, SettingError> {
        match self {
            Self::Router(arguments) => {
                let filter = filter("--log", "BULRUSHWARD_LOG", &arguments.common_arguments.log)?;
                Ok(Command::Router(Box::new(arguments.check()?), filter))
            }
            Self::Agent(arguments) => {
                let filter = filter("--log", "BULRUSHWARD_LOG", &arguments.common_arguments.log)?;
                Ok(Command::Agent(Box::new(arguments.check()?), filter))
            }
        }
    }
}

impl CommonArguments {
    fn check(self) -> Result<CommonSettings, SettingError> {
        Ok(CommonSettings {
            node: name("--node", "BULRUSHWARD_NODE", self.node)?,
            failure_domain: name(
                "--failure-domain",
                "BULRUSHWARD_FAILURE_DOMAIN",
                self.failure_domain,
            )?,
            control_address: address(
                "--control-address",
                "BULRUSHWARD_CONTROL_ADDRESS",
                &self.control_address,
            )?,
            admin_address: address(
                "--admin-address",
                "BULRUSHWARD_ADMIN_ADDRESS",
                &self.admin_address,
            )?,
            key_value: self
                .key_value
                .split(',')
                .map(|value| url("--key-value", "BULRUSHWARD_KEY_VALUE", value))
                .collect::<Result<_, _>>()?,
            vm_list: url("--vm-list", "BULRUSHWARD_VM_LIST", &self.vm_list)?,
            peers: self
                .peers
                .split(',')
                .filter(|value| !value.is_empty())
                .map(|value| address("--peers", "BULRUSHWARD_PEERS", value))
                .collect::<Result<_, _>>()?,
            exchange_interval: milliseconds(
                "--exchange-interval-ms",
                "BULRUSHWARD_EXCHANGE_INTERVAL_MS",
                &self.exchange_interval_ms,
            )?,
            platform_timeout: milliseconds(
                "--platform-timeout-ms",
                "BULRUSHWARD_PLATFORM_TIMEOUT_MS",
                &self.platform_timeout_ms,
            )?,
            drain_grace: milliseconds(
                "--drain-grace-ms",
                "BULRUSHWARD_DRAIN_GRACE_MS",
                &self.drain_grace_ms,
            )?,
        })
    }
}

impl RouterArguments {
    fn check(self) -> Result<RouterSettings, SettingError> {
        Ok(RouterSettings {
            common: self.common_arguments.check()?,
            listen: address("--listen", "BULRUSHWARD_LISTEN", &self.listen)?,
            body_limit: bytes(
                "--body-limit-bytes",
                "BULRUSHWARD_BODY_LIMIT_BYTES",
                &self.body_limit_bytes,
            )?,
            caller_timeout: milliseconds(
                "--caller-timeout-ms",
                "BULRUSHWARD_CALLER_TIMEOUT_MS",
                &self.caller_timeout_ms,
            )?,
            heartbeat_timeout: milliseconds(
                "--silence-ms",
                "BULRUSHWARD_SILENCE_MS",
                &self.silence_ms,
            )?,
        })
    }
}

impl AgentArguments {
    fn check(self) -> Result<AgentSettings, SettingError> {
        let advertised = if self.advertised_address.is_empty() {
            &self.inner_address
        } else {
            &self.advertised_address
        };
        Ok(AgentSettings {
            common: self.common_arguments.check()?,
            inner_address: address(
                "--inner-address",
                "BULRUSHWARD_INNER_ADDRESS",
                &self.inner_address,
            )?,
            advertised_address: address(
                "--advertised-address",
                "BULRUSHWARD_ADVERTISED_ADDRESS",
                advertised,
            )?,
            backend: name("--backend", "BULRUSHWARD_BACKEND", self.backend)?,
            backend_url: url(
                "--backend-url",
                "BULRUSHWARD_BACKEND_URL",
                &self.backend_url,
            )?,
            service: name("--service", "BULRUSHWARD_SERVICE", self.service)?,
            health_path: path("--health-path", "BULRUSHWARD_HEALTH_PATH", self.health_path)?,
            health_interval: milliseconds(
                "--health-interval-ms",
                "BULRUSHWARD_HEALTH_INTERVAL_MS",
                &self.health_interval_ms,
            )?,
            backend_read_timeout: milliseconds(
                "--backend-silence-ms",
                "BULRUSHWARD_BACKEND_SILENCE_MS",
                &self.backend_silence_ms,
            )?,
            response_retention: seconds(
                "--answer-retention-seconds",
                "BULRUSHWARD_ANSWER_RETENTION_SECONDS",
                &self.answer_retention_seconds,
            )?,
        })
    }
}
