//! Rates, and what the field of an answer says about them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Longest text that is read as a number.
const TEXT_LIMIT_BYTES: usize = 32;

/// Requests a second; positive and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate {
    requests_per_s: f64,
}

// No rate is a NaN.
impl Eq for Rate {}

impl Rate {
    /// A rate; `None` if it is not positive and finite.
    #[must_use]
    pub fn per_second(requests_per_s: f64) -> Option<Self> {
        let is_valid = requests_per_s.is_finite() && requests_per_s > 0.0;
        is_valid.then_some(Self { requests_per_s })
    }

    /// Requests a second.
    #[must_use]
    pub fn requests_per_s(self) -> f64 {
        self.requests_per_s
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.requests_per_s
    }
}

impl TryFrom<f64> for Rate {
    type Error = String;

    fn try_from(requests_per_s: f64) -> Result<Self, String> {
        Self::per_second(requests_per_s).ok_or_else(|| {
            format!("a rate of {requests_per_s} a second is not positive and finite")
        })
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.requests_per_s)
    }
}

/// What an answer says about the limit of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedRate {
    /// It names none, or zero.
    #[default]
    Absent,
    /// It names a limit.
    Limit(Rate),
    /// The field is not one decimal number, so what is known stays valid.
    Invalid,
}

impl NamedRate {
    /// Decodes the values of the field, one for each time that the answer has it.
    #[must_use]
    pub fn from_values<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut values = values.into_iter();
        let (Some(text), further) = (values.next(), values.next()) else {
            return Self::Absent;
        };
        let text = text.trim();
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        if further.is_some() || !is_decimal || text.len() > TEXT_LIMIT_BYTES {
            return Self::Invalid;
        }
        match text.parse::<f64>() {
            Ok(0.0) => Self::Absent,
            Ok(number) => Rate::per_second(number).map_or(Self::Invalid, Self::Limit),
            Err(_) => Self::Invalid,
        }
    }
}
