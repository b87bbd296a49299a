//! Rules that check and convert values of the configuration text.

use std::{borrow::Cow, str::FromStr};

use sha2::{Digest, Sha256};
use strum::VariantNames;
use toml::de::DeValue;

/// Number of characters after which a value in an error message is truncated.
const MAX_SHOWN_CHARS: usize = 40;

/// SHA-256 hash of an API key.
pub(crate) type KeyHash = [u8; 32];

/// Checks and converts one value.
pub(crate) trait Rule {
    /// The converted value.
    type Value<'t>;

    /// Converts a value, or returns `None` if it is not allowed.
    fn convert<'t>(&self, value: &DeValue<'t>) -> Option<Self::Value<'t>>;

    /// Describes the allowed values.
    fn expected(&self) -> String;

    /// Describes a value that is not allowed.
    fn found(&self, value: &DeValue<'_>) -> String {
        describe(value)
    }
}

/// An integer from `min` to `max`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Integer {
    pub(crate) min: u64,
    pub(crate) max: u64,
}

impl Rule for Integer {
    type Value<'t> = u64;

    fn convert(&self, value: &DeValue<'_>) -> Option<u64> {
        let integer = value.as_integer()?;
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        (self.min..=self.max).contains(&number).then_some(number)
    }

    fn expected(&self) -> String {
        format!("an integer from {} to {}", self.min, self.max)
    }
}

/// A number from `min` (included if `min_allowed`) to `max`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Number {
    pub(crate) min: f64,
    pub(crate) min_allowed: bool,
    pub(crate) max: f64,
}

impl Rule for Number {
    type Value<'t> = f64;

    fn convert(&self, value: &DeValue<'_>) -> Option<f64> {
        let number = match value {
            DeValue::Float(float) => f64::from_str(float.as_str()).ok()?,
            DeValue::Integer(integer) => {
                i64::from_str_radix(integer.as_str(), integer.radix()).ok()? as f64
            }
            _ => return None,
        };
        let above = number > self.min || (self.min_allowed && number >= self.min);
        (above && number <= self.max).then_some(number)
    }

    fn expected(&self) -> String {
        let Self { min, max, .. } = self;
        if self.min_allowed {
            format!("a number from {min} to {max}")
        } else {
            format!("a number above {min} and at most {max}")
        }
    }
}

/// `true` or `false`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Boolean;

impl Rule for Boolean {
    type Value<'t> = bool;

    fn convert(&self, value: &DeValue<'_>) -> Option<bool> {
        value.as_bool()
    }

    fn expected(&self) -> String {
        "true or false".to_owned()
    }
}

/// A string that satisfies a predicate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestrictedString {
    pub(crate) allowed: fn(&str) -> bool,
    pub(crate) expected: &'static str,
}

/// The name of a service, backend server, kind or organisation.
pub(crate) const NAME: RestrictedString = RestrictedString {
    allowed: |text| {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        (1..=64).contains(&text.len()) && text.bytes().all(allowed)
    },
    expected: "a name of 1 to 64 letters, digits, \".\", \"_\" or \"-\"",
};

/// The name of a model.
pub(crate) const MODEL_NAME: RestrictedString = RestrictedString {
    allowed: |text| {
        (1..=128).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
    },
    expected: "a model name of 1 to 128 visible ASCII characters",
};

/// A pattern that matches calls by method and path.
pub(crate) const CALL_PATTERN: RestrictedString = RestrictedString {
    allowed: |text| {
        text.split_once(' ').is_some_and(|(method, path)| {
            let upper = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
            let star_inside = path.strip_suffix('*').unwrap_or(path).contains('*');
            upper && path.starts_with('/') && !path.contains(char::is_whitespace) && !star_inside
        })
    },
    expected: "\"METHOD /path\" with upper-case letters and at most one \"*\", at the end",
};

impl Rule for RestrictedString {
    type Value<'t> = Cow<'t, str>;

    fn convert<'t>(&self, value: &DeValue<'t>) -> Option<Cow<'t, str>> {
        match value {
            DeValue::String(text) if (self.allowed)(text) => Some(text.clone()),
            _ => None,
        }
    }

    fn expected(&self) -> String {
        self.expected.to_owned()
    }
}

/// A SHA-256 hash in hex.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sha256Hex;

impl Rule for Sha256Hex {
    type Value<'t> = KeyHash;

    fn convert(&self, value: &DeValue<'_>) -> Option<KeyHash> {
        let hex = value.as_str()?.as_bytes();
        let mut hash = KeyHash::default();
        if hex.len() != 2 * hash.len() {
            return None;
        }
        for (byte, digits) in hash.iter_mut().zip(hex.chunks_exact(2)) {
            let high = char::from(digits[0]).to_digit(16)?;
            let low = char::from(digits[1]).to_digit(16)?;
            *byte = (high << 4 | low) as u8;
        }
        Some(hash)
    }

    fn expected(&self) -> String {
        "a SHA-256 hash of 64 hex digits".to_owned()
    }

    /// Describes a string by its length only, because it may be an API key entered by mistake.
    fn found(&self, value: &DeValue<'_>) -> String {
        match value {
            DeValue::String(text) => format!("a string of {} characters", text.chars().count()),
            other => describe(other),
        }
    }
}

/// The name of a variant of an enum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Variant<E>(pub(crate) std::marker::PhantomData<E>);

impl<E: FromStr + VariantNames> Rule for Variant<E> {
    type Value<'t> = E;

    fn convert(&self, value: &DeValue<'_>) -> Option<E> {
        E::from_str(value.as_str()?).ok()
    }

    fn expected(&self) -> String {
        let names: Vec<_> = E::VARIANTS.iter().map(|name| format!("{name:?}")).collect();
        names.join(" or ")
    }
}

/// Returns the hash of an API key.
pub(crate) fn hash_key(api_key: &str) -> KeyHash {
    Sha256::digest(api_key.as_bytes()).into()
}

/// Describes a value in an error message.
pub(crate) fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("the string {:?}", truncate(text)),
        DeValue::Integer(integer) => truncate(integer.as_str()),
        DeValue::Float(float) => truncate(float.as_str()),
        DeValue::Boolean(flag) => flag.to_string(),
        DeValue::Datetime(time) => format!("the date or time {time}"),
        DeValue::Array(_) => "an array".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

pub(crate) fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((cut, _)) => format!("{}...", &text[..cut]),
        None => text.to_owned(),
    }
}
