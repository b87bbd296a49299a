//! Keys and allowed values of the sections of the configuration text.

use std::{borrow::Cow, marker::PhantomData, time::Duration};

use toml::Spanned;

use crate::{
    Fleet, Kind, Organisation, Protocol, Service,
    rule::{Boolean, CALL_PATTERN, Integer, KeyHash, MODEL_NAME, NAME, Number, Sha256Hex, Variant},
    symbol_table::{DrainingServers, Name, OwnedItem, SymbolTable},
    table_reader::TableReader,
};

/// Upper limit of all durations in seconds, which is one year.
const MAX_SECONDS: u64 = 365 * 24 * 3_600;
/// Largest integer that TOML allows.
const MAX_INTEGER: u64 = i64::MAX as u64;
/// Default of `load_floor`, in work units.
const DEFAULT_LOAD_FLOOR: u64 = 16_384;
/// Default of `concurrency`, in requests.
const DEFAULT_CONCURRENCY: u64 = 16;
/// Default of `queue`, in requests.
const DEFAULT_QUEUE: u64 = 64;
/// Default of `weight`.
const DEFAULT_WEIGHT: f64 = 1.0;

const SECONDS: Integer = Integer {
    min: 1,
    max: MAX_SECONDS,
};
const MILLISECONDS: Integer = Integer {
    min: 1,
    max: MAX_SECONDS * 1_000,
};
const FRACTION: Number = Number {
    min: 0.0,
    min_allowed: true,
    max: 1.0,
};
const LOAD_MULTIPLE: Number = Number {
    min: 1.0,
    min_allowed: false,
    max: 100.0,
};
const WEIGHT: Number = Number {
    min: 0.0,
    min_allowed: false,
    max: 1_000.0,
};
const REQUEST_RATE: Number = Number {
    min: 0.0,
    min_allowed: false,
    max: 1_000_000.0,
};
const PRIORITY: Integer = Integer {
    min: 0,
    max: u8::MAX as u64,
};
const CRASHES: Integer = Integer {
    min: 1,
    max: u8::MAX as u64,
};
const CONCURRENCY: Integer = Integer {
    min: 1,
    max: 65_536,
};
const QUEUE: Integer = Integer {
    min: 0,
    max: 1_000_000,
};
const POSITIVE: Integer = Integer {
    min: 1,
    max: MAX_INTEGER,
};

/// Reads the `[fleet]` table.
pub(crate) fn read_fleet(mut table: TableReader<'_, '_, '_>) -> Fleet {
    let default = Fleet::default();
    let crashes = u64::from(default.quarantine_crashes);
    let mut fleet = Fleet {
        load_multiple: table.optional_or("load_multiple", &LOAD_MULTIPLE, default.load_multiple),
        retry_fraction: table.optional_or("retry_fraction", &FRACTION, default.retry_fraction),
        quarantine_crashes: table.optional_or("quarantine_crashes", &CRASHES, crashes) as u8,
        quarantine: read_seconds(&mut table, "quarantine_seconds", default.quarantine),
        claim_retention: read_seconds(
            &mut table,
            "claim_retention_seconds",
            default.claim_retention,
        ),
        fingerprint_window: default.fingerprint_window,
    };
    if let Some(window) = table.optional("fingerprint_window_seconds", &SECONDS) {
        fleet.fingerprint_window = Duration::from_secs(*window.get_ref());
        if fleet.fingerprint_window > fleet.claim_retention {
            let message = format!(
                "fingerprint_window_seconds: found {}, expected at most claim_retention_seconds, \
                 which is {}",
                window.get_ref(),
                fleet.claim_retention.as_secs()
            );
            table.report_error(&window.span(), message);
        }
    }
    table.finish();
    fleet
}

fn read_seconds(
    table: &mut TableReader<'_, '_, '_>,
    key: &'static str,
    default: Duration,
) -> Duration {
    Duration::from_secs(table.optional_or(key, &SECONDS, default.as_secs()))
}

/// Reads one `[[kind]]` table and adds its share to `reserved`, the sum of all shares read so far.
pub(crate) fn read_kind<'a>(
    mut table: TableReader<'_, '_, 'a>,
    symbols: &mut SymbolTable<'a>,
    reserved: &mut f64,
) -> Option<Kind> {
    let name = table.required("name", &NAME);
    symbols.kinds.extend(name.clone());
    let priority = table.required("priority", &PRIORITY);
    let first_token = table.required("first_token_ms", &MILLISECONDS);
    let deadline = table.required("deadline_seconds", &SECONDS);
    let max_tokens = table.optional("max_tokens", &POSITIVE);
    let share = table.optional("reserved_share", &FRACTION);
    if let (Some(first_token), Some(deadline)) = (&first_token, &deadline)
        && *first_token.get_ref() > deadline.get_ref() * 1_000
    {
        let (found, deadline) = (first_token.get_ref(), deadline.get_ref());
        let message = format!(
            "first_token_ms: found {found}, expected at most deadline_seconds, {deadline} s"
        );
        table.report_error(&first_token.span(), message);
    }
    if let Some(share) = &share {
        *reserved += share.get_ref();
        // The sum of shares such as 0.7, 0.2 and 0.1 is slightly above 1 because of rounding.
        if *reserved > 1.0 + f64::EPSILON * 8.0 {
            let message = format!(
                "reserved_share: the shares of all kinds up to here add up to {reserved:.3}, \
                 expected at most 1"
            );
            table.report_error(&share.span(), message);
        }
    }
    table.finish();
    Some(Kind {
        name: name?.into_inner().into_owned(),
        priority: priority?.into_inner() as u8,
        first_token: Duration::from_millis(first_token?.into_inner()),
        deadline: Duration::from_secs(deadline?.into_inner()),
        max_tokens: max_tokens.map(Spanned::into_inner),
        reserved_share: share.map_or(0.0, Spanned::into_inner),
    })
}

