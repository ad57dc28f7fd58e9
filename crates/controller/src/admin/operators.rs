//! Operators with their tokens and roles.
//!
//! Invariant: tokens are held in memory only as digests.

use crate::error::ControllerError;
use crate::read_file;
use courseshunt_types::Digest;
use std::collections::BTreeMap;
use std::path::Path;

/// Prefix of a token that is written as its digest.
pub const DIGEST_PREFIX: &str = "sha256:";

/// Permissions of an operator; each role includes the roles before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Read all pages.
    Read,
    /// Change the configuration.
    Apply,
    /// Change the membership and drain processes.
    Operate,
}

impl OperatorRole {
    /// The name of the role in the token file.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Apply => "apply",
            Self::Operate => "operate",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let roles = [Self::Read, Self::Apply, Self::Operate];
        roles.into_iter().find(|role| role.as_str() == text)
    }
}

/// An operator, under the name that the history shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name; the first 8 characters of the token's digest when the file contains none.
    pub name: String,
    /// Permissions of the operator.
    pub role: OperatorRole,
}

/// Operators by the digest of their token.
#[derive(Debug, Default)]
pub struct Operators {
    operators: BTreeMap<Digest, Operator>,
}

impl Operators {
    /// Reads lines `role token [name]`; the token may be written as
    /// `sha256:DIGEST`. Empty lines and lines with `#` are skipped.
    ///
    /// # Errors
    /// When the file can't be read or a line is malformed.
    pub fn read(path: &Path) -> Result<Self, ControllerError> {
        let text = read_file(path)?;
        let mut operators = Self::default();
        for (position, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let Some((digest, operator)) = parse(line) else {
                return Err(ControllerError::OperatorToken {
                    path: path.to_owned(),
                    line: position + 1,
                });
            };
            if !line.contains(DIGEST_PREFIX) {
                let (path, line) = (path.display(), position + 1);
                log::warn!(
                    "admin: {path}:{line}: the token is stored in plain text; `courseshunt token` prints its digest"
                );
            }
            operators.operators.insert(digest, operator);
        }
        Ok(operators)
    }

    /// The operator with `token`.
    #[must_use]
    pub fn bearer(&self, token: &str) -> Option<&Operator> {
        self.operators.get(&Digest::of(token.as_bytes()))
    }
}

fn parse(line: &str) -> Option<(Digest, Operator)> {
    let mut fields = line.split_whitespace();
    let role = OperatorRole::parse(fields.next()?)?;
    let token = fields.next()?;
    let digest = match token.strip_prefix(DIGEST_PREFIX) {
        Some(digest) => Digest::parse(digest)?,
        None => Digest::of(token.as_bytes()),
    };
    let name = fields.next().map(str::to_owned);
    let name = name.unwrap_or_else(|| digest.to_string()[..8].to_owned());
    let operator = Operator { name, role };
    fields.next().is_none().then_some((digest, operator))
}
