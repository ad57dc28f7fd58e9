//! What a process of the group does besides consensus: it asks to join, takes others in,
//! and, while it leads, repairs the group. The same steps as the coordinator's.

use super::{Group, GroupEvent, Told, Way};
use crate::world::{Event, World};
use courseshunt_consensus::{Input, MembersView, MembershipChange, ProposalId, Role};
use courseshunt_membership::{
    GroupView, JoinReply, JoinRequests, Joiner, JoinerView, next_address_to_record, next_change,
};
use courseshunt_state::{Command, CommandEnvelope};
use courseshunt_types::{ClientId, ClientSequence, ControllerId, Term, Timestamp, UnixMillis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time between looks of a process, in milliseconds.
const LOOK: u64 = 100;
/// Longest time for a question, in milliseconds.
const QUESTION_LIMIT: u64 = 700;
/// A stranger met within this time lives there, in milliseconds.
const MET_LATELY: u64 = 2_000;
/// Proposals of the repair carry numbers that no client's have.
const FIRST_PROPOSAL: u64 = 1 << 41;

/// One process of the group, with what it knows of others.
pub(crate) struct Person {
    pub(super) address: SocketAddr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) book: BTreeMap<ControllerId, SocketAddr>,
    /// Addresses of members, as they lie on the disk.
    pub(super) stored: BTreeMap<ControllerId, SocketAddr>,
    pub(super) strangers: BTreeMap<ControllerId, (SocketAddr, u64)>,
    pub(super) joiner: Joiner,
    pub(super) applicants: JoinRequests,
    /// The term that it leads in, and since when.
    led: Option<(Term, Timestamp)>,
    pub(super) started_at: u64,
    /// Whether it was ever a member.
    pub(super) joined: bool,
}

impl Person {
    pub(super) fn new(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        way: Way,
        started_at: u64,
    ) -> Self {
        Self {
            address,
            seeds,
            book: BTreeMap::new(),
            stored: BTreeMap::new(),
            strangers: BTreeMap::new(),
            joiner: Joiner::with_strategy(way.of_joiner()),
            applicants: JoinRequests::default(),
            led: None,
            started_at,
            joined: false,
        }
    }

    /// What is left of its knowledge when its process starts again.
    pub(super) fn restart(&mut self, seeds: Vec<SocketAddr>, way: Way) {
        let stored = std::mem::take(&mut self.stored);
        let joined = self.joined;
        *self = Self::new(self.address, seeds, way, self.started_at);
        self.joined = joined;
        self.book = stored.clone();
        self.stored = stored;
    }

    /// Whom it may ask.
    fn known(&self, way: Way) -> Vec<SocketAddr> {
        let known = match way {
            Way::FollowAnswers => self.book.values(),
            Way::SeedsAlone | Way::PassOn => self.stored.values(),
        };
        let known: BTreeSet<SocketAddr> = known.chain(&self.seeds).copied().collect();
        known.into_iter().collect()
    }
}

/// What a process knows at a look.
struct View {
    now: Timestamp,
    leader: Option<ControllerId>,
    leads: Option<Term>,
    members: MembersView,
    /// Addresses in the replicated state.
    recorded: BTreeMap<ControllerId, SocketAddr>,
}

impl World {
    fn view_of(&self, id: ControllerId) -> Option<View> {
        let process = self.nodes.get(&id)?.running.as_ref()?;
        let now = self.clock_of(id);
        let core = &process.core;
        let recorded = process.state.members.iter();
        let recorded = recorded.filter_map(|(id, address)| Some((*id, address.parse().ok()?)));
        Some(View {
            now,
            leader: core.leader(),
            leads: (core.role() == Role::Leader).then(|| core.term()),
            members: core.members_view(now),
            recorded: recorded.collect(),
        })
    }

