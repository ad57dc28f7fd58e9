//! Operators' tokens and roles.

use crate::error::ControllerError;
use crate::read_file;
use courseshunt_types::Digest;
use std::collections::BTreeMap;
use std::path::Path;

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

/// Roles by digest of the token.
#[derive(Debug, Default)]
pub struct Operators {
    roles: BTreeMap<Digest, OperatorRole>,
}

impl Operators {
    /// Reads lines `role token`; empty lines and lines with `#` are skipped.
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
            let Some((role, token)) = parse(line) else {
                return Err(ControllerError::OperatorToken {
                    path: path.to_owned(),
                    line: position + 1,
                });
            };
            operators.roles.insert(Digest::of(token.as_bytes()), role);
        }
        Ok(operators)
    }

    /// Role of the bearer of `token`.
    #[must_use]
    pub fn role_of(&self, token: &str) -> Option<OperatorRole> {
        self.roles.get(&Digest::of(token.as_bytes())).copied()
    }
}

fn parse(line: &str) -> Option<(OperatorRole, &str)> {
    let (role, token) = line.split_once(char::is_whitespace)?;
    let role = match role {
        "read" => OperatorRole::Read,
        "apply" => OperatorRole::Apply,
        "operate" => OperatorRole::Operate,
        _ => return None,
    };
    let token = token.trim();
    (!token.is_empty()).then_some((role, token))
}
