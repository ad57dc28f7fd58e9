//! Operators' changes: damaged ones are refused whole.

use super::corpus;
use courseshunt_fuzz::{config, damaged};
use courseshunt_state::{ChangeRequest, Command, CommandEnvelope, CommandReply, ReplicatedState};
use courseshunt_types::{ClientId, ClientSequence, LogIndex, Term, UnixMillis};
use proptest::prelude::*;

fn envelope(change: ChangeRequest) -> CommandEnvelope {
    CommandEnvelope {
        client: ClientId::default(),
        sequence: ClientSequence(0),
        acknowledged: ClientSequence(0),
        proposed_at: UnixMillis(1000),
        command: Command::ChangeConfiguration(change),
    }
}

proptest! {
    #![proptest_config(config(1000))]

    #[test]
    fn changes(body in damaged(corpus("admin"))) {
        let Ok(change) = serde_json::from_slice::<ChangeRequest>(&body) else {
            return Ok(());
        };
        let mut state = ReplicatedState::default();
        let before = state.configuration.clone();
        match state.apply(LogIndex(1), Term(1), &envelope(change)) {
            CommandReply::Configured { revision } => {
                prop_assert_eq!(revision, state.configuration.revision);
                for stored in state.configuration.deployments.values() {
                    prop_assert!(stored.document.validate().is_ok());
                }
            }
            _ => prop_assert_eq!(before, state.configuration),
        }
    }
}
