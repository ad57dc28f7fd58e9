//! An instance registers at controllers of two releases, of which the previous one passes no start time
//! on; it restarts and ends, and leaders follow one another.

use super::*;

/// Time between two registrations of an instance.
const BEAT: Millis = Millis(1_000);
/// Registrations that show a leader which incarnation runs: those of the time after which a silent
/// instance is removed, and two more.
const SETTLING_BEATS: usize = 7;
/// Sequence number of the first registration. It is far from those of an incarnation that begins anew:
/// a late registration with a near one can't be told from one of the later incarnation.
const FIRST_SEQUENCE: u64 = 100;

/// Which controllers an instance registers at, and so how it is named.
#[derive(Debug, Clone, Copy)]
enum Way {
    WithStart,
    ByName,
}

/// What happens in a group of two releases.
#[derive(Debug, Clone, Copy)]
enum Event {
    Beat(Way),
    /// The controllers of one release send what they received again.
    Resend(Way),
    Restart,
    /// The instance ends and starts again; its end is recorded.
    EndAndRestart(Way),
    LeaderChange,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let way = || prop_oneof![Just(Way::WithStart), Just(Way::ByName)];
    let event = prop_oneof![
        5 => way().prop_map(Event::Beat),
        2 => way().prop_map(Event::Resend),
        1 => Just(Event::Restart),
        1 => way().prop_map(Event::EndAndRestart),
        1 => Just(Event::LeaderChange),
    ];
    proptest::collection::vec(event, 1..40)
}

/// An instance, the controllers that it registers at, and their leader.
struct Group {
    engine: PlacementEngine,
    with_start: RegistrationOutbox,
    by_name: RegistrationOutbox,
    /// Ends that the log holds.
    ended: Vec<RunnerId>,
    now: Timestamp,
    started: u64,
    sequence: u64,
}

impl Group {
    fn new() -> Self {
        let now = Timestamp(10_000);
        let mut with_start = RegistrationOutbox::default();
        let mut by_name = RegistrationOutbox::default();
        with_start.restart(now);
        by_name.restart(now);
        Self {
            engine: engine(),
            with_start,
            by_name,
            ended: Vec::new(),
            now,
            started: FIRST,
            sequence: FIRST_SEQUENCE,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Beat(way) => self.beat(way),
            Event::Resend(way) => self.resend(way),
            // It restarts once: the first numbers of two later incarnations are near each other.
            Event::Restart | Event::EndAndRestart(_) if self.started != FIRST => {}
            Event::Restart => self.restart(),
            Event::EndAndRestart(way) => {
                self.end(way);
                self.restart();
            }
            Event::LeaderChange => self.change_leader(),
        }
    }

    fn outbox(&mut self, way: Way) -> &mut RegistrationOutbox {
        match way {
            Way::WithStart => &mut self.with_start,
            Way::ByName => &mut self.by_name,
        }
    }

    fn beat(&mut self, way: Way) {
        self.now = self.now + BEAT;
        self.sequence += 1;
        let started = match way {
            Way::WithStart => Some(self.started),
            Way::ByName => None,
        };
        let model = format!("m{}", self.started);
        let (sent, now) = (registration(started, self.sequence, &model), self.now);
        self.outbox(way).offer(sent, now);
        self.relay(way);
        self.engine.expire(now);
    }

    fn resend(&mut self, way: Way) {
        let now = self.now;
        self.outbox(way).restart(now);
        self.relay(way);
    }

    fn relay(&mut self, way: Way) {
        let now = self.now;
        loop {
            let taken = self.outbox(way).take(now);
            if taken.is_empty() {
                return;
            }
            for one in taken {
                if let Err(lacked) = self.engine.register_relayed(one, now) {
                    self.outbox(way).resend(&lacked);
                }
            }
        }
    }

    fn restart(&mut self) {
        self.started = SECOND;
        self.sequence = 0;
    }

    fn end(&mut self, way: Way) {
        let ended = match way {
            Way::WithStart => RunnerId::of_incarnation("i-1", self.started),
            Way::ByName => RunnerId::from("i-1"),
        };
        self.engine.mark_terminated(&ended, self.now);
        if !self.ended.contains(&ended) {
            self.ended.push(ended);
        }
    }

    /// The next leader applies what is recorded, and then is sent what was received before.
    fn change_leader(&mut self) {
        self.engine = engine();
        for ended in &self.ended {
            self.engine.mark_terminated(ended, self.now);
        }
        self.resend(Way::WithStart);
        self.resend(Way::ByName);
    }

    fn is_served(&self) -> bool {
        let views = self.engine.views(self.now);
        views.iter().any(|view| view.state == InstanceState::Ready)
    }
}

proptest! {
    /// Whatever happened before, an instance that registers with its start time is held as ready with
    /// its own models, once and under its own identity.
    #[test]
    fn an_instance_that_registers_with_its_start_time_is_served_in_a_group_of_two_releases(
        events in events(),
    ) {
        let mut group = Group::new();
        for event in events {
            group.apply(event);
        }
        for _ in 0..SETTLING_BEATS + 2 {
            group.beat(Way::WithStart);
        }
        let running = RunnerId::of_incarnation("i-1", group.started);
        let held = vec![(running, format!("m{}", group.started))];
        prop_assert_eq!(models(&group.engine, group.now), held);
        prop_assert!(group.is_served());
    }

    /// As long as no end was recorded: whatever happened before, an instance that registers at controllers
    /// of both releases, in any order, is held once, as ready and with its own models.
    #[test]
    fn an_instance_that_restarts_in_a_group_of_two_releases_is_served(
        events in events(),
        ways in proptest::collection::vec(
            prop_oneof![Just(Way::WithStart), Just(Way::ByName)],
            SETTLING_BEATS + 6,
        ),
    ) {
        let mut group = Group::new();
        for event in events {
            group.apply(match event {
                Event::EndAndRestart(_) => Event::Restart,
                other => other,
            });
        }
        for way in ways {
            group.beat(way);
        }
        let held = models(&group.engine, group.now);
        prop_assert_eq!(held.len(), 1);
        prop_assert_eq!(&held[0].1, &format!("m{}", group.started));
        prop_assert!(group.is_served());
    }

    /// An end that either kind of controller recorded binds: nothing that was received before it, and is
    /// sent again to the present or a later leader, brings the instance back.
    #[test]
    fn an_end_that_controllers_of_either_release_recorded_binds(
        before in events(),
        end in prop_oneof![Just(Way::WithStart), Just(Way::ByName)],
        after in proptest::collection::vec(
            prop_oneof![
                Just(Event::Resend(Way::WithStart)),
                Just(Event::Resend(Way::ByName)),
                Just(Event::LeaderChange),
            ],
            1..8,
        ),
    ) {
        let mut group = Group::new();
        for event in before {
            if matches!(event, Event::Beat(_) | Event::Resend(_) | Event::LeaderChange) {
                group.apply(event);
            }
        }
        group.end(end);
        prop_assert!(!group.is_served());
        for event in after {
            group.apply(event);
            prop_assert!(!group.is_served(), "after {:?}", event);
        }
    }
}
