//! A group of one voter commits an entry only after it is persisted.

use courseshunt_consensus::{
    Core, CoreSettings, Input, Membership, Output, PersistNumber, ProposalId, Recovered, Role,
};
use courseshunt_types::{ControllerId, Timestamp};

fn applied(outputs: &[Output]) -> usize {
    let counts = outputs.iter().map(|one| match one {
        Output::Apply { entries } => entries.len(),
        _ => 0,
    });
    counts.sum()
}

#[test]
fn an_entry_is_applied_only_after_it_is_persisted() {
    let id = ControllerId(1);
    let settings = CoreSettings::for_member(id);
    let bootstrap = Membership::of_voters([id]);
    let mut core = Core::new(settings, Recovered::default(), bootstrap, Timestamp(0));
    core.step(Input::Tick, Timestamp(5000));
    assert_eq!(core.role(), Role::Candidate, "the vote is not durable yet");
    let persisted = |number| Input::Persisted {
        number: PersistNumber(number),
    };
    core.step(persisted(1), Timestamp(5000));
    assert_eq!(core.role(), Role::Leader);

    let propose = Input::Propose {
        proposal: ProposalId(7),
        command: b"x".to_vec(),
    };
    let outputs = core.step(propose, Timestamp(5001));
    assert_eq!(applied(&outputs), 0);
    let outputs = core.step(persisted(2), Timestamp(5002));
    assert_eq!(applied(&outputs), 1, "the first entry of the term");
    let outputs = core.step(persisted(3), Timestamp(5002));
    assert_eq!(applied(&outputs), 1, "the command");
}
