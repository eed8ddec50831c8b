//! The store of the declarations that a process has in force.

use {
    base::{PeerAddress, RevisionNumber},
    indexmap::IndexMap,
    proto::messages::DeclarationBundle,
    settings::{CheckError, FleetDeclaration},
    std::{sync::Arc, time::Duration},
};

/// How long the store waits before it pulls again from a peer that did not answer.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The maximum number of peers whose last pull the store remembers.
const MAX_REMEMBERED_PULLS: usize = 256;

/// The outcome of offering a bundle to a [`DeclarationStore`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The bundle is now in force.
    InForce(RevisionNumber),
    /// The bundle is not newer than the declarations in force.
    NotNewer,
    /// The bundle has errors. The previous declarations stay in force.
    Refused(Vec<CheckError>),
}

/// The declarations in force, and the pending pulls.
#[derive(Debug, Default)]
pub struct DeclarationStore {
    bundle: Arc<DeclarationBundle>,
    fleet: Arc<FleetDeclaration>,
    pulls: IndexMap<PeerAddress, Duration>,
}

impl DeclarationStore {
    /// Creates a store with the empty folder, revision zero, in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.bundle.revision
    }

    /// Returns the parsed declarations in force.
    pub fn fleet(&self) -> &Arc<FleetDeclaration> {
        &self.fleet
    }

    /// Returns the files of the declarations in force.
    pub fn bundle(&self) -> &Arc<DeclarationBundle> {
        &self.bundle
    }

    /// Puts `bundle` in force if it is newer than the present one and has no errors.
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

    /// Returns the declarations in force if they are newer than `known`, the revision of a peer.
    pub fn newer_than(&self, known: RevisionNumber) -> Option<DeclarationBundle> {
        (self.revision() > known).then(|| self.bundle.as_ref().clone())
    }

    /// Returns true if the process should now pull `revision` from `peer`, which named it, and
    /// records the pull.
    pub fn should_pull(
        &mut self,
        now: Duration,
        peer: PeerAddress,
        revision: RevisionNumber,
    ) -> bool {
        if revision <= self.revision() {
            return false;
        }
        if self.pulls.get(&peer).is_some_and(|asked| now < *asked + PULL_RETRY_DELAY) {
            return false;
        }
        if self.pulls.len() >= MAX_REMEMBERED_PULLS {
            self.pulls.shift_remove_index(0);
        }
        self.pulls.insert(peer, now);
        true
    }
}