/// Reads one `[[service]]` table.
pub(crate) fn read_service<'a>(
    mut table: TableReader<'_, '_, 'a>,
    symbols: &mut SymbolTable<'a>,
) -> Option<Service> {
    let name = table.required("name", &NAME);
    symbols.services.extend(name.clone());
    let protocol = table.required("protocol", &Variant::<Protocol>(PhantomData));
    let models = table.optional_list("models", &MODEL_NAME);
    let servers = table.optional_list("servers", &NAME);
    let depends_on = table.optional_list("depends_on", &NAME);
    let kinds = table.optional_list("kinds", &NAME);
    let draining = table.optional_list("draining", &NAME);
    if let (Some(protocol), Some(model)) = (&protocol, models.first())
        && *protocol.get_ref() != Protocol::Chat
    {
        let message = "models: found in a service with protocol \"plain\", expected only with \
                       \"chat\"";
        table.report_error(&model.span(), message.to_owned());
    }
    let load_floor = table.optional_or("load_floor", &POSITIVE, DEFAULT_LOAD_FLOOR);
    let concurrency = table.optional_or("concurrency", &CONCURRENCY, DEFAULT_CONCURRENCY);
    let queue = table.optional_or("queue", &QUEUE, DEFAULT_QUEUE);
    let idempotent = table.optional_list("idempotent", &CALL_PATTERN);
    let not_idempotent = table.optional_list("not_idempotent", &CALL_PATTERN);
    let checks_fencing = table.optional_or("checks_fencing", &Boolean, false);
    table.finish();
    let name = name?.into_inner();
    symbols.draining.push(DrainingServers {
        servers: servers.clone(),
        names: draining.clone(),
    });
    symbols.models.extend(owned_by(&name, &models));
    symbols.servers.extend(owned_by(&name, &servers));
    symbols.dependencies.extend(owned_by(&name, &depends_on));
    symbols.kinds_of_services.extend(owned_by(&name, &kinds));
    Some(Service {
        name: name.into_owned(),
        protocol: protocol?.into_inner(),
        models: to_strings(&models),
        servers: to_strings(&servers),
        depends_on: to_strings(&depends_on),
        load_floor,
        concurrency: concurrency as u32,
        queue: queue as u32,
        idempotent: to_strings(&idempotent),
        not_idempotent: to_strings(&not_idempotent),
        checks_fencing,
        kinds: to_strings(&kinds),
        draining: to_strings(&draining),
    })
}

/// Reads one `[[organisation]]` table and the hashes of its API keys.
pub(crate) fn read_organisation<'a>(
    mut table: TableReader<'_, '_, 'a>,
    symbols: &mut SymbolTable<'a>,
) -> Option<(Organisation, Vec<KeyHash>)> {
    let name = table.required("name", &NAME);
    symbols.organisations.extend(name.clone());
    let keys = table.required_list("key_sha256", &Sha256Hex);
    let weight = table.optional_or("weight", &WEIGHT, DEFAULT_WEIGHT);
    let rate = table.optional("requests_per_second", &REQUEST_RATE);
    table.finish();
    let name = name?.into_inner();
    symbols.keys.extend(keys.iter().map(|key| OwnedItem {
        owner: name.clone(),
        item: key.clone(),
    }));
    let hashes: Vec<_> = keys.into_iter().map(Spanned::into_inner).collect();
    let organisation = Organisation {
        name: name.into_owned(),
        key_sha256: hashes.iter().map(format_hash).collect(),
        weight,
        requests_per_second: rate.map(Spanned::into_inner),
    };
    Some((organisation, hashes))
}

fn owned_by<'a>(
    owner: &Cow<'a, str>,
    names: &[Name<'a>],
) -> impl Iterator<Item = OwnedItem<'a, Cow<'a, str>>> {
    names.iter().cloned().map(|item| OwnedItem {
        owner: owner.clone(),
        item,
    })
}

fn to_strings(names: &[Name<'_>]) -> Vec<String> {
    names
        .iter()
        .map(|name| name.get_ref().to_string())
        .collect()
}

fn format_hash(hash: &KeyHash) -> String {
    let (high, low) = hash.split_at(size_of::<u128>());
    let half = |bytes: &[u8]| {
        bytes
            .iter()
            .fold(0, |sum, byte| sum << 8 | u128::from(*byte))
    };
    format!("{:032x}{:032x}", half(high), half(low))
}
