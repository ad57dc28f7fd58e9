//! What a batch would change in the configuration in force, field by field.
//! Pure.

use crate::RenderedBatch;
use courseshunt_state::DocumentKind;
use serde::Serialize;
use serde_json::{Map, Value};

/// One changed document as lines of text.
///
/// The first line begins with `+` for a new document, `~` for a changed one and
/// `-` for a removal; changed fields follow, indented.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentDiff {
    /// The lines.
    pub lines: Vec<String>,
}

/// Compares a batch with the page `/admin/v1/configuration`. Documents that are
/// in force as they are give nothing.
#[must_use]
pub fn diff(in_force: &Value, batch: &RenderedBatch) -> Vec<DocumentDiff> {
    let mut diffs = Vec::new();
    diffs.extend(of_kind(
        in_force,
        DocumentKind::Deployment,
        &batch.deployment,
    ));
    diffs.extend(of_kind(in_force, DocumentKind::Tenant, &batch.tenant));
    diffs.extend(of_kind(in_force, DocumentKind::Model, &batch.model));
    for removal in &batch.removal {
        let kind = removal.kind.as_str();
        let Some(current) = find(in_force, removal.kind, &removal.name) else {
            continue;
        };
        let (old, new) = (&current["version"], removal.version);
        let line = format!(
            "- {kind} {} version {old} -> removed as {new}",
            removal.name
        );
        diffs.push(DocumentDiff { lines: vec![line] });
    }
    diffs
}

fn of_kind<T: Serialize>(
    in_force: &Value,
    kind: DocumentKind,
    documents: &[T],
) -> Vec<DocumentDiff> {
    let wanted = documents.iter().map(serde_json::to_value);
    let wanted = wanted.filter_map(Result::ok);
    let compared = wanted.filter_map(|wanted| {
        let name = wanted["name"].as_str().unwrap_or_default();
        compare(kind, name, find(in_force, kind, name), &wanted)
    });
    compared.collect()
}

fn find<'a>(in_force: &'a Value, kind: DocumentKind, name: &str) -> Option<&'a Value> {
    let list = in_force.get(format!("{}s", kind.as_str()))?.as_array()?;
    list.iter().find(|one| one["name"] == name)
}

fn compare(
    kind: DocumentKind,
    name: &str,
    current: Option<&Value>,
    wanted: &Value,
) -> Option<DocumentDiff> {
    let (kind, new) = (kind.as_str(), &wanted["version"]);
    let Some(current) = current else {
        let lines = vec![format!("+ {kind} {name} version {new}")];
        return Some(DocumentDiff { lines });
    };
    let mut fields = Vec::new();
    compare_values("", current, wanted, &mut fields);
    if fields.is_empty() {
        return None;
    }
    let old = &current["version"];
    let mut lines = vec![format!("~ {kind} {name} version {old} -> {new}")];
    let others = fields
        .into_iter()
        .filter(|line| !line.starts_with("version: "));
    lines.extend(others.map(|line| format!("    {line}")));
    Some(DocumentDiff { lines })
}

/// Adds a line `path: old -> new` for each leaf that differs.
fn compare_values(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    let (Value::Object(old_fields), Value::Object(new_fields)) = (old, new) else {
        lines.push(format!("{path}: {old} -> {new}"));
        return;
    };
    for key in keys(old_fields, new_fields) {
        let inner = match path {
            "" => key.clone(),
            path => format!("{path}.{key}"),
        };
        let old = old_fields.get(key).unwrap_or(&Value::Null);
        let new = new_fields.get(key).unwrap_or(&Value::Null);
        compare_values(&inner, old, new, lines);
    }
}

fn keys<'a>(old: &'a Map<String, Value>, new: &'a Map<String, Value>) -> Vec<&'a String> {
    let added = new.keys().filter(|key| !old.contains_key(*key));
    old.keys().chain(added).collect()
}
