//! A quarantine across a change of leader, in virtual time: the next leader has the record of the
//! log, and what the remaining routers report again.

use courseshunt_services::{
    QuarantineChange, QuarantineLedger, QuarantinedContent, RouterQuarantine,
};
use courseshunt_types::{Digest, Millis, RunnerId, Timestamp};

/// A part that the prompts of sound requests share.
const PART: &str = "part";
/// Time from the end of a connection to the leader's report that the instance is gone.
const GONE_DELAY: Millis = Millis(3_400);
/// Time from a report to its attribution.
const ATTRIBUTION_DELAY: Millis = Millis(30);
const FIRST_END: Timestamp = Timestamp(10_000);
/// Ends of connections of two instances that the leader counts as gone [`GONE_DELAY`] later.
const GONE: [(&str, Timestamp); 2] = [("i-2", Timestamp(10_400)), ("i-3", Timestamp(10_900))];
/// When a request with [`PART`] was sent that is answered after the quarantine has begun.
const SENT: Timestamp = Timestamp(11_500);
const ANSWERED: Timestamp = Timestamp(15_700);

fn digest(text: &str) -> Digest {
    Digest::of(text.as_bytes())
}

/// Fingerprints of a request with [`PART`], whose content no other request has.
fn request(number: &str) -> Vec<Digest> {
    vec![digest(PART), digest(number)]
}

fn is_quarantined(ledger: &QuarantineLedger) -> bool {
    let (_, quarantined) = ledger.fingerprints_for_routers();
    quarantined.contains(&digest(PART))
}

/// A leader and the routers that follow it.
struct Group {
    ledger: QuarantineLedger,
    routers: Vec<RouterQuarantine>,
}

impl Group {
    fn new(routers: usize) -> Self {
        Self {
            ledger: QuarantineLedger::default(),
            routers: std::iter::repeat_with(RouterQuarantine::default)
                .take(routers)
                .collect(),
        }
    }

    /// A router detects at `now` that an instance terminated at `at` under a request with the part.
    fn ended(&mut self, router: usize, instance: &str, at: Timestamp, now: Timestamp) {
        let fingerprints = request(instance);
        self.routers[router].ended(&fingerprints, RunnerId::from(instance), at);
        self.exchange(now);
    }

    fn answered(&mut self, router: usize, sent_at: Timestamp, now: Timestamp) {
        let fingerprints = request(&format!("sent at {}", sent_at.0));
        self.routers[router].answered(&fingerprints, sent_at, now);
        self.exchange(now);
    }

    /// Sends the leader all reports, and the routers the leader's lists, until nothing changes.
    fn exchange(&mut self, now: Timestamp) {
        self.take_reports(now);
        let attributed_at = now + ATTRIBUTION_DELAY;
        self.ledger.attribute(attributed_at);
        if self.publish(attributed_at) {
            self.exchange(attributed_at);
        }
    }

    fn take_reports(&mut self, now: Timestamp) {
        for router in &mut self.routers {
            let (ends, answered) = router.take_unreported(now);
            for end in &ends {
                self.ledger.ended(end, now);
            }
            for answer in &answered {
                self.ledger.answered(answer, now);
            }
        }
    }

    fn publish(&mut self, now: Timestamp) -> bool {
        let Some((suspected, quarantined)) = self.ledger.take_publication() else {
            return false;
        };
        for router in &mut self.routers {
            router.set(suspected.clone(), quarantined.clone(), now);
        }
        true
    }

    /// Another controller leads, with what the log holds.
    fn elect(&mut self, recorded: &[QuarantinedContent], now: Timestamp) {
        self.ledger = QuarantineLedger::default();
        self.ledger.restore(recorded, now);
        for router in &mut self.routers {
            router.mark_all_unreported();
        }
        self.publish(now);
        self.exchange(now);
    }
}

/// Blames the part for three ends, two of them of instances that were only counted as gone; returns
/// the group, and what the log holds then.
fn blamed_part() -> (Group, Vec<QuarantinedContent>) {
    let mut group = Group::new(2);
    group.ended(0, "i-1", FIRST_END, FIRST_END);
    for (instance, at) in GONE {
        group.ended(0, instance, at, at + GONE_DELAY);
    }
    assert!(is_quarantined(&group.ledger));
    let recorded = group.ledger.to_record();
    (group, recorded)
}

