//! Attribution of terminations to fingerprints: which ones explain that instances terminate.
//!
//! Invariant: a fingerprint that is blamed explains at least [`MAX_ENDS`] terminations that no
//! other blamed fingerprint explains, or contains several that do.
//!
//! All requests in flight at a terminated instance are suspects with all their fingerprints, and
//! those of a harmful request are shared by harmless ones. The rules:
//!
//! - A termination is explained once one of the fingerprints in flight there is blamed, and does
//!   not count against any other.
//! - Of two fingerprints of the same requests the narrower one is blamed first: it blocks fewer
//!   requests. The broader one follows if terminations go on without the narrower one.
//! - As long as a narrower fingerprint is suspected, a broader one needs more terminations: several
//!   harmful parts may share a harmless one.
//! - Of unrelated fingerprints that which explains most terminations is blamed, then that of the
//!   fewest requests. A wrong choice is corrected by the next termination.

use super::evidence::Evidence;
use super::{MAX_ENDS, SUSPECTED_ENDS, count_ends};
use courseshunt_types::{Digest, Timestamp};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Number of terminations after which a fingerprint is blamed although a narrower one within it is
/// suspected.
const MAX_BROAD_ENDS: usize = 5;
/// Number of blamed fingerprints after which a broader one that contains them is blamed instead.
const MAX_BLAMED_WITHIN: usize = 3;
/// Maximum number of fingerprints that are compared with each other; those with most terminations.
const MAX_CANDIDATES: usize = 64;

/// What is known of a fingerprint from before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// Nothing.
    New,
    /// It is in quarantine for good reasons, and explains terminations.
    Quarantined,
    /// It is sent again after a quarantine: one more termination suffices.
    Retried,
    /// An earlier leader put it in quarantine: any termination that nothing else explains is
    /// reason enough to leave it there.
    Restored,
}

/// A fingerprint that terminations are attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Blamed {
    pub(super) fingerprint: Digest,
    /// Number of terminations that count against it.
    pub(super) ends: usize,
    /// Time of the newest one.
    pub(super) last_end: Timestamp,
    /// Whether it is the narrowest one of its requests: their whole content.
    pub(super) is_content: bool,
}

/// Result of an attribution.
#[derive(Debug, Default)]
pub(super) struct Attribution {
    /// Fingerprints that explain the terminations.
    pub(super) blamed: Vec<Blamed>,
    /// Fingerprints against which several terminations count, those with most first.
    pub(super) suspected: Vec<Digest>,
    /// Restored fingerprints against which terminations count that nothing else explains.
    pub(super) confirmed: Vec<Digest>,
}

/// A request in flight at a terminated instance, and the place of a fingerprint in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Occurrence {
    request: usize,
    place: usize,
}

/// A fingerprint that was in flight at terminated instances.
#[derive(Debug)]
struct Candidate {
    fingerprint: Digest,
    standing: Standing,
    /// Whether it is the narrowest one of all requests that hold it.
    is_content: bool,
    /// Indexes of the terminations that count against it, in order.
    ends: Vec<usize>,
    /// Where it occurs, in the order of the requests; terminations that do not count included.
    occurrences: Vec<Occurrence>,
}

impl Candidate {
    fn required_ends(&self) -> usize {
        match self.standing {
            Standing::Retried => 1,
            Standing::New | Standing::Quarantined | Standing::Restored => MAX_ENDS,
        }
    }

    /// Number of terminations from which it is compared with others.
    fn relevant_ends(&self) -> usize {
        match self.standing {
            Standing::New | Standing::Quarantined => SUSPECTED_ENDS,
            Standing::Retried | Standing::Restored => 1,
        }
    }

    /// Whether it occurs behind the other one in requests that hold both, and most of its requests
    /// do.
    fn is_within(&self, other: &Self) -> bool {
        let mut others = other.occurrences.iter().peekable();
        let mut shared = 0;
        let mut behind = 0;
        for own in &self.occurrences {
            while others.next_if(|one| one.request < own.request).is_some() {}
            if let Some(one) = others.peek().filter(|one| one.request == own.request) {
                shared += 1;
                behind += usize::from(own.place > one.place);
            }
        }
        shared * 2 >= self.occurrences.len() && behind * 2 > shared
    }

    fn contains_ends(&self, other: &Self) -> bool {
        let mut ends = other.ends.iter();
        ends.all(|end| self.ends.binary_search(end).is_ok())
    }
}

