//! Calls to control, retried across leader elections and lost responses.

use {
    crate::{arguments::CommandInvocation, error::CommandError, output::print_progress},
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

/// The delay between two attempts of a call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The condition under which a failed call may be retried.
#[derive(Clone, Copy)]
enum RetryRule {
    /// The call is idempotent: it reads, or it carries a submission id.
    Always,
    /// The call is not idempotent: retry only if it can't have been executed.
    IfNotExecuted,
}

/// Calls the operator interface and retries until `--timeout` has passed.
pub(crate) struct FleetClient {
    client: OperatorClient,
    timeout: Duration,
}

impl FleetClient {
    /// Creates a client for the addresses of the command line. Fails if there are none.
    pub(crate) fn new(invocation: &CommandInvocation) -> Result<Self, CommandError> {
        if invocation.peers.is_empty() {
            let detail =
                "no control address: use --at ADDRESS or set MANGOROUTER_OPERATOR".to_owned();
            return Err(CommandError::Usage { detail });
        }
        let client = OperatorClient::new(invocation.peers.clone(), invocation.timeout);
        Ok(Self { client, timeout: invocation.timeout })
    }

    /// Reads from `path`.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.send_with_retries(RetryRule::Always, || self.client.get(path))
    }

    /// Sends a change that carries a submission id, which makes the change idempotent.
    pub(crate) fn submit<B, T>(&self, path: &str, body: &B) -> Result<T, CommandError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.send_with_retries(RetryRule::Always, || self.client.post(path, body))
    }

    /// Sends a change without a submission id.
    pub(crate) fn post<B, T>(&self, path: &str, body: &B) -> Result<T, CommandError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.send_with_retries(RetryRule::IfNotExecuted, || self.client.post(path, body))
    }

    /// Deletes the object at `path`.
    pub(crate) fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.send_with_retries(RetryRule::IfNotExecuted, || self.client.delete(path))
    }

    /// Reads text from one process, without retries.
    pub(crate) fn text(&self, peer: PeerAddress, path: &str) -> Result<String, OperatorError> {
        self.client.text(peer, path)
    }

    fn send_with_retries<T>(
        &self,
        rule: RetryRule,
        send: impl Fn() -> Result<T, OperatorError>,
    ) -> Result<T, CommandError> {
        let started = Instant::now();
        loop {
            match send() {
                Err(error) if may_retry(rule, &error) && started.elapsed() < self.timeout => {
                    print_progress(&format!("{error}; retrying"));
                    thread::sleep(RETRY_DELAY);
                }
                outcome => return Ok(outcome?),
            }
        }
    }
}

fn may_retry(rule: RetryRule, error: &OperatorError) -> bool {
    match (error, rule) {
        (OperatorError::Unreachable { .. }, _) => true,
        (OperatorError::NoAnswer { .. }, RetryRule::Always) => true,
        (OperatorError::Problem { problem }, RetryRule::Always) => {
            problem.kind == OperatorProblemKind::Unconfirmed
                || problem.kind == OperatorProblemKind::Overloaded
        }
        (OperatorError::Problem { problem }, RetryRule::IfNotExecuted) => {
            problem.kind == OperatorProblemKind::Overloaded
        }
        (OperatorError::NoAnswer { .. } | OperatorError::BadAnswer { .. }, _) => false,
    }
}
