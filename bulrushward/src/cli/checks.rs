//! Validation of single settings.

use std::{net::SocketAddr, time::Duration};

use crate::error::{InvalidValueSnafu, MissingSnafu, SettingError};

/// Longest accepted duration in milliseconds: one day.
const MAX_MILLISECONDS: u64 = 24 * 60 * 60 * 1_000;
/// Longest accepted duration in seconds: one day.
const MAX_SECONDS: u64 = 24 * 60 * 60;
/// Largest accepted body limit in bytes; agents accept requests of up to twice this size.
const MAX_BODY_BYTES: u64 = 32 << 20;

/// Checks a required name.
pub(super) fn name(
    name: &'static str,
    variable: &'static str,
    value: String,
) -> Result<String, SettingError> {
    require(name, variable, &value)?;
    let valid = value
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if valid {
        return Ok(value);
    }
    invalid(name, variable, &value, "letters, digits, '-', '_' or '.'")
}

/// Parses a required socket address.
pub(super) fn address(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<SocketAddr, SettingError> {
    require(name, variable, value)?;
    value
        .parse()
        .or_else(|_not_an_address| invalid(name, variable, value, "IP:PORT"))
}

/// Checks a required `http` URL and removes its trailing slashes.
pub(super) fn url(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<String, SettingError> {
    require(name, variable, value)?;
    let parsed = reqwest::Url::parse(value);
    if parsed.is_ok_and(|url| url.scheme() == "http" && url.has_host()) {
        return Ok(value.trim_end_matches('/').to_owned());
    }
    invalid(name, variable, value, "http://HOST[:PORT][/PATH]")
}

/// Checks a URL path.
pub(super) fn path(
    name: &'static str,
    variable: &'static str,
    value: String,
) -> Result<String, SettingError> {
    let valid = value.starts_with('/') && value.chars().all(|c| c.is_ascii_graphic());
    if valid {
        return Ok(value);
    }
    invalid(name, variable, &value, "a path such as /health")
}

/// Checks a log filter.
pub(super) fn filter(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<String, SettingError> {
    if bulrushward_logging::check_filter(value).is_ok() {
        return Ok(value.to_owned());
    }
    invalid(name, variable, value, "info, debug or MODULE=LEVEL,…")
}

/// Parses a body limit in bytes.
pub(super) fn bytes(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<usize, SettingError> {
    match number(value, MAX_BODY_BYTES) {
        Some(number) => Ok(number as usize),
        None => invalid(
            name,
            variable,
            value,
            "a whole number of bytes from 1 to 33554432",
        ),
    }
}

/// Parses a duration in milliseconds.
pub(super) fn milliseconds(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<Duration, SettingError> {
    match number(value, MAX_MILLISECONDS) {
        Some(number) => Ok(Duration::from_millis(number)),
        None => invalid(
            name,
            variable,
            value,
            "a whole number of milliseconds from 1 to 86400000",
        ),
    }
}

/// Parses a duration in seconds.
pub(super) fn seconds(
    name: &'static str,
    variable: &'static str,
    value: &str,
) -> Result<Duration, SettingError> {
    match number(value, MAX_SECONDS) {
        Some(number) => Ok(Duration::from_secs(number)),
        None => invalid(
            name,
            variable,
            value,
            "a whole number of seconds from 1 to 86400",
        ),
    }
}

fn number(value: &str, max: u64) -> Option<u64> {
    let number = value.parse().ok()?;
    (1..=max).contains(&number).then_some(number)
}

fn require(name: &'static str, variable: &'static str, value: &str) -> Result<(), SettingError> {
    if value.is_empty() {
        return MissingSnafu { name, variable }.fail();
    }
    Ok(())
}

fn invalid<T>(
    name: &'static str,
    variable: &'static str,
    value: &str,
    expected: &'static str,
) -> Result<T, SettingError> {
    InvalidValueSnafu {
        name,
        variable,
        value,
        expected,
    }
    .fail()
}
