//! A group of one voter commits what it has persisted, and nothing earlier.

use courseshunt_consensus::{
    Core, CoreSettings, Input, Membership, Output, ProposalId, Recovered, Role,
};
use courseshunt_types::{ControllerId, LogIndex, Timestamp};

#[test]
fn an_entry_is_applied_only_after_it_is_persisted() {
    let id = ControllerId(1);
    let settings = CoreSettings::for_member(id);
    let bootstrap = Membership::of_voters([id]);
    let mut core = Core::new(settings, Recovered::default(), bootstrap, Timestamp(0));
    core.step(Input::Tick, Timestamp(5000));
    assert_eq!(core.role(), Role::Leader);

    let propose = Input::Propose {
        proposal: ProposalId(7),
        command: b"x".to_vec(),
    };
    let outputs = core.step(propose, Timestamp(5001));
    assert!(
        !outputs
            .iter()
            .any(|one| matches!(one, Output::Apply { .. }))
    );
    let persisted = Input::Persisted {
        through: LogIndex(2),
        term: core.term(),
    };
    let outputs = core.step(persisted, Timestamp(5002));
    let Some(Output::Apply { entries }) = outputs.last() else {
        panic!("expected the entries to be applied, got {outputs:?}");
    };
    assert_eq!(entries.len(), 2);
}
