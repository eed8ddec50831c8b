//! The accepted declarations.

use {
    super::{
        command::DeclarationChange,
        submissions::{ContentDigest, SubmissionLog, SubmissionMatch},
    },
    base::RevisionNumber,
    indexmap::IndexMap,
    proto::messages::{operator::ApplyReply, DeclarationBundle, DeclarationFile},
    serde::{Deserialize, Serialize},
    settings::{declaration::RetentionPolicy, FleetDeclaration, FleetPolicy, PolicySubject},
    spread::{DeclarationStore, OfferOutcome},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// The accepted revision, its files and the replies to the most recent submissions.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct DeclarationTable {
    bundle: DeclarationBundle,
    submissions: SubmissionLog<ApplyReply>,
    /// The longest lease that a worker may still hold under this or an earlier revision.
    lease_bound: Duration,
    /// The revision in which each rule got its current text.
    rules_since: IndexMap<String, RevisionNumber>,
    #[serde(skip)]
    store: DeclarationStore,
    #[serde(skip)]
    defaults: FleetPolicy,
}

impl DeclarationTable {
    /// Returns the table of a new cluster: no files, revision zero.
    pub fn new() -> Self {
        let lease_bound = longest_lease(&FleetDeclaration::default());
        Self { lease_bound, ..Self::default() }
    }

    /// Rebuilds the derived fields after the files have been read from a snapshot.
    pub fn restore(&mut self) {
        self.store = DeclarationStore::new();
        self.store.offer(self.bundle.clone());
        self.defaults = fleet_defaults(self.store.fleet());
    }

    /// Returns the accepted revision.
    pub fn revision(&self) -> RevisionNumber {
        self.store.revision()
    }

    /// Returns the accepted declarations.
    pub fn fleet(&self) -> &Arc<FleetDeclaration> {
        self.store.fleet()
    }

    /// Returns the accepted files.
    pub fn bundle(&self) -> &Arc<DeclarationBundle> {
        self.store.bundle()
    }

    /// Returns the files if `known`, the revision in force at a peer, is older than the accepted
    /// one.
    pub fn newer_than(&self, known: RevisionNumber) -> Option<DeclarationBundle> {
        self.store.newer_than(known)
    }

    /// Returns the declared limits on retained history.
    pub fn retention(&self) -> &RetentionPolicy {
        &self.defaults.retention
    }

    /// Returns the default policy of the fleet.
    pub fn defaults(&self) -> &FleetPolicy {
        &self.defaults
    }

    /// Returns the revision in which a rule got its current text, or zero if no file sets the rule.
    pub fn rule_since(&self, rule: Option<&str>) -> RevisionNumber {
        rule.and_then(|rule| self.rules_since.get(rule)).copied().unwrap_or_default()
    }

    /// Returns the longest lease that any worker may still hold.
    pub fn lease_bound(&self) -> Duration {
        self.lease_bound
    }

    /// Returns the longest lease that the accepted revision declares.
    pub fn declared_lease(&self) -> Duration {
        longest_lease(self.store.fleet())
    }

    /// Lowers the lease bound to the declared length, unless `revision` is no longer the accepted
    /// one. Returns whether it did.
    pub fn lower_lease_bound(&mut self, revision: RevisionNumber) -> bool {
        let settled = revision == self.revision();
        if settled {
            self.lease_bound = self.declared_lease();
        }
        settled
    }

    /// Accepts or refuses a change. A resent submission gets its first reply again.
    pub fn apply(&mut self, change: DeclarationChange) -> ApplyReply {
        let digest = ContentDigest::of(&(change.base, &change.files));
        match self.submissions.find(&change.submission, digest) {
            SubmissionMatch::Resent(answer) => return answer.clone(),
            SubmissionMatch::Reused => return ApplyReply::SubmissionReused,
            SubmissionMatch::New => {}
        }
        let reply = self.accept(change.base, change.files);
        let bound = self.retention().submissions as usize;
        self.submissions.keep(change.submission, digest, reply.clone(), bound);
        reply
    }

    fn accept(&mut self, base: RevisionNumber, files: Vec<DeclarationFile>) -> ApplyReply {
        let current = self.revision();
        if base != current {
            return ApplyReply::Conflict { current };
        }
        let bundle = DeclarationBundle { revision: current.next(), files };
        let before = self.store.fleet().clone();
        match self.store.offer(bundle.clone()) {
            OfferOutcome::InForce(revision) => {
                self.bundle = bundle;
                self.date_rules(&before, revision);
                self.defaults = fleet_defaults(self.store.fleet());
                self.lease_bound = self.lease_bound.max(self.declared_lease());
                ApplyReply::Accepted { revision }
            }
            OfferOutcome::NotNewer => ApplyReply::Conflict { current },
            OfferOutcome::Refused(errors) => {
                ApplyReply::Invalid { errors: errors.iter().map(ToString::to_string).collect() }
            }
        }
    }

    /// Records the revision of each rule that the new declarations add or change.
    fn date_rules(&mut self, before: &FleetDeclaration, revision: RevisionNumber) {
        let before = before.rules();
        let dated = self.store.fleet().rules().into_iter().map(|(rule, text)| {
            let kept = (before.get(&rule) == Some(&text)).then(|| self.rules_since.get(&rule));
            let since = kept.flatten().copied().unwrap_or(revision);
            (rule, since)
        });
        self.rules_since = dated.collect();
    }
}

fn fleet_defaults(fleet: &FleetDeclaration) -> FleetPolicy {
    fleet.policy_for(&PolicySubject::default(), SystemTime::UNIX_EPOCH).policy
}

/// Returns the longest lease in the defaults and the exceptions. Policies are resolved as of the
/// Unix epoch, so that an exception that has expired still bounds the leases granted under it.
fn longest_lease(fleet: &FleetDeclaration) -> Duration {
    let everybody = std::iter::once(PolicySubject::default());
    let exceptions = fleet.exceptions.iter().map(|exception| {
        let selector = exception.selector.clone();
        PolicySubject {
            service: selector.service,
            team: selector.team,
            class: selector.class,
            data_centre: selector.data_centre,
            rack: selector.rack,
            worker: selector.worker,
        }
    });
    everybody
        .chain(exceptions)
        .map(|subject| fleet.policy_for(&subject, SystemTime::UNIX_EPOCH).policy.lease.length)
        .max()
        .unwrap_or_default()
}
