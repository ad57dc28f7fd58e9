//! A refusal by the controllers names file and line of the document.

use courseshunt_cli::commands::DocumentFiles;
use courseshunt_operator::AdminError;
use courseshunt_state::{DocumentKey, DocumentKind};

const FIRST: &str = "[[tenant]]\nname = \"t\"\nversion = 1\ntoken_digests = []\n";
const SECOND: &str = "[[deployment]]\nname = \"a\"\nversion = 1\nmodel = \"m\"\ntenant = \"t\"\nmemory_mib = 10\n\n[[deployment]]\nname = \"b\"\nversion = 1\nmodel = \"m\"\ntenant = \"t\"\nmemory_mib = 20\n";

fn refusal(kind: DocumentKind, name: &str, field: &str) -> AdminError {
    AdminError::Refused {
        address: "127.0.0.1:7100".to_owned(),
        status: hyper::StatusCode::CONFLICT,
        message: "refused".to_owned(),
        document: Some(DocumentKey {
            kind,
            name: name.to_owned(),
        }),
        field: Some(field.to_owned()),
    }
}

#[test]
fn refusals_name_file_and_line() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let files = [file("models.toml", SECOND), file("tenants.toml", FIRST)];
    let documents = DocumentFiles::read(&files).unwrap();
    let (deployment, tenant) = (DocumentKind::Deployment, DocumentKind::Tenant);
    let cases = [
        (tenant, "t", "version", "tenants.toml:3: refused"),
        (deployment, "a", "version", "models.toml:3: refused"),
        (deployment, "b", "memory_mib", "models.toml:13: refused"),
        (deployment, "b", "max_replicas", "models.toml:9: refused"),
        (
            deployment,
            "other",
            "version",
            "127.0.0.1:7100 answered 409 Conflict: refused",
        ),
    ];
    for (kind, name, field, expected) in cases {
        let located = documents.locate(refusal(kind, name, field)).to_string();
        let located = located.replace(&format!("{}/", folder.path().display()), "");
        assert_eq!(located, expected);
    }
}
