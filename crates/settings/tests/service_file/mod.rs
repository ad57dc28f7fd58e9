//! A settings file of a service, as several tests begin with it.

/// A valid file of a router. Its last section is the limits.
pub const VALID: &str = r#"
name = "r1"
zone = "z"
address = "127.0.0.1"
wire_port = 7000
seeds = ["127.0.0.2:8000"]
cluster_key = "sixteen bytes at least"
[listen]
clients = "127.0.0.1:8080"
ready = ""
[limits]
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
registration_interval_ms = 1200
order_lease_ms = 3000
load_window_s = 5
grace_s = 8
"#;
