//! The example sites have the sizes of today.

use courseshunt_operator::{RenderedBatch, read_documents, render};
use std::path::{Path, PathBuf};

fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

fn rendered(site: &str) -> RenderedBatch {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let site = examples.join(site);
    let mut batch = RenderedBatch::default();
    for tenant in files(&site.join("tenants")) {
        for template in files(&site.join("templates")) {
            let text = render(&template, &tenant).unwrap();
            batch.extend(read_documents(&template, &text).unwrap());
        }
    }
    batch
}

#[test]
fn the_examples_have_todays_sizes() {
    for (site, deployments, adapters) in [("souss", 60, 88), ("andrade", 40, 100)] {
        let batch = rendered(site);
        let counts = batch.deployment.iter().map(|one| one.adapters.len());
        assert_eq!(batch.deployment.len(), deployments, "models of {site}");
        assert_eq!(counts.sum::<usize>(), adapters, "adapters of {site}");
        assert_eq!(batch.tenant.len(), 1);
        let mut names: Vec<&str> = batch
            .deployment
            .iter()
            .map(|one| one.name.as_str())
            .collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), deployments, "names of {site} are unique");
    }
}
