//! Calls to control that outlast an election and a lost answer.

use {
    crate::{arguments::CommandCall, failure::CommandFailure, output::progress},
    base::PeerAddress,
    proto::{
        messages::operator::OperatorProblemKind,
        operator_client::{OperatorClient, OperatorError},
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The time between two tries of a call.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// When a call that came to nothing may be sent again.
#[derive(Clone, Copy)]
enum ResendRule {
    /// Doing it twice does no harm: it reads, or it is named by a submission id.
    Always,
    /// Doing it twice might do harm: only when nobody can have acted on it.
    WhenNotDone,
}

/// Calls the operators' interface, and tries again until `--timeout` is over.
pub(crate) struct FleetClient {
    client: OperatorClient,
    timeout: Duration,
}

impl FleetClient {
    /// A client for the addresses of the command line.
    pub(crate) fn new(call: &CommandCall) -> Result<Self, CommandFailure> {
        if call.peers.is_empty() {
            let detail = "say where control is: --at ADDRESS or MANGOROUTER_OPERATOR".to_owned();
            return Err(CommandFailure::Usage { detail });
        }
        let client = OperatorClient::new(call.peers.clone(), call.timeout);
        Ok(Self { client, timeout: call.timeout })
    }

    /// Reads.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandFailure> {
        self.persist(ResendRule::Always, || self.client.get(path))
    }

    /// Sends a change that carries a submission id.
    pub(crate) fn submit<B, T>(&self, path: &str, body: &B) -> Result<T, CommandFailure>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.persist(ResendRule::Always, || self.client.post(path, body))
    }

    /// Sends a change that has no name.
    pub(crate) fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CommandFailure>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.persist(ResendRule::WhenNotDone, || self.client.post(path, body))
    }

    /// Ends something.
    pub(crate) fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandFailure> {
        self.persist(ResendRule::WhenNotDone, || self.client.delete(path))
    }

    /// Reads text from one process, once.
    pub(crate) fn text(&self, peer: PeerAddress, path: &str) -> Result<String, OperatorError> {
        self.client.text(peer, path)
    }

    fn persist<T>(
        &self,
        rule: ResendRule,
        send: impl Fn() -> Result<T, OperatorError>,
    ) -> Result<T, CommandFailure> {
        let started = Instant::now();
        loop {
            match send() {
                Err(error) if may_resend(rule, &error) && started.elapsed() < self.timeout => {
                    progress(&format!("{error}; trying again"));
                    thread::sleep(RESEND_PAUSE);
                }
                outcome => return Ok(outcome?),
            }
        }
    }
}

fn may_resend(rule: ResendRule, error: &OperatorError) -> bool {
    match (error, rule) {
        (OperatorError::Unreachable { .. }, _) => true,
        (OperatorError::NoAnswer { .. }, ResendRule::Always) => true,
        (OperatorError::Problem { problem }, ResendRule::Always) => {
            problem.kind == OperatorProblemKind::Unconfirmed
                || problem.kind == OperatorProblemKind::Overloaded
        }
        (OperatorError::Problem { problem }, ResendRule::WhenNotDone) => {
            problem.kind == OperatorProblemKind::Overloaded
        }
        (OperatorError::NoAnswer { .. } | OperatorError::BadAnswer { .. }, _) => false,
    }
}
