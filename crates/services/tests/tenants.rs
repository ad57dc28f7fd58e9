//! Tenants: validation, look-up by key and units of a request.

use courseshunt_services::{
    ConfigurationError, Quota, QuotaUnit, ServiceConfiguration, Tenant, TenantTable, validate,
};
use courseshunt_types::Digest;

fn tenant(name: &str, keys: &[&str], quota: Option<Quota>) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| Digest::of(key.as_bytes())).collect(),
        priority: None,
        quota,
    }
}

fn quota(rate_per_second: f64, burst: f64) -> Option<Quota> {
    Some(Quota {
        rate_per_second,
        burst,
        unit: QuotaUnit::Requests,
    })
}

fn validate_tenants(tenants: Vec<Tenant>) -> Result<(), ConfigurationError> {
    validate(&ServiceConfiguration {
        tenants,
        ..ServiceConfiguration::default()
    })
}

#[test]
fn invalid_tenants_are_rejected_by_name_without_revealing_keys() {
    let shared = validate_tenants(vec![
        tenant("one", &["a", "secret"], None),
        tenant("two", &["secret"], None),
    ]);
    let problem = shared.expect_err("a shared key").to_string();
    assert!(problem.contains("one") && problem.contains("two"));
    assert!(!problem.contains("secret"), "{problem}");
    let duplicate = validate_tenants(vec![
        tenant("one", &["a"], None),
        tenant("one", &["b"], None),
    ]);
    assert!(matches!(
        duplicate,
        Err(ConfigurationError::DuplicateTenant { .. })
    ));
    for (rate, burst) in [(-1.0, 0.0), (f64::NAN, 0.0), (1.0, f64::INFINITY)] {
        let result = validate_tenants(vec![tenant("one", &["a"], quota(rate, burst))]);
        let rejected = matches!(result, Err(ConfigurationError::InvalidQuota { .. }));
        assert!(rejected, "{rate}, {burst}");
    }
    let valid = validate_tenants(vec![
        tenant("one", &["a", "a"], quota(1.0, 0.0)),
        tenant("two", &[], None),
    ]);
    assert_eq!(valid, Ok(()));
}

#[test]
fn tenant_is_found_by_its_key() {
    let tenants = [
        tenant("one", &["a", "b"], None),
        tenant("two", &["c"], None),
    ];
    let table = TenantTable::new(&tenants);
    assert!(table.requires_key());
    let found = |key: &str| {
        let found = table.find(&Digest::of(key.as_bytes()));
        found.map(|tenant| tenant.name.as_str())
    };
    assert_eq!(found("b"), Some("one"));
    assert_eq!(found("c"), Some("two"));
    assert_eq!(found("d"), None);
    assert!(!TenantTable::new(&[]).requires_key());
}

#[test]
fn request_weight_depends_on_the_quota_unit() {
    let quota = |unit| Quota {
        rate_per_second: 1.0,
        burst: 1.0,
        unit,
    };
    assert_eq!(quota(QuotaUnit::Requests).weight(500, 20), 1);
    let tokens = quota(QuotaUnit::Tokens { default_units: 200 });
    assert_eq!(tokens.weight(500, 20), 520);
    assert_eq!(tokens.weight(0, 0), 200);
}
