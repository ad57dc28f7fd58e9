//! Log lines on standard error. Messages begin with the prefix of their part,
//! such as `router: `.

use crate::process::LogSettings;
use log::LevelFilter;

/// Starts logging. Later calls in the same process change nothing.
pub fn start(settings: &LogSettings) {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let json = settings.format == "json";
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .filter(|metadata| metadata.target().starts_with("courseshunt"))
        .level(level)
        .format(move |out, message, record| {
            let time = courseshunt_types::UnixMillis::now().0;
            let level = record.level();
            if json {
                let line = serde_json::json!({
                    "time_ms": time, "level": level.as_str(), "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            } else {
                let (seconds, millis) = (time / 1000, time % 1000);
                out.finish(format_args!("{seconds}.{millis:03} {level} {message}"));
            }
        })
        .chain(std::io::stderr());
    // A second start in one process (tests) keeps the first logger.
    let _ = dispatch.apply();
}
