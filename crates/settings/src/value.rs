//! Types of values, each with its reading from TOML and its printing.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use cuminlead_types::{
    AvailabilityZoneName, BackendServerId, BitsPerSecond, Bytes, DurationUs, EntryId, HostId,
    KvPieces, RegionName, Slots, TokensPerSecond,
};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};
use toml::de::DeValue;

use crate::key::NumberRange;

/// Smallest length of a peer secret, in characters; 16 random bytes in Base64 are longer.
pub const SECRET_MIN_CHARS: usize = 16;

/// Error for a value that was not accepted, for operators; never contains the value of a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueError(String);

impl ValueError {
    fn expected(kind: &str) -> Self {
        Self(format!("expected {kind}"))
    }
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ValueError {}

/// Type of a value in a settings file.
pub trait Setting: Sized {
    /// Format or unit of the value, for operators.
    const KIND: &'static str;

    /// Reads a TOML value; only numbers use `range`.
    fn read(value: &DeValue<'_>, range: Option<NumberRange>) -> Result<Self, ValueError>;

    /// TOML text of the value, or `None` when it is not set.
    fn print(&self) -> Option<String>;

    /// Value of a key that is not set and has no default; `None` if the key is required.
    fn absent() -> Option<Self> {
        None
    }
}

impl<T: Setting> Setting for Option<T> {
    const KIND: &'static str = T::KIND;

    fn read(value: &DeValue<'_>, range: Option<NumberRange>) -> Result<Self, ValueError> {
        T::read(value, range).map(Some)
    }

    fn print(&self) -> Option<String> {
        self.as_ref().and_then(T::print)
    }

    fn absent() -> Option<Self> {
        Some(None)
    }
}

/// Duration in milliseconds, the unit of all durations in settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DurationMs(pub u64);

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl From<DurationMs> for DurationUs {
    fn from(duration: DurationMs) -> Self {
        Self::from_ms(duration.0)
    }
}

impl From<DurationMs> for std::time::Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}

/// Whole number, such as a count, a port or a percentage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Count(pub u32);

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Count that may be written as a number with a fraction, which is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoundedCount(pub u32);

impl fmt::Display for RoundedCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Setting for RoundedCount {
    const KIND: &'static str = "number";

    fn read(value: &DeValue<'_>, range: Option<NumberRange>) -> Result<Self, ValueError> {
        let number = match value {
            DeValue::Float(number) => {
                let number: Option<f64> = number.as_str().parse().ok();
                let number = number.and_then(whole_part);
                check_range(
                    number.ok_or_else(|| ValueError::expected(Self::KIND))?,
                    range,
                )?
            }
            _ => read_number(value, Self::KIND, range)?,
        };
        let number = u32::try_from(number);
        number
            .map(Self)
            .map_err(|_| ValueError::expected(Self::KIND))
    }

    fn print(&self) -> Option<String> {
        Some(self.to_string())
    }
}

/// Whole part of a number; `None` for one that is negative or not finite.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from a float saturates, and the value is not negative"
)]
fn whole_part(number: f64) -> Option<u64> {
    (number.is_finite() && number >= 0.0).then_some(number as u64)
}

/// Fraction from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Fraction(f64);

impl Fraction {
    /// Fraction as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Fraction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.0)
    }
}

impl Setting for Fraction {
    const KIND: &'static str = "fraction from 0.0 to 1.0";

    fn read(value: &DeValue<'_>, _: Option<NumberRange>) -> Result<Self, ValueError> {
        let number = match value {
            DeValue::Float(number) => number.as_str().parse().ok(),
            DeValue::Integer(number) => number.as_str().parse().ok(),
            _ => None,
        };
        let is_valid = |number: &f64| (0.0..=1.0).contains(number);
        let number = number.filter(is_valid);
        number
            .map(Self)
            .ok_or_else(|| ValueError::expected(Self::KIND))
    }

    fn print(&self) -> Option<String> {
        Some(self.to_string())
    }
}

/// Shared secret that entries present to agents; `Display` and `Debug` do not print its value.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the value, for sending and comparing.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("redacted")
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({self})")
    }
}

impl Setting for Secret {
    const KIND: &'static str = "text of at least 16 visible characters";

    fn read(value: &DeValue<'_>, _: Option<NumberRange>) -> Result<Self, ValueError> {
        let is_valid = |text: &&str| {
            text.len() >= SECRET_MIN_CHARS && text.chars().all(|c| c.is_ascii_graphic())
        };
        let text = read_text(value).filter(is_valid);
        text.map(|text| Self(text.to_string()))
            .ok_or_else(|| ValueError::expected(Self::KIND))
    }

    fn print(&self) -> Option<String> {
        Some(toml_string(&self.to_string()))
    }
}

