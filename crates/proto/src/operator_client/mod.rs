//! The client of the operator API: JSON over HTTP to the leader of the control group.

use {
    crate::messages::operator::{OperatorProblem, OperatorProblemKind},
    base::PeerAddress,
    serde::{de::DeserializeOwned, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// How often a call follows a redirect to another leader before it fails.
const MAX_REDIRECTS: usize = 4;
const MAX_RESPONSE_BYTES: u64 = 256 * 1024 * 1024;

/// Why an operator's call failed.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// No control process could be reached, or none of them is the leader.
    #[snafu(display("no control process answers: {detail}"))]
    Unreachable {
        /// The error of the last attempt.
        detail: String,
    },
    /// The call was sent but no response arrived, so that a change may have been made.
    #[snafu(display("{peer} did not answer in time, so the outcome is unknown: {detail}"))]
    NoAnswer {
        /// The process that received the call.
        peer: PeerAddress,
        /// The HTTP library's error.
        detail: String,
    },
    /// The process rejected the call.
    #[snafu(display("{}", problem.detail))]
    Problem {
        /// The problem that the process reported.
        problem: OperatorProblem,
    },
    /// The response does not have the expected shape.
    #[snafu(display("{peer} sent an answer that can't be read: {source}"))]
    BadAnswer {
        /// The process that received the call.
        peer: PeerAddress,
        /// The parser's error.
        source: serde_json::Error,
    },
}

enum CallStep<T> {
    Done(T),
    Redirected(Option<PeerAddress>),
}

/// Calls the operator API of a control group.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    peers: Vec<PeerAddress>,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// Creates a client from the operator addresses of some control processes.
    pub fn new(peers: Vec<PeerAddress>, deadline: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(0)
            .timeout_global(Some(deadline))
            .build();
        Self { peers, agent: config.into() }
    }

    /// Sends a GET request to the leader.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        self.call(|url| self.agent.get(url).call(), path)
    }

    /// Sends a POST request with `body` as JSON to the leader.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, OperatorError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        let send =
            |url: &str| self.agent.post(url).content_type("application/json").send(body.as_slice());
        self.call(send, path)
    }

    /// Sends a DELETE request to the leader.
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        self.call(|url| self.agent.delete(url).call(), path)
    }

    /// Reads text from `peer`, whether or not `peer` is the leader.
    pub fn text(&self, peer: PeerAddress, path: &str) -> Result<String, OperatorError> {
        let sent = self.agent.get(format!("http://{peer}{path}")).call();
        let mut response = sent.map_err(|error| call_error(peer, &error))?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
        body.map_err(|error| call_error(peer, &error))
    }

    fn call<T, F>(&self, send: F, path: &str) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> Result<http::Response<ureq::Body>, ureq::Error>,
    {
        let mut last =
            OperatorError::Unreachable { detail: "no control address is given".to_owned() };
        let mut hint = None;
        let mut untried = self.peers.iter().copied();
        for _ in 0..MAX_REDIRECTS + self.peers.len() {
            let Some(peer) = hint.take().or_else(|| untried.next()) else { break };
            match interpret_response(peer, send(&format!("http://{peer}{path}"))) {
                Ok(CallStep::Done(answer)) => return Ok(answer),
                Ok(CallStep::Redirected(leader)) => {
                    hint = leader;
                    let detail = format!("{peer} is not the leader and does not know the leader");
                    last = OperatorError::Unreachable { detail };
                }
                Err(error @ OperatorError::Unreachable { .. }) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }
}

fn interpret_response<T: DeserializeOwned>(
    peer: PeerAddress,
    sent: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<CallStep<T>, OperatorError> {
    let mut response = sent.map_err(|error| call_error(peer, &error))?;
    let succeeded = response.status().is_success();
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
    let body = body.map_err(|error| call_error(peer, &error))?;
    let bad = |source| OperatorError::BadAnswer { peer, source };
    if succeeded {
        return serde_json::from_slice(&body).map(CallStep::Done).map_err(bad);
    }
    let problem: OperatorProblem = serde_json::from_slice(&body).map_err(bad)?;
    match problem.kind {
        OperatorProblemKind::NotLeader => Ok(CallStep::Redirected(problem.leader)),
        _ => Err(OperatorError::Problem { problem }),
    }
}

fn call_error(peer: PeerAddress, error: &ureq::Error) -> OperatorError {
    let detail = format!("{peer}: {error}");
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            OperatorError::Unreachable { detail }
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            OperatorError::Unreachable { detail }
        }
        _ => OperatorError::NoAnswer { peer, detail },
    }
}
