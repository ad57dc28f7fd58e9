//! Finds the line of a field, so that an error can name it.

/// A field as written in a TOML text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrittenField {
    /// The line, from 1.
    pub line: usize,
    /// The value as written, if the field is there.
    pub value: Option<String>,
}

/// Line of a byte offset, from 1.
#[must_use]
pub fn line_of_offset(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    before.filter(|byte| **byte == b'\n').count() + 1
}

/// The field `key` of the table that names itself `name`; the table's name
/// line when the field is not written out.
#[must_use]
pub fn field_of_named(text: &str, name: &str, key: &str) -> WrittenField {
    let quoted = format!("\"{name}\"");
    let names = |line: &str| key_of(line) == Some("name") && line.contains(&quoted);
    let lines: Vec<&str> = text.lines().collect();
    let Some(named) = lines.iter().position(|line| names(line)) else {
        return WrittenField {
            line: 1,
            value: None,
        };
    };
    let first = lines[..named].iter().rposition(|line| is_header(line));
    let first = first.map_or(0, |header| header + 1);
    let block = lines[first..].iter().take_while(|line| !begins_item(line));
    let mut fields = block.enumerate();
    let found = fields.find(|(_, line)| key_of(line) == Some(key) || header_of(line) == Some(key));
    match found {
        Some((offset, line)) => WrittenField {
            line: first + offset + 1,
            value: value_of(line),
        },
        None => WrittenField {
            line: named + 1,
            value: None,
        },
    }
}

/// The field `key` of the `position`-th table `[[table]]` (or `[table]`), from
/// 0; `""` is the head of the file. Line 1 when the field is not written out.
#[must_use]
pub fn field_of_table(text: &str, table: &str, position: usize, key: &str) -> WrittenField {
    let mut inside = table.is_empty();
    let mut seen = 0;
    let mut header_line = 1;
    for (index, line) in text.lines().enumerate() {
        if is_header(line) {
            let wanted = header_of(line) == Some(table);
            inside = wanted && seen == position;
            seen += usize::from(wanted);
            if inside {
                header_line = index + 1;
            }
        }
        if inside && key_of(line) == Some(key) {
            return WrittenField {
                line: index + 1,
                value: value_of(line),
            };
        }
    }
    WrittenField {
        line: header_line,
        value: None,
    }
}

fn is_header(line: &str) -> bool {
    line.trim_start().starts_with('[')
}

fn begins_item(line: &str) -> bool {
    line.trim_start().starts_with("[[")
}

/// Last part of a table header's name.
fn header_of(line: &str) -> Option<&str> {
    let line = line.trim();
    let name = line.strip_prefix('[')?.trim_start_matches('[');
    let name = name.split(']').next()?.trim();
    name.rsplit('.').next()
}

fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    Some(key.trim())
}

fn value_of(line: &str) -> Option<String> {
    let (_, value) = line.split_once('=')?;
    Some(value.trim().to_owned())
}
