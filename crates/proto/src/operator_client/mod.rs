//! The calling side of the operators' interface: JSON over HTTP, to whoever leads.

use {
    crate::messages::operator::{OperatorProblem, OperatorProblemKind},
    base::PeerAddress,
    serde::{de::DeserializeOwned, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// How often a hint at another leader is followed before the call is given up.
const REDIRECTS: usize = 4;
const ANSWER_LIMIT: u64 = 256 * 1024 * 1024;

/// Why an operator's call came to nothing.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// None of the given addresses answered.
    #[snafu(display("no control process answers: {detail}"))]
    Unreachable {
        /// What the last attempt met.
        detail: String,
    },
    /// No answer came although the call was sent: a change may have been made.
    #[snafu(display("{peer} did not answer in time, so the outcome is unknown: {detail}"))]
    NoAnswer {
        /// The process that was called.
        peer: PeerAddress,
        /// What the library reported.
        detail: String,
    },
    /// The process refused the call.
    #[snafu(display("{}", problem.detail))]
    Problem {
        /// Why.
        problem: OperatorProblem,
    },
    /// The answer has not the expected shape.
    #[snafu(display("{peer} sent an answer that can't be read: {source}"))]
    BadAnswer {
        /// The process that was called.
        peer: PeerAddress,
        /// What the parser reported.
        source: serde_json::Error,
    },
}

enum CallStep<T> {
    Done(T),
    Elsewhere(Option<PeerAddress>),
}

/// Calls the operators' interface of a control group.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    peers: Vec<PeerAddress>,
    agent: ureq::Agent,
}

impl OperatorClient {
    /// A client that knows some operators' addresses of control processes.
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

    /// Reads.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        self.call(|url| self.agent.get(url).call(), path)
    }

    /// Changes something by a message.
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

    /// Ends something.
    pub fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        self.call(|url| self.agent.delete(url).call(), path)
    }

    /// Reads text from one process, without looking for a leader.
    pub fn text(&self, peer: PeerAddress, path: &str) -> Result<String, OperatorError> {
        let sent = self.agent.get(format!("http://{peer}{path}")).call();
        let mut response = sent.map_err(|error| call_error(peer, &error))?;
        let body = response.body_mut().with_config().limit(ANSWER_LIMIT).read_to_string();
        body.map_err(|error| call_error(peer, &error))
    }

    fn call<T, F>(&self, send: F, path: &str) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> Result<http::Response<ureq::Body>, ureq::Error>,
    {
        let mut last = OperatorError::Unreachable { detail: "no address is known".to_owned() };
        let mut hint = None;
        let mut known = self.peers.iter().copied();
        for _ in 0..REDIRECTS + self.peers.len() {
            let Some(peer) = hint.take().or_else(|| known.next()) else { break };
            match step(peer, send(&format!("http://{peer}{path}"))) {
                Ok(CallStep::Done(answer)) => return Ok(answer),
                Ok(CallStep::Elsewhere(leader)) => {
                    hint = leader;
                    let detail = format!("{peer} does not lead, and nobody is known to");
                    last = OperatorError::Unreachable { detail };
                }
                Err(error @ OperatorError::Unreachable { .. }) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }
}

fn step<T: DeserializeOwned>(
    peer: PeerAddress,
    sent: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<CallStep<T>, OperatorError> {
    let mut response = sent.map_err(|error| call_error(peer, &error))?;
    let succeeded = response.status().is_success();
    let body = response.body_mut().with_config().limit(ANSWER_LIMIT).read_to_vec();
    let body = body.map_err(|error| call_error(peer, &error))?;
    let bad = |source| OperatorError::BadAnswer { peer, source };
    if succeeded {
        return serde_json::from_slice(&body).map(CallStep::Done).map_err(bad);
    }
    let problem: OperatorProblem = serde_json::from_slice(&body).map_err(bad)?;
    match problem.kind {
        OperatorProblemKind::NotLeader => Ok(CallStep::Elsewhere(problem.leader)),
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