/// The terminations, and which of them are explained.
struct Terminations {
    times: Vec<Timestamp>,
    explained: Vec<bool>,
}

impl Terminations {
    fn count(&self, candidate: &Candidate) -> usize {
        count_ends(candidate.ends.iter().map(|end| self.times[*end]))
    }

    fn count_unexplained(&self, candidate: &Candidate) -> usize {
        let unexplained = candidate.ends.iter().filter(|end| !self.explained[**end]);
        count_ends(unexplained.map(|end| self.times[*end]))
    }

    fn has_unexplained(&self, candidate: &Candidate) -> bool {
        candidate.ends.iter().any(|end| !self.explained[*end])
    }

    fn blamed(&self, candidate: &Candidate) -> Blamed {
        let times = candidate.ends.iter().map(|end| self.times[*end]);
        Blamed {
            fingerprint: candidate.fingerprint,
            ends: self.count(candidate),
            last_end: times.max().unwrap_or_default(),
            is_content: candidate.is_content,
        }
    }

    fn explain(&mut self, candidate: &Candidate) {
        for end in &candidate.ends {
            self.explained[*end] = true;
        }
    }
}

/// Attributes the terminations to fingerprints. `standing` is what is known of them from before.
pub(super) fn attribute(
    evidence: &Evidence,
    standing: impl Fn(&Digest) -> Standing,
) -> Attribution {
    let times: Vec<Timestamp> = evidence.terminated().map(|one| one.at).collect();
    let explained = vec![false; times.len()];
    let terminations = Terminations { times, explained };
    let candidates = candidates(evidence, standing, &terminations);
    let suspected = candidates.iter();
    let suspected = suspected.filter(|one| terminations.count(one) >= SUSPECTED_ENDS);
    let suspected = suspected.map(|one| one.fingerprint).collect();
    let mut search = Search {
        candidates: &candidates,
        blamed: Vec::new(),
        terminations,
    };
    search.run();
    Attribution {
        blamed: search.result(),
        suspected,
        confirmed: search.confirmed(),
    }
}

/// Fingerprints against which terminations count, those with most first.
fn candidates(
    evidence: &Evidence,
    standing: impl Fn(&Digest) -> Standing,
    terminations: &Terminations,
) -> Vec<Candidate> {
    let mut candidates: HashMap<Digest, Candidate> = HashMap::new();
    let mut request_index = 0;
    for (end, terminated) in evidence.terminated().enumerate() {
        for request in &terminated.requests {
            for (place, fingerprint) in request.iter().enumerate() {
                let candidate = candidates.entry(*fingerprint);
                let candidate = candidate.or_insert_with(|| Candidate {
                    fingerprint: *fingerprint,
                    standing: standing(fingerprint),
                    is_content: true,
                    ends: Vec::new(),
                    occurrences: Vec::new(),
                });
                candidate.is_content &= place + 1 == request.len();
                candidate.occurrences.push(Occurrence {
                    request: request_index,
                    place,
                });
                let is_new = candidate.ends.last() != Some(&end);
                if is_new && evidence.counts(fingerprint, terminated.at) {
                    candidate.ends.push(end);
                }
            }
            request_index += 1;
        }
    }
    let candidates = candidates.into_values();
    let mut candidates: Vec<(usize, Candidate)> = candidates
        .map(|one| (terminations.count(&one), one))
        .filter(|(count, one)| *count >= one.relevant_ends())
        .collect();
    candidates.sort_by_key(|(count, one)| {
        let requests = one.occurrences.len();
        (Reverse(*count), requests, one.fingerprint)
    });
    candidates.into_iter().map(|(_, one)| one).collect()
}

/// A fingerprint that is not blamed, and the terminations that would be explained by it alone.
#[derive(Debug, Clone, Copy)]
struct Open<'a> {
    candidate: &'a Candidate,
    ends: usize,
}

impl Open<'_> {
    fn is_within(&self, other: &Self) -> bool {
        self.candidate.is_within(other.candidate)
    }
}

/// The search for the fingerprints that explain the terminations.
struct Search<'a> {
    candidates: &'a [Candidate],
    blamed: Vec<&'a Candidate>,
    terminations: Terminations,
}

