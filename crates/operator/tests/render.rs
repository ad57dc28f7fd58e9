//! Contract of rendering: documents come out whole, faults name file and line.

use courseshunt_operator::{read_documents, render};

fn run(template: &str, parameters: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let template_path = folder.path().join("template.toml");
    let parameters_path = folder.path().join("tenant.toml");
    std::fs::write(&template_path, template).unwrap();
    std::fs::write(&parameters_path, parameters).unwrap();
    let rendered = render(&template_path, &parameters_path);
    let result = rendered.and_then(|text| read_documents(&template_path, &text));
    match result {
        Ok(batch) => format!("{} deployments", batch.deployment.len()),
        Err(error) => {
            let folder = format!("{}/", folder.path().display());
            error.to_string().replace(&folder, "")
        }
    }
}

const TEMPLATE: &str = "{% for crop in crops %}[[deployment]]\nname = \"{{ crop }}\"\nversion = {{ version }}\nmodel = \"m\"\ntenant = \"t\"\nmemory_mib = 10\n{% endfor %}";

#[test]
fn a_loop_gives_one_deployment_each() {
    assert_eq!(
        run(TEMPLATE, "crops = [\"a\", \"b\"]\nversion = 1\n"),
        "2 deployments"
    );
}

#[test]
fn faults_name_file_and_line() {
    let cases = [
        (TEMPLATE, "crops = [\"a\"]\n", "template.toml:3: "),
        (TEMPLATE, "crops = [\n", "tenant.toml:1: unclosed array"),
        (
            TEMPLATE,
            "crops = [\"a\"]\nversion = 0\n",
            "template.toml:3: deployment a: field `version`: must be 1 or more (it is 0)",
        ),
        (
            "[[deployment]]\nnam = 1\n",
            "",
            "template.toml:2: unknown field `nam`",
        ),
    ];
    for (template, parameters, expected) in cases {
        let message = run(template, parameters);
        assert!(message.starts_with(expected), "{message}");
    }
}
