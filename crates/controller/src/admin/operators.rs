//! Operators, their tokens and roles.
//!
//! Invariant: tokens are kept as digests only.

use crate::error::ControllerError;
use crate::read_file;
use courseshunt_types::Digest;
use std::collections::BTreeMap;
use std::path::Path;

/// Marks a token that is written as its digest.
pub const DIGEST_PREFIX: &str = "sha256:";

/// What an operator may do; a later role includes the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperatorRole {
    /// Read everything.
    Read,
    /// Change the configuration.
    Apply,
    /// Change members, drain processes.
    Operate,
}

impl OperatorRole {
    /// The role as written in the file.
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

/// An operator, as the history names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operator {
    /// Name; the start of the token's digest when the file gives none.
    pub name: String,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// Operators by digest of the token.
#[derive(Debug, Default)]
pub struct Operators {
    operators: BTreeMap<Digest, Operator>,
}

impl Operators {
    /// Reads lines `role token [name]`; the token may be written as
    /// `sha256:DIGEST`. Empty lines and lines with `#` are skipped.
    ///
    /// # Errors
    /// When the file can't be read or a line is wrong.
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
                    "admin: {path}:{line}: the token is plain; `courseshunt token` gives a digest for it"
                );
            }
            operators.operators.insert(digest, operator);
        }
        Ok(operators)
    }

    /// The bearer of `token`.
    #[must_use]
    pub fn bearer(&self, token: &str) -> Option<&Operator> {
        self.operators.get(&Digest::of(token.as_bytes()))
    }
}

fn parse(line: &str) -> Option<(Digest, Operator)> {
    let mut words = line.split_whitespace();
    let role = OperatorRole::parse(words.next()?)?;
    let token = words.next()?;
    let digest = match token.strip_prefix(DIGEST_PREFIX) {
        Some(digest) => Digest::parse(digest)?,
        None => Digest::of(token.as_bytes()),
    };
    let name = words.next().map(str::to_owned);
    let name = name.unwrap_or_else(|| digest.to_string()[..8].to_owned());
    let operator = Operator { name, role };
    words.next().is_none().then_some((digest, operator))
}
