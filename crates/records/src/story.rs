//! Reads the records of many processes back and tells one request's story.

use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt;

/// One record about a request.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    process: String,
    wall: i64,
    steady: i64,
    fields: Map<String, Value>,
}

/// What the records say about one request, in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Story {
    lines: Vec<Line>,
}

/// Reads the story of `id` from the texts of logs. Lines that are no records
/// are passed over, also what stands before a record on its line.
///
/// The lines of one process keep the order of its steady clock; processes are
/// put beside each other by the wall clock of their first line here, since a
/// wall clock may be off and may jump.
#[must_use]
pub fn read_stories<'a>(id: &str, texts: impl IntoIterator<Item = &'a str>) -> Story {
    let mut processes: BTreeMap<String, Vec<Line>> = BTreeMap::new();
    let lines = texts.into_iter().flat_map(str::lines);
    for line in lines.filter(|line| line.contains(id)).filter_map(parse) {
        if line.fields.get("id").and_then(Value::as_str) == Some(id) {
            processes
                .entry(line.process.clone())
                .or_default()
                .push(line);
        }
    }
    let mut parts: Vec<Vec<Line>> = processes.into_values().collect();
    for part in &mut parts {
        part.sort_by_key(|line| line.steady);
    }
    parts.sort_by_key(|part| part.first().map(|line| line.wall));
    Story {
        lines: parts.into_iter().flatten().collect(),
    }
}

fn parse(line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let Ok(Value::Object(mut fields)) = serde_json::from_str(&line[start..]) else {
        return None;
    };
    let process = fields.remove("process")?.as_str()?.to_owned();
    let wall = fields.remove("wall")?.as_i64()?;
    let steady = fields.remove("steady")?.as_i64()?;
    Some(Line {
        process,
        wall,
        steady,
        fields,
    })
}

impl Story {
    /// Whether nothing is known of the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Names of the events, in order.
    #[must_use]
    pub fn events(&self) -> Vec<&str> {
        let events = self.lines.iter();
        let events = events.filter_map(|line| line.fields.get("event")?.as_str());
        events.collect()
    }
}

impl fmt::Display for Story {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut starts: BTreeMap<&str, i64> = BTreeMap::new();
        for line in &self.lines {
            let start = *starts.entry(&line.process).or_insert(line.steady);
            let event = line.fields.get("event").and_then(Value::as_str);
            write!(
                formatter,
                "{:>7} ms  {}  {}",
                line.steady - start,
                line.process,
                event.unwrap_or("?")
            )?;
            let rest = line.fields.iter();
            for (name, value) in rest.filter(|(name, _)| *name != "event" && *name != "id") {
                write!(formatter, " {name}={value}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
