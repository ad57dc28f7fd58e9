//! The demo keeps its promises: it fails when an answer is not whole or not its
//! caller's own, when the once-only command runs twice, or when the deferred
//! plan gets no answer.

use courseshunt_lab::demo::{DemoSettings, run};
use std::path::Path;

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_runs_to_its_end() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/souss");
    let settings = DemoSettings {
        examples,
        keep: false,
    };
    run(&settings).await.unwrap();
}