impl<'a> Search<'a> {
    fn run(&mut self) {
        let quarantined = self.candidates.iter();
        for one in quarantined.filter(|one| one.standing == Standing::Quarantined) {
            self.blame(one);
        }
        while let Some(next) = self.next() {
            self.blame(next);
        }
    }

    fn blame(&mut self, candidate: &'a Candidate) {
        self.terminations.explain(candidate);
        self.blamed.push(candidate);
    }

    /// The fingerprint that is blamed next, if any.
    fn next(&self) -> Option<&'a Candidate> {
        let open = self.open();
        let conclusive = open.iter().filter(|one| self.is_conclusive(one));
        let conclusive: Vec<&Open> = conclusive.collect();
        let may_be_blamed = conclusive.iter().filter(|one| {
            let mut others = conclusive.iter();
            let is_broader = others.any(|other| other.is_within(one));
            !is_broader && !self.is_ambiguous(one, &open)
        });
        let chosen = may_be_blamed.max_by_key(|one| {
            let requests = one.candidate.occurrences.len();
            (
                one.ends,
                Reverse(requests),
                Reverse(one.candidate.fingerprint),
            )
        });
        chosen.map(|one| one.candidate)
    }

    /// The fingerprints that may be blamed, those with most terminations.
    fn open(&self) -> Vec<Open<'a>> {
        let candidates = self.candidates.iter();
        let open = candidates.filter(|one| {
            let may_be = self.terminations.has_unexplained(one) || self.may_contain_several(one);
            may_be && !self.is_blamed(one)
        });
        let open = open.map(|candidate| Open {
            candidate,
            ends: self.terminations.count_unexplained(candidate),
        });
        let mut open: Vec<Open> = open.collect();
        open.sort_by_key(|one| Reverse(one.ends));
        open.truncate(MAX_CANDIDATES);
        open
    }

    fn is_blamed(&self, candidate: &Candidate) -> bool {
        let mut blamed = self.blamed.iter();
        blamed.any(|one| one.fingerprint == candidate.fingerprint)
    }

    fn is_conclusive(&self, open: &Open) -> bool {
        open.ends >= open.candidate.required_ends() || self.contains_several(open.candidate)
    }

    /// Whether a narrower fingerprint may turn out to be the cause instead.
    fn is_ambiguous(&self, open: &Open, all: &[Open]) -> bool {
        if open.ends >= MAX_BROAD_ENDS || self.contains_several(open.candidate) {
            return false;
        }
        let mut suspected = all.iter().filter(|one| one.ends >= SUSPECTED_ENDS);
        suspected.any(|one| one.is_within(open))
    }

    /// A necessary condition of [`Self::contains_several`] that costs little.
    fn may_contain_several(&self, candidate: &Candidate) -> bool {
        let enough_blamed = self.blamed.len() >= MAX_BLAMED_WITHIN;
        enough_blamed && candidate.ends.len() >= MAX_BLAMED_WITHIN * MAX_ENDS
    }

    /// Whether several blamed fingerprints lie within this one, so that it may be the cause of all.
    fn contains_several(&self, candidate: &Candidate) -> bool {
        if !self.may_contain_several(candidate) {
            return false;
        }
        let blamed = self.blamed.iter();
        let within = blamed.filter(|one| candidate.contains_ends(one) && one.is_within(candidate));
        let within: Vec<&&Candidate> = within.collect();
        let outermost = within.iter().filter(|one| {
            let mut others = within.iter();
            !others.any(|other| one.is_within(other))
        });
        outermost.count() >= MAX_BLAMED_WITHIN
    }

    /// The blamed fingerprints that are new, without those that a broader one contains.
    fn result(&self) -> Vec<Blamed> {
        let blamed = self.blamed.iter();
        let new = blamed.filter(|one| one.standing != Standing::Quarantined);
        let new = new.filter(|one| !self.is_redundant(one));
        new.map(|one| self.terminations.blamed(one)).collect()
    }

    fn confirmed(&self) -> Vec<Digest> {
        let restored = self.candidates.iter();
        let restored = restored.filter(|one| one.standing == Standing::Restored);
        let confirmed = restored.filter(|one| self.terminations.has_unexplained(one));
        confirmed.map(|one| one.fingerprint).collect()
    }

    fn is_redundant(&self, candidate: &Candidate) -> bool {
        let mut others = self.blamed.iter();
        others.any(|other| other.contains_ends(candidate) && candidate.is_within(other))
    }
}
