//! Requests as callers send them, and answers as they see them.

use super::MODEL;
use courseshunt_standin::server::answer_word;
use hyper::{HeaderMap, StatusCode};
use serde_json::{Value, json};

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

pub fn messages(prompt: &str) -> Value {
    json!([{"role": "user", "content": prompt}])
}

pub fn body(prompt: &str, stream: bool, tokens: u32) -> String {
    let content = json!({
        "model": MODEL, "stream": stream, "max_tokens": tokens, "messages": messages(prompt),
    });
    content.to_string()
}

pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let sent = messages(prompt).to_string();
    (0..tokens)
        .map(|position| answer_word(&sent, position))
        .collect()
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The generated text, of a whole answer or of a stream's events.
    pub fn text(&self) -> String {
        if let Some(text) = self.json().pointer("/choices/0/message/content") {
            return text.as_str().unwrap_or_default().to_owned();
        }
        let events = self.events().into_iter();
        let words = events.filter_map(|event| {
            let word = event.pointer("/choices/0/delta/content")?;
            Some(word.as_str()?.to_owned())
        });
        words.collect()
    }

    pub fn events(&self) -> Vec<Value> {
        let lines = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Whether a stream has its last event.
    pub fn has_end(&self) -> bool {
        self.body.contains("data: [DONE]")
    }

    /// What the caller is told about the execution: the header, or the error
    /// event of a stream; `done` for a whole answer.
    pub fn outcome(&self) -> String {
        if let Some(error) = self
            .events()
            .iter()
            .find_map(|event| event.pointer("/error/outcome"))
        {
            return error.as_str().unwrap_or_default().to_owned();
        }
        if self.has_end() {
            return "done".to_owned();
        }
        let header = self.headers.get("x-courseshunt-outcome");
        header
            .map_or("none", |one| one.to_str().unwrap())
            .to_owned()
    }
}
