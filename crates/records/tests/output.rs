//! Records stay one line of valid JSON, and their output stays bounded.

use courseshunt_records::{Bounds, Output, Record, dispatch, read_stories};
use serde::Serialize;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

#[derive(Serialize)]
struct Example {
    event: &'static str,
    id: String,
}

impl Record for Example {
    fn is_kept(&self) -> bool {
        self.event == "refused"
    }
}

/// Whether the gate is open, and what went through.
type Shared = (Mutex<(bool, Vec<u8>)>, Condvar);

/// A sink that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    shared: Arc<Shared>,
}

impl Gate {
    fn open(&self) {
        self.shared.0.lock().expect("a lock").0 = true;
        self.shared.1.notify_all();
    }

    fn text(&self) -> String {
        let bytes = self.shared.0.lock().expect("a lock").1.clone();
        String::from_utf8(bytes).expect("UTF-8")
    }
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let state = self.shared.0.lock().expect("a lock");
        let closed = |state: &mut (bool, Vec<u8>)| !state.0;
        let mut state = self.shared.1.wait_while(state, closed).expect("a lock");
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A sink that is closed.
struct Closed;

impl Write for Closed {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe))
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn wait_for(condition: impl Fn() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("it did not come in time");
}

#[test]
fn hostile_values_stay_one_line_of_json() {
    let gate = Gate::default();
    gate.open();
    let output = Output::start(Bounds::default(), gate.clone()).expect("a thread");
    let (_, logger) = dispatch("router \"1\"", output).into_log();
    let ids = [
        "a\nb",
        "\"}{\"event\":\"x\"",
        "\u{1b}[31m",
        "\\",
        "é\u{2028}",
    ];
    for id in ids {
        let text = serde_json::to_string(&Example {
            event: "sent",
            id: id.to_owned(),
        });
        let text = text.expect("JSON");
        logger.log(
            &log::Record::builder()
                .level(log::Level::Info)
                .target(courseshunt_records::TARGET)
                .args(format_args!("{text}"))
                .build(),
        );
    }
    wait_for(|| gate.text().lines().count() == ids.len());
    for (line, id) in gate.text().lines().zip(ids) {
        let value: serde_json::Value = serde_json::from_str(line).expect(line);
        assert_eq!(value["id"], id);
        assert_eq!(value["process"], "router \"1\"");
    }
}

#[test]
fn a_full_output_leaves_lines_out_and_keeps_the_last_of_a_failed_request() {
    let gate = Gate::default();
    let bounds = Bounds {
        bytes_per_second: 1_000_000,
        queue: 16,
        reserve: 4,
    };
    let output = Output::start(bounds, gate.clone()).expect("a thread");
    for number in 0..1_000 {
        output.take(format!("{{\"routine\":{number}}}\n"), false);
    }
    output.take("{\"kept\":true}\n".to_owned(), true);
    let left_out = output.counts().left_out.load(Ordering::Relaxed);
    assert!(left_out >= 980, "{left_out}");
    gate.open();
    wait_for(|| gate.text().contains("kept"));
    assert!(gate.text().contains("left_out"), "{}", gate.text());
}

#[test]
fn the_volume_is_bounded() {
    let gate = Gate::default();
    gate.open();
    let bounds = Bounds {
        bytes_per_second: 1_000,
        ..Bounds::default()
    };
    let output = Output::start(bounds, gate).expect("a thread");
    for _ in 0..100 {
        output.take("x".repeat(100), false);
    }
    let left_out = output.counts().left_out.load(Ordering::Relaxed);
    assert!((80..=90).contains(&left_out), "{left_out}");
}

#[test]
fn a_closed_output_loses_lines_and_nothing_else() {
    let output = Output::start(Bounds::default(), Closed).expect("a thread");
    output.take("line\n".to_owned(), true);
    wait_for(|| output.counts().left_out.load(Ordering::Relaxed) == 1);
    output.take("line\n".to_owned(), true);
}

#[test]
fn a_story_keeps_each_processs_own_order() {
    let one = concat!(
        "noise\n",
        "  1.5 front {\"wall\":9000,\"steady\":20,\"process\":\"r1\",\"event\":\"sent\",\"id\":\"x\",\"instance\":\"i\"}\n",
        "{\"wall\":1000,\"steady\":30,\"process\":\"r1\",\"event\":\"refused\",\"id\":\"x\"}\n",
        "{\"wall\":9000,\"steady\":10,\"process\":\"r1\",\"event\":\"admitted\",\"id\":\"x\"}\n",
        "{\"wall\":9000,\"steady\":15,\"process\":\"r1\",\"event\":\"sent\",\"id\":\"xy\"}\n",
    );
    let two =
        "{\"wall\":9500,\"steady\":1,\"process\":\"r2\",\"event\":\"admitted\",\"id\":\"x\"}\n";
    let story = read_stories("x", [two, one]);
    assert_eq!(story.events(), ["admitted", "sent", "refused", "admitted"]);
    assert!(
        story.to_string().contains("10 ms  r1  sent instance=\"i\""),
        "{story}"
    );
    assert!(read_stories("z", [one]).is_empty());
}