    pub(super) fn person_looks(&mut self, id: ControllerId, life: u64) {
        if self.nodes.get(&id).is_none_or(|node| node.life != life) {
            return;
        }
        self.schedule(LOOK, Event::Group(GroupEvent::Look(id, life)));
        let Some(view) = self.view_of(id) else {
            return;
        };
        let Some(mut group) = self.group.take() else {
            return;
        };
        let questions = group.look(id, &view);
        let change = group.repair(id, &view, self.now);
        let unrecorded = group.unrecorded(id, &view);
        self.group = Some(group);
        for to in questions {
            self.ask(id, to);
        }
        if let Some((member, address)) = unrecorded {
            self.record_address(id, member, address);
        }
        if let Some(change) = change {
            self.make_change(id, change);
        }
    }

    fn ask(&mut self, from: ControllerId, to: SocketAddr) {
        let delay = self.delay() * 2;
        let question = GroupEvent::Question {
            applicant: from,
            from,
            to,
            passed_on: false,
        };
        self.schedule(delay, Event::Group(question));
    }

    /// The process that lives at an address, if a question from `from` gets there and back.
    fn reached(&self, from: ControllerId, to: SocketAddr) -> Option<ControllerId> {
        let there = *self.group.as_ref()?.places.get(&to)?;
        let cut = self.blocked.contains(&(from, there)) || self.blocked.contains(&(there, from));
        let runs = self.nodes.get(&there)?.running.is_some();
        (runs && !cut).then_some(there)
    }

    pub(super) fn question_arrives(
        &mut self,
        applicant: ControllerId,
        from: ControllerId,
        to: SocketAddr,
        passed_on: bool,
    ) {
        let Some(life) = self.nodes.get(&applicant).map(|node| node.life) else {
            return;
        };
        let answered = self.reached(from, to);
        let view = answered.and_then(|there| self.view_of(there));
        let delay = match view.is_some() {
            true => self.delay() * 2,
            false => QUESTION_LIMIT,
        };
        let mut answer = None;
        let mut pass_to = None;
        if let (Some(there), Some(view), Some(group)) = (answered, view, &mut self.group) {
            answer = group.take_in(there, applicant, &view);
            if group.options.way == Way::PassOn && view.leads.is_none() && !passed_on {
                let leader = answer.as_ref().and_then(|told| told.reply.leader);
                pass_to = leader.map(|leader| (there, leader));
            }
        }
        if let Some((from, to)) = pass_to {
            let question = GroupEvent::Question {
                applicant,
                from,
                to,
                passed_on: true,
            };
            let delay = self.delay();
            self.schedule(delay, Event::Group(question));
        }
        if !passed_on {
            let event = GroupEvent::Answer {
                to: applicant,
                life,
                address: to,
                answer,
            };
            self.schedule(delay, Event::Group(event));
        }
    }

    pub(super) fn answer_arrives(
        &mut self,
        to: ControllerId,
        life: u64,
        address: SocketAddr,
        answer: Option<Told>,
    ) {
        if self.nodes.get(&to).is_none_or(|node| node.life != life) {
            return;
        }
        let now = self.clock_of(to);
        let person = self
            .group
            .as_mut()
            .and_then(|group| group.people.get_mut(&to));
        let Some(person) = person else {
            return;
        };
        let Some(told) = answer else {
            person.joiner.no_reply(address, now);
            return;
        };
        for (member, address) in &told.members {
            if *member != to {
                person.book.insert(*member, *address);
            }
        }
        person.joiner.reply_received(address, &told.reply, now);
    }

    /// Records a new member's address, then makes the change.
    fn make_change(&mut self, leader: ControllerId, change: MembershipChange) {
        if let MembershipChange::AddLearner(member) = change {
            let group = self.group.as_ref();
            let leader_knows = group.and_then(|group| group.people.get(&leader));
            let address = leader_knows.and_then(|person| person.book.get(&member).copied());
            if let Some(address) = address {
                self.record_address(leader, member, address);
            }
        }
        let proposal = self.next_proposal();
        self.with_process(leader, |process, now, checker| {
            process.step(Input::ProposeMembership { proposal, change }, now, checker);
        });
    }

