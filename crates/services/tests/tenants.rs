//! Tenants: what is refused, whose a key is, what a request counts.

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

fn verdict(tenants: Vec<Tenant>) -> Result<(), ConfigurationError> {
    validate(&ServiceConfiguration {
        tenants,
        ..ServiceConfiguration::default()
    })
}

#[test]
fn faults_are_refused_and_name_both_tenants_but_no_key() {
    let shared = verdict(vec![
        tenant("one", &["a", "secret"], None),
        tenant("two", &["secret"], None),
    ]);
    let problem = shared.expect_err("a shared key").to_string();
    assert!(problem.contains("one") && problem.contains("two"));
    assert!(!problem.contains("secret"), "{problem}");
    let twice = verdict(vec![
        tenant("one", &["a"], None),
        tenant("one", &["b"], None),
    ]);
    assert!(matches!(
        twice,
        Err(ConfigurationError::DuplicateTenant { .. })
    ));
    for (rate, burst) in [(-1.0, 0.0), (f64::NAN, 0.0), (1.0, f64::INFINITY)] {
        let verdict = verdict(vec![tenant("one", &["a"], quota(rate, burst))]);
        let refused = matches!(verdict, Err(ConfigurationError::InvalidQuota { .. }));
        assert!(refused, "{rate}, {burst}");
    }
    let fine = verdict(vec![
        tenant("one", &["a", "a"], quota(1.0, 0.0)),
        tenant("two", &[], None),
    ]);
    assert_eq!(fine, Ok(()));
}

#[test]
fn a_key_leads_to_its_tenant() {
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
fn requests_count_by_the_unit() {
    let of = |unit| Quota {
        rate_per_second: 1.0,
        burst: 1.0,
        unit,
    };
    assert_eq!(of(QuotaUnit::Requests).weight(500, 20), 1);
    let tokens = of(QuotaUnit::Tokens { default_units: 200 });
    assert_eq!(tokens.weight(500, 20), 520);
    assert_eq!(tokens.weight(0, 0), 200);
}
