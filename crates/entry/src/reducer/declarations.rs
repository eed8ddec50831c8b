//! The declarations in force, and the policy of each service derived from them.

use {
    super::{EntryEffect, EntryReducer},
    base::{DataCentreName, PeerAddress, ReplyTicket, RevisionNumber, ServiceName},
    indexmap::IndexMap,
    proto::messages::{DeclarationBundle, DeclarationReply},
    routing::RouterPolicy,
    settings::{
        declaration::{DrainPolicy, RequestPolicy},
        PolicySubject,
    },
    spread::{DeclarationStore, OfferOutcome},
    std::time::{Duration, SystemTime},
};

/// Interval at which policies are resolved again, since exceptions expire.
const REFRESH_PERIOD: Duration = Duration::from_secs(60);

/// Declarations, resolved to a policy per service.
#[derive(Debug)]
pub(super) struct ServicePolicies {
    store: DeclarationStore,
    data_centre: DataCentreName,
    wall: SystemTime,
    refreshed_at: Duration,
    policies: IndexMap<ServiceName, RequestPolicy>,
    fallback: RequestPolicy,
}

impl ServicePolicies {
    pub fn new(data_centre: DataCentreName, wall: SystemTime) -> Self {
        Self {
            store: DeclarationStore::new(),
            data_centre,
            wall,
            refreshed_at: Duration::ZERO,
            policies: IndexMap::new(),
            fallback: RequestPolicy::default(),
        }
    }

    pub fn declares(&self, service: &ServiceName) -> bool {
        self.store.fleet().services.contains_key(service)
    }

    pub fn idempotent_methods(&self, service: &ServiceName) -> &[String] {
        let declaration = self.store.fleet().services.get(service);
        declaration.map_or(&[], |declaration| &declaration.idempotent_methods)
    }

    pub fn request_policy(&self, service: &ServiceName) -> &RequestPolicy {
        self.policies.get(service).unwrap_or(&self.fallback)
    }

    pub fn router_policy(&self, service: &ServiceName) -> RouterPolicy {
        let policy = self.request_policy(service);
        RouterPolicy {
            queue: policy.queue,
            retry_percent: policy.retry_percent,
            hedge_percent: policy.hedge_percent,
        }
    }

    pub fn drain_policy(&self) -> DrainPolicy {
        let subject = PolicySubject {
            data_centre: Some(self.data_centre.clone()),
            ..PolicySubject::default()
        };
        self.store.fleet().policy_for(&subject, self.wall).policy.drain
    }

    /// Resolves the policies again if an exception may have expired. Returns true if a policy
    /// changed.
    pub fn refresh(&mut self, now: Duration, wall: SystemTime) -> bool {
        if now < self.refreshed_at + REFRESH_PERIOD {
            return false;
        }
        self.refreshed_at = now;
        self.wall = wall;
        self.resolve()
    }

    fn resolve(&mut self) -> bool {
        let fleet = self.store.fleet().clone();
        let resolve = |(service, declaration): (&ServiceName, &settings::ServiceDeclaration)| {
            let subject = PolicySubject {
                service: Some(service.clone()),
                team: Some(declaration.team.clone()),
                data_centre: Some(self.data_centre.clone()),
                ..PolicySubject::default()
            };
            (service.clone(), fleet.policy_for(&subject, self.wall).policy.request)
        };
        let policies: IndexMap<_, _> = fleet.services.iter().map(resolve).collect();
        let changed = policies != self.policies;
        self.policies = policies;
        changed
    }
}

impl EntryReducer {
    /// Returns the revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.policies.store.revision()
    }

    pub(super) fn apply_declarations(&mut self, bundle: DeclarationBundle) -> Vec<EntryEffect> {
        let offered = bundle.revision;
        match self.policies.store.offer(bundle) {
            OfferOutcome::InForce(revision) => {
                self.policies.resolve();
                self.apply_policies();
                vec![EntryEffect::InForce(revision)]
            }
            OfferOutcome::NotNewer => Vec::new(),
            OfferOutcome::Refused(errors) => vec![EntryEffect::DeclarationsRefused {
                revision: offered,
                reason: errors.first().map(ToString::to_string).unwrap_or_default(),
            }],
        }
    }

    pub(super) fn apply_policies(&mut self) {
        for (service, router) in &mut self.routers {
            router.set_policy(self.policies.router_policy(service));
        }
    }

    pub(super) fn reply_to_pull(
        &self,
        ticket: ReplyTicket,
        known: RevisionNumber,
    ) -> Vec<EntryEffect> {
        let reply = DeclarationReply { newer: self.policies.store.newer_than(known) };
        vec![EntryEffect::ServeDeclarations { ticket, reply }]
    }

    pub(super) fn handle_peer_revision(
        &mut self,
        now: Duration,
        peer: PeerAddress,
        revision: RevisionNumber,
    ) -> Vec<EntryEffect> {
        if !self.policies.store.should_pull(now, peer, revision) {
            return Vec::new();
        }
        vec![EntryEffect::PullDeclarations { peer, known: self.revision() }]
    }
}