/// The leader ends the quarantine by an answer, but leads no longer, so that the log does not have it.
fn cleared_part() -> (Group, Vec<QuarantinedContent>) {
    let (mut group, recorded) = blamed_part();
    group.answered(1, SENT, ANSWERED);
    assert!(!is_quarantined(&group.ledger));
    (group, recorded)
}

/// Soak, seed 7004: "stream at router 101 is not served again". The next leader kept the record until
/// three later terminations would have disproved it.
#[test]
fn a_clearing_that_was_not_recorded_is_not_lost_with_the_leader() {
    let (mut group, recorded) = cleared_part();
    let elected_at = ANSWERED + Millis(3_000);
    group.elect(&recorded, elected_at);
    assert!(!is_quarantined(&group.ledger));
    assert!(group.ledger.to_record().is_empty(), "the log is corrected");
    let fingerprint = digest(PART);
    let cleared = QuarantineChange::Cleared { fingerprint };
    assert!(group.ledger.take_changes().contains(&cleared));
}

/// A router retained answers for ten seconds from the sending of their requests.
#[test]
fn a_clearing_that_was_not_recorded_outlives_a_long_election() {
    let (mut group, recorded) = cleared_part();
    group.elect(&recorded, ANSWERED + Millis(20_000));
    assert!(!is_quarantined(&group.ledger));
}

#[test]
fn a_clearing_that_was_not_recorded_outlives_several_elections() {
    let (mut group, recorded) = cleared_part();
    for seconds in [3, 9, 15] {
        group.elect(&recorded, ANSWERED + Millis(seconds * 1_000));
        assert!(!is_quarantined(&group.ledger), "after {seconds} s");
    }
}

/// The leader fails before it has the answer.
#[test]
fn an_answer_that_no_leader_received_clears_a_record() {
    let (mut group, recorded) = blamed_part();
    let content = request("sent before the quarantine");
    group.routers[1].answered(&content, SENT, ANSWERED);
    group.elect(&recorded, ANSWERED + Millis(3_000));
    assert!(!is_quarantined(&group.ledger));
}

/// The router that observed the terminations is lost: nothing shows that the answer came after them.
#[test]
fn an_answer_without_the_terminations_of_a_record_does_not_clear_it() {
    let (mut group, recorded) = cleared_part();
    group.routers.remove(0);
    group.elect(&recorded, ANSWERED + Millis(3_000));
    assert!(is_quarantined(&group.ledger));
}

#[test]
fn an_answer_with_a_part_of_the_terminations_of_a_record_does_not_clear_it() {
    let (mut group, recorded) = cleared_part();
    group.routers[0] = RouterQuarantine::default();
    for (instance, at) in GONE {
        let fingerprints = request(instance);
        group.routers[0].ended(&fingerprints, RunnerId::from(instance), at);
    }
    group.elect(&recorded, ANSWERED + Millis(3_000));
    assert!(is_quarantined(&group.ledger));
}

/// The part turned harmful after the answer.
#[test]
fn an_answer_does_not_clear_a_record_beside_a_later_termination() {
    let (mut group, recorded) = cleared_part();
    let at = ANSWERED + Millis(500);
    let fingerprints = request("i-4");
    group.routers[0].ended(&fingerprints, RunnerId::from("i-4"), at);
    group.elect(&recorded, ANSWERED + Millis(3_000));
    assert!(is_quarantined(&group.ledger));
}

/// One termination is enough for a second quarantine: those of the first show nothing about it.
#[test]
fn an_answer_does_not_clear_a_record_of_a_repeated_quarantine() {
    let (mut group, recorded) = cleared_part();
    let repeated: Vec<QuarantinedContent> = recorded
        .into_iter()
        .map(|one| QuarantinedContent { times: 2, ..one })
        .collect();
    group.elect(&repeated, ANSWERED + Millis(3_000));
    assert!(is_quarantined(&group.ledger));
}

/// Terminations of an hour ago under a part that was sound then: a record of now has others.
#[test]
fn an_answer_after_terminations_of_long_ago_does_not_clear_a_record() {
    let (mut group, recorded) = blamed_part();
    let sent_at = SENT + Millis(600_000);
    let now = sent_at + Millis(4_000);
    group.routers[1].answered(&request("later"), sent_at, now);
    group.elect(&recorded, now + Millis(3_000));
    assert!(is_quarantined(&group.ledger));
}
