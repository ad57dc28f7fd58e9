//! The bounded output behind the `log` facade.

use crate::{KEPT_TARGET, TARGET};
use courseshunt_types::UnixMillis;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Bounds of an output.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Bytes a second that are written, over seconds.
    pub bytes_per_second: u64,
    /// Lines that wait to be written.
    pub queue: usize,
    /// Part of the queue that is left to kept records, as a divisor.
    pub reserve: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            bytes_per_second: 128 * 1024,
            queue: 4096,
            reserve: 4,
        }
    }
}

/// What became of the lines so far.
#[derive(Debug, Default)]
pub struct Counts {
    /// Lines written.
    pub written: AtomicU64,
    /// Lines left out.
    pub left_out: AtomicU64,
    waiting: AtomicU64,
}

/// Takes lines in and writes them on a thread of its own.
#[derive(Debug, Clone)]
pub struct Output {
    bounds: Bounds,
    counts: Arc<Counts>,
    lines: SyncSender<String>,
    allowance: Arc<Mutex<Allowance>>,
}

/// A token bucket of bytes.
#[derive(Debug)]
struct Allowance {
    bytes: f64,
    updated: Instant,
}

impl Output {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(bounds: Bounds, sink: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, received) = sync_channel(bounds.queue);
        let counts = Arc::new(Counts::default());
        let writer_counts = counts.clone();
        let thread = std::thread::Builder::new().name("records".to_owned());
        thread.spawn(move || write_all(&received, sink, &writer_counts))?;
        Ok(Self {
            bounds,
            counts,
            lines,
            allowance: Arc::new(Mutex::new(Allowance {
                bytes: bounds.bytes_per_second as f64,
                updated: Instant::now(),
            })),
        })
    }

    /// Counts of lines.
    #[must_use]
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Takes a line; leaves it out when it doesn't fit the bounds.
    pub fn take(&self, line: String, kept: bool) {
        let waiting = self.counts.waiting.load(Ordering::Relaxed) as usize;
        let room = self.bounds.queue - self.bounds.queue / self.bounds.reserve.max(1);
        let fits = kept || (waiting < room && self.allow(line.len()));
        if !fits || !self.send(line) {
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends a line to the thread; whether there was room. It is counted before the thread can
    /// take it, since the count would be negative in between.
    fn send(&self, line: String) -> bool {
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.lines.try_send(line).is_ok();
        if !sent {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        sent
    }

    fn allow(&self, bytes: usize) -> bool {
        let mut allowance = self
            .allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let rate = self.bounds.bytes_per_second as f64;
        let passed = allowance.updated.elapsed().as_secs_f64();
        allowance.updated = Instant::now();
        allowance.bytes = (allowance.bytes + passed * rate).min(rate);
        if allowance.bytes < bytes as f64 {
            return false;
        }
        allowance.bytes -= bytes as f64;
        true
    }
}

fn write_all(received: &Receiver<String>, mut sink: impl Write, counts: &Counts) {
    let mut told = 0;
    while let Ok(mut line) = received.recv() {
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        let left_out = counts.left_out.load(Ordering::Relaxed);
        if left_out > told {
            told = left_out;
            let note = serde_json::json!({ "event": "left_out", "lines": left_out });
            line.push_str(&format!("{note}\n"));
        }
        match sink.write_all(line.as_bytes()) {
            Ok(()) => counts.written.fetch_add(1, Ordering::Relaxed),
            Err(_) => counts.left_out.fetch_add(1, Ordering::Relaxed),
        };
    }
}

/// A dispatch that writes records and log lines of `process` as JSON lines.
pub fn dispatch(process: &str, output: Output) -> fern::Dispatch {
    let name = serde_json::Value::from(process).to_string();
    let started = Instant::now();
    let sink = fern::Output::call(move |record| {
        let kept = record.target() == KEPT_TARGET || record.level() <= log::Level::Warn;
        let body = match record.target() {
            TARGET | KEPT_TARGET => record.args().to_string(),
            _ => {
                let message = record.args().to_string();
                let level = record.level().as_str();
                serde_json::json!({ "level": level, "message": message }).to_string()
            }
        };
        let wall = UnixMillis::now().0;
        let steady = started.elapsed().as_millis();
        let head = format!("{{\"wall\":{wall},\"steady\":{steady},\"process\":{name}");
        let rest = body.strip_prefix('{').unwrap_or("}");
        let separator = if rest == "}" { "" } else { "," };
        output.take(format!("{head}{separator}{rest}\n"), kept);
    });
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(sink)
}
