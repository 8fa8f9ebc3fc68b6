//! Authentication of operators by bearer token.

use settings::OperatorSettings;

/// Names of the operators with the hashes of their tokens.
#[derive(Debug)]
pub(crate) struct OperatorTokens(Vec<(String, blake3::Hash)>);

impl OperatorTokens {
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

    /// Name of the operator whose token an `Authorization` field contains; `None` if there is none.
    ///
    /// Each hash is compared in constant time, and all hashes are compared, so that the response
    /// time reveals nothing about a token.
    pub(crate) fn authenticate(&self, authorization: &str) -> Option<&str> {
        let (scheme, token) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let given = blake3::hash(token.trim().as_bytes());
        self.0.iter().fold(None, |found, (name, hash)| {
            let is_equal = *hash == given;
            if is_equal { Some(name.as_str()) } else { found }
        })
    }
}
