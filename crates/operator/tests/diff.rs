//! Contract of `diff`: new, changed and removed documents, field by field.

use courseshunt_operator::{diff, read_documents};
use serde_json::json;
use std::path::Path;

const WANTED: &str = r#"
[[deployment]]
name = "same"
version = 1
model = "m"
tenant = "t"
memory_mib = 10

[[deployment]]
name = "changed"
version = 3
model = "m"
tenant = "t"
memory_mib = 20
weights = { idle_weight = 0.5 }

[[deployment]]
name = "new"
version = 1
model = "m"
tenant = "t"
memory_mib = 10

[[tenant]]
name = "t"
version = 2
token_digests = []

[[removal]]
name = "gone"
version = 8

[[removal]]
kind = "tenant"
name = "never-there"
version = 8
"#;

#[test]
fn a_diff_names_what_changes() {
    let in_force = r#"
[[deployment]]
name = "same"
version = 1
model = "m"
tenant = "t"
memory_mib = 10

[[deployment]]
name = "changed"
version = 2
model = "m"
tenant = "t"
memory_mib = 10

[[deployment]]
name = "gone"
version = 7
model = "m"
tenant = "t"
memory_mib = 10

[[tenant]]
name = "t"
version = 2
token_digests = []
"#;
    let batch = |text: &str| read_documents(Path::new("documents.toml"), text).unwrap();
    let in_force = batch(in_force);
    let page = json!({
        "revision": 4, "deployments": in_force.deployment, "tenants": in_force.tenant,
        "models": [],
    });
    let diffs = diff(&page, &batch(WANTED));
    let lines: Vec<String> = diffs.into_iter().flat_map(|one| one.lines).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    ~ deployment changed version 2 -> 3
        memory_mib: 10 -> 20
        weights.idle_weight: 0.02 -> 0.5
    + deployment new version 1
    - deployment gone version 7 -> removed as 8
    ");
    assert!(diff(&page, &in_force).is_empty());
}
