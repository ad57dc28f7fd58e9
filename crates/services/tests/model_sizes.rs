//! The sizes that earlier versions listed are carried from version to version.

use courseshunt_services::*;
use courseshunt_types::{Millis, ModelName};
use std::collections::BTreeMap;

fn listing(models: &[(&str, f64)]) -> ServiceConfiguration {
    let models = models.iter().map(|(name, memory_mb)| {
        let specification = ModelSpecification {
            name: ModelName::from(*name),
            memory_mb: *memory_mb,
            load_time: Millis(1),
            warm_load_time: Millis(1),
            disk_load_time: Millis(1),
            adapters: Vec::new(),
            adapter_mb: 12.0,
        };
        ((*name).to_owned(), specification)
    });
    let engine = Engine {
        slots: 1,
        memory_mb: 200.0,
        adapter_slots: 1,
        kv_capacity_tokens: None,
        loads_per_second: 1.0,
        cache_memory_mb: 0.0,
        cache_disk_mb: 0.0,
        models: models.collect(),
        earlier_sizes: BTreeMap::new(),
    };
    ServiceConfiguration {
        services: vec![Service {
            name: "s".to_owned(),
            max_connections: 1,
            health_path: None,
            engine: Some(engine),
        }],
        ..ServiceConfiguration::default()
    }
}

/// The last of these versions, with what it is given of those before.
fn last_of(versions: Vec<ServiceConfiguration>) -> ServiceConfiguration {
    let newest = versions.into_iter().reduce(|older, newer| {
        let earlier = earlier_sizes(&older, &newer);
        newer.with_earlier_sizes(earlier)
    });
    newest.expect("a version")
}

fn earlier_mb(configuration: &ServiceConfiguration, model: &str) -> Option<f64> {
    let engine = configuration.engine("s")?;
    engine.earlier_sizes.get(model).map(|size| size.weights_mb)
}

#[test]
fn nothing_is_kept_while_models_are_listed_as_before_or_larger() {
    let last = last_of(vec![listing(&[("a", 70.0)]), listing(&[("a", 70.0)])]);
    assert_eq!(earlier_mb(&last, "a"), None);
    let last = last_of(vec![listing(&[("a", 70.0)]), listing(&[("a", 80.0)])]);
    assert_eq!(earlier_mb(&last, "a"), None);
    assert!(last.earlier_services.is_empty());
}

#[test]
fn the_largest_earlier_size_is_kept() {
    let sizes = [60.0, 70.0, 40.0, 50.0];
    let versions = sizes.map(|size| listing(&[("a", size)]));
    let last = last_of(versions.to_vec());
    assert_eq!(earlier_mb(&last, "a"), Some(70.0));
}

#[test]
fn the_size_of_a_model_that_goes_and_comes_back_is_kept() {
    let gone = vec![listing(&[("a", 70.0), ("b", 1.0)]), listing(&[("b", 1.0)])];
    assert_eq!(earlier_mb(&last_of(gone.clone()), "a"), Some(70.0));
    let back = [gone, vec![listing(&[("a", 40.0)])]].concat();
    let last = last_of(back);
    assert_eq!(earlier_mb(&last, "a"), Some(70.0));
    assert_eq!(earlier_mb(&last, "b"), Some(1.0));
}

#[test]
fn the_sizes_of_a_service_that_goes_and_comes_back_are_kept() {
    let gone = vec![listing(&[("a", 70.0)]), ServiceConfiguration::default()];
    assert!(last_of(gone.clone()).earlier_services.contains_key("s"));
    let back = [gone, vec![listing(&[("a", 40.0)])]].concat();
    let last = last_of(back);
    assert_eq!(earlier_mb(&last, "a"), Some(70.0));
    assert!(last.earlier_services.is_empty());
}
