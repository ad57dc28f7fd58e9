//! The check that an answer is whole and its request's own: the stand-in
//! generates words that depend on the prompt and the position.

use courseshunt_standin::server::answer_word;
use serde_json::{Value, json};

/// What is expected of an answer's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EchoCheck {
    /// The words of the stand-in for this prompt.
    Standin,
    /// Any text that is not empty, as real runners give.
    AnyText,
}

/// The messages of a request.
#[must_use]
pub fn messages(prompt: &str) -> Value {
    json!([{"role": "user", "content": prompt}])
}

/// The whole text that the stand-in generates.
#[must_use]
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    let sent = messages(prompt).to_string();
    let words = (0..max_tokens).map(|position| answer_word(&sent, position));
    words.collect()
}

impl EchoCheck {
    /// Checks a text; the error says what is wrong.
    ///
    /// # Errors
    /// When the text is not whole or belongs to another request.
    pub fn check(self, prompt: &str, max_tokens: u32, text: &str) -> Result<(), String> {
        if self == Self::AnyText {
            let empty = text.is_empty();
            return if empty {
                Err("the answer is empty".to_owned())
            } else {
                Ok(())
            };
        }
        let expected = expected_text(prompt, max_tokens);
        if text == expected {
            return Ok(());
        }
        let own = !text.is_empty() && expected.starts_with(text);
        let problem = if own || text.is_empty() {
            "not whole"
        } else {
            "not its own"
        };
        let start: String = text.chars().take(40).collect();
        Err(format!(
            "the answer is {problem}: {} bytes, `{start}`",
            text.len()
        ))
    }
}