    fn record_address(&mut self, leader: ControllerId, member: ControllerId, address: SocketAddr) {
        let wire_address = address.to_string();
        let envelope = CommandEnvelope {
            client: ClientId::default(),
            sequence: ClientSequence(0),
            acknowledged: ClientSequence(0),
            proposed_at: UnixMillis(self.now),
            command: Command::RecordMember {
                member,
                wire_address,
            },
        };
        let command = envelope.to_payload();
        let proposal = self.next_proposal();
        self.with_process(leader, |process, now, checker| {
            process.step(Input::Propose { proposal, command }, now, checker);
        });
    }

    fn next_proposal(&mut self) -> ProposalId {
        self.last_proposal += 1;
        ProposalId(FIRST_PROPOSAL + self.last_proposal)
    }
}

impl Group {
    /// Takes over what the process has learnt; gives whom it asks now.
    fn look(&mut self, id: ControllerId, view: &View) -> Vec<SocketAddr> {
        let Some(person) = self.people.get_mut(&id) else {
            return Vec::new();
        };
        for (member, address) in &view.recorded {
            person.book.insert(*member, *address);
        }
        let members = view.members.membership.all();
        let stored = members.iter();
        let stored = stored.filter_map(|id| Some((*id, *person.book.get(id)?)));
        person.stored = stored.collect();
        let known = person.known(self.options.way);
        let asking = JoinerView {
            own_address: person.address,
            leader_known: view.leader.is_some(),
            is_member: !view.members.membership.voters.is_empty(),
            known_addresses: &known,
        };
        let due = person.joiner.due(asking, view.now);
        self.questions += due.len();
        due
    }

    /// The leader's next change of the members, if one is due.
    fn repair(&mut self, id: ControllerId, view: &View, now: u64) -> Option<MembershipChange> {
        let person = self.people.get_mut(&id)?;
        let Some(term) = view.leads else {
            person.led = None;
            person.applicants.clear();
            return None;
        };
        let since = match person.led {
            Some((led, since)) if led == term => since,
            _ => view.now,
        };
        person.led = Some((term, since));
        person
            .strangers
            .retain(|_, (_, met_at)| *met_at + MET_LATELY > now);
        for (stranger, (address, _)) in &person.strangers {
            person.book.insert(*stranger, *address);
            person.applicants.record(*stranger, *address, view.now);
        }
        let all = view.members.membership.all();
        let joining = person.applicants.pending(&all, view.now);
        let change = next_change(&GroupView {
            own: id,
            members: &view.members,
            addresses: &person.book,
            joining: &joining,
            led_for: view.now.since(since),
        });
        self.note_joined(&all, now);
        change
    }

    /// A member whose address the leader has to record.
    fn unrecorded(&self, id: ControllerId, view: &View) -> Option<(ControllerId, SocketAddr)> {
        view.leads?;
        let person = self.people.get(&id)?;
        let all = view.members.membership.all();
        next_address_to_record(&all, &view.recorded, &person.book)
    }

    fn note_joined(&mut self, members: &BTreeSet<ControllerId>, now: u64) {
        for member in members {
            if let Some(person) = self.people.get_mut(member)
                && !person.joined
            {
                person.joined = true;
                self.join_times.push(now - person.started_at);
            }
        }
    }

    /// Answers `applicant` at the process `there`.
    fn take_in(
        &mut self,
        there: ControllerId,
        applicant: ControllerId,
        view: &View,
    ) -> Option<Told> {
        let address = self.people.get(&applicant)?.address;
        let person = self.people.get_mut(&there)?;
        person.book.insert(applicant, address);
        let leads = view.leads.is_some();
        if leads {
            person.applicants.record(applicant, address, view.now);
        }
        let members = view.members.membership.all().into_iter();
        let members = members.filter_map(|id| Some((id, *person.book.get(&id)?)));
        let mut members: Vec<(ControllerId, SocketAddr)> = members.collect();
        if members.is_empty() {
            members = person.book.iter().map(|(id, at)| (*id, *at)).collect();
        }
        let leader = view.leader.and_then(|leader| match leader == there {
            true => Some(person.address),
            false => person.book.get(&leader).copied(),
        });
        let reply = JoinReply {
            leads,
            leader,
            members: members.iter().map(|(_, address)| *address).collect(),
        };
        Some(Told { reply, members })
    }
}