/// Defines a name type that occurs only in settings: ASCII letters, digits, `-`, `_` and `.`.
macro_rules! setting_name {
    ($(#[doc = $doc:literal])* $name:ident) => {
        $(#[doc = $doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
        pub struct $name(String);

        impl $name {
            /// Name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
                if !text.is_empty() && text.chars().all(is_name_char) {
                    Ok(Self(text.to_string()))
                } else {
                    Err(ValueError::expected("letters, digits, -, _ and ."))
                }
            }
        }
    };
}

setting_name!(
    /// Name of a routing policy plug-in; the registry lists those linked into the binary.
    RoutingPolicyName
);
setting_name!(
    /// Name of an agent process.
    AgentName
);
setting_name!(
    /// Name of a platform's adapter; the registry lists those linked into the binary.
    AdapterName
);

/// Region of each availability zone, as `zone=region` pairs separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions(Vec<(AvailabilityZoneName, RegionName)>);

impl ZoneRegions {
    /// Pairs in the order of the file.
    pub fn iter(&self) -> std::slice::Iter<'_, (AvailabilityZoneName, RegionName)> {
        self.0.iter()
    }
}

impl fmt::Display for ZoneRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (zone, region)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{zone}={region}")?;
        }
        Ok(())
    }
}

impl FromStr for ZoneRegions {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ValueError::expected("zone=region pairs separated by commas");
        let mut pairs = Vec::new();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let (zone, region) = pair.split_once('=').ok_or_else(error)?;
            let zone = zone.parse().map_err(|_| error())?;
            pairs.push((zone, region.parse().map_err(|_| error())?));
        }
        Ok(Self(pairs))
    }
}

/// Least severe level of log lines that are written.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Every step, for development.
    Trace,
    /// Details of decisions.
    Debug,
    /// Events of normal operation.
    #[default]
    Info,
    /// Events that need attention if they persist.
    Warning,
    /// Failures only.
    Error,
}

/// Kind of backend server beside an agent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum BackendKind {
    /// Model engine.
    #[default]
    Engine,
    /// Plain service.
    Service,
}

/// How an entry that calls backend servers directly chooses among them.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementName {
    /// By fixed costs.
    #[default]
    Fixed,
    /// By the time at which the request is expected to be complete.
    Expected,
}

fn read_text<'v>(value: &'v DeValue<'_>) -> Option<&'v str> {
    match value {
        DeValue::String(text) => Some(text),
        _ => None,
    }
}

fn read_number(
    value: &DeValue<'_>,
    kind: &str,
    range: Option<NumberRange>,
) -> Result<u64, ValueError> {
    let number = match value {
        DeValue::Integer(digits) => u64::from_str_radix(digits.as_str(), digits.radix()).ok(),
        _ => None,
    };
    check_range(number.ok_or_else(|| ValueError::expected(kind))?, range)
}

fn check_range(number: u64, range: Option<NumberRange>) -> Result<u64, ValueError> {
    match range {
        Some(range) if !(range.min..=range.max).contains(&number) => Err(ValueError(format!(
            "{number} is out of range {} to {}",
            range.min, range.max
        ))),
        _ => Ok(number),
    }
}

fn toml_string(text: &str) -> String {
    toml::Value::String(text.to_string()).to_string()
}

/// Implements [`Setting`] for integer types.
macro_rules! number_setting {
    ($($name:ident($inner:ty) = $kind:literal;)*) => {$(
        impl Setting for $name {
            const KIND: &'static str = $kind;

            fn read(value: &DeValue<'_>, range: Option<NumberRange>) -> Result<Self, ValueError> {
                let number = read_number(value, Self::KIND, range)?;
                let number = <$inner>::try_from(number);
                number.map(Self).map_err(|_| ValueError::expected(Self::KIND))
            }

            fn print(&self) -> Option<String> {
                Some(self.to_string())
            }
        }
    )*};
}

/// Implements [`Setting`] for types that TOML represents as strings.
macro_rules! text_setting {
    ($($name:ident = $kind:literal;)*) => {$(
        impl Setting for $name {
            const KIND: &'static str = $kind;

            fn read(value: &DeValue<'_>, _: Option<NumberRange>) -> Result<Self, ValueError> {
                let text = read_text(value).ok_or_else(|| ValueError::expected(Self::KIND))?;
                text.parse().map_err(|_| ValueError(format!("expected {}, found {text:?}", Self::KIND)))
            }

            fn print(&self) -> Option<String> {
                Some(toml_string(&self.to_string()))
            }
        }
    )*};
}

number_setting!(
    DurationMs(u64) = "milliseconds";
    Count(u32) = "number";
    Bytes(u64) = "bytes";
    BitsPerSecond(u64) = "bits per second";
    TokensPerSecond(u64) = "tokens per second";
    Slots(u32) = "slots";
    KvPieces(u32) = "KV pieces";
);

text_setting!(
    EntryId = "name";
    AgentName = "name";
    AdapterName = "name of an adapter";
    ZoneRegions = "zone=region pairs separated by commas";
    HostId = "name";
    RegionName = "name";
    AvailabilityZoneName = "name";
    BackendServerId = "name";
    RoutingPolicyName = "name of a routing policy";
    SocketAddr = "IP address and port";
    LogLevel = "trace, debug, info, warning or error";
    BackendKind = "engine or service";
    PlacementName = "fixed or expected";
);
