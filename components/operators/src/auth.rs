//! Operators' tokens.

use settings::OperatorSettings;

/// Operators by the hash of their token.
#[derive(Debug)]
pub(crate) struct Operators(Vec<(String, blake3::Hash)>);

impl Operators {
    pub(crate) fn new(operators: &[OperatorSettings]) -> Self {
        Self(
            operators
                .iter()
                .map(|operator| {
                    let token = operator.token.0.as_bytes();
                    (operator.name.clone(), blake3::hash(token))
                })
                .collect(),
        )
    }

    /// Name of the operator with the token of an `Authorization` field.
    ///
    /// Hashes compare in constant time, and all of them are compared, so that the time of the
    /// answer tells nothing about a token.
    pub(crate) fn name_of(&self, authorization: &str) -> Option<&str> {
        let (scheme, token) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let given = blake3::hash(token.trim().as_bytes());
        self.0.iter().fold(None, |found, (name, hash)| {
            let equal = *hash == given;
            if equal { Some(name.as_str()) } else { found }
        })
    }
}
