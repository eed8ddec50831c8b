//! The declarations that a process has in force.

use {
    base::{PeerAddress, RevisionNumber},
    indexmap::IndexMap,
    proto::messages::DeclarationBundle,
    settings::{CheckError, FleetDeclaration},
    std::{sync::Arc, time::Duration},
};

/// The time after which a peer that did not answer a pull is asked again.
const PULL_PAUSE: Duration = Duration::from_millis(500);
/// The number of peers whose last pull is remembered.
const PULL_MEMORY: usize = 256;

/// What became of an offered bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    InForce(RevisionNumber),
    /// It is not newer than what is in force.
    NotNewer,
    /// It can't be used. What was in force stays so.
    Refused(Vec<CheckError>),
}

/// The declarations in force, and the pulls that are under way.
#[derive(Debug, Default)]
pub struct DeclarationStore {
    bundle: Arc<DeclarationBundle>,
    fleet: Arc<FleetDeclaration>,
    pulls: IndexMap<PeerAddress, Duration>,
}

impl DeclarationStore {
    /// A store with the empty folder, revision zero, in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.bundle.revision
    }

    /// The declarations in force.
    pub fn fleet(&self) -> &Arc<FleetDeclaration> {
        &self.fleet
    }

    /// The files in force.
    pub fn bundle(&self) -> &Arc<DeclarationBundle> {
        &self.bundle
    }

    /// Puts a bundle in force when it is newer and without errors.
    pub fn offer(&mut self, bundle: DeclarationBundle) -> OfferOutcome {
        if bundle.revision <= self.revision() {
            return OfferOutcome::NotNewer;
        }
        let files = bundle.files.iter().map(|file| (file.path.as_str(), file.text.as_str()));
        match FleetDeclaration::parse(bundle.revision, files) {
            Ok(fleet) => {
                self.fleet = Arc::new(fleet);
                self.bundle = Arc::new(bundle);
                OfferOutcome::InForce(self.revision())
            }
            Err(errors) => OfferOutcome::Refused(errors),
        }
    }

    /// What to answer a peer that has `known` in force.
    pub fn newer_than(&self, known: RevisionNumber) -> Option<DeclarationBundle> {
        (self.revision() > known).then(|| self.bundle.as_ref().clone())
    }

    /// True when `peer`, which named `revision`, is to be asked for it now. Counts as asking.
    pub fn should_pull(
        &mut self,
        now: Duration,
        peer: PeerAddress,
        revision: RevisionNumber,
    ) -> bool {
        if revision <= self.revision() {
            return false;
        }
        if self.pulls.get(&peer).is_some_and(|asked| now < *asked + PULL_PAUSE) {
            return false;
        }
        if self.pulls.len() >= PULL_MEMORY {
            self.pulls.shift_remove_index(0);
        }
        self.pulls.insert(peer, now);
        true
    }
}
