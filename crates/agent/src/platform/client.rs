//! The client for calls to the worker's platform.

use {
    super::{PlatformCall, PlatformFault, PlatformReply, PlatformRequest, PLATFORM_PATH},
    base::{IncarnationNumber, PeerAddress},
    std::{io::Read, time::Duration},
};

/// The time limit of a call. A stop call is answered only when the task has ended.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
const CONNECT_DEADLINE: Duration = Duration::from_secs(1);
const REPLY_LIMIT: u64 = 16 * 1024 * 1024;

/// Calls the platform of one worker, on a new connection for each call.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    url: String,
    agent: IncarnationNumber,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`, for one incarnation of the agent.
    pub fn new(address: PeerAddress, agent: IncarnationNumber) -> Self {
        Self { url: format!("http://{address}{PLATFORM_PATH}"), agent }
    }

    /// Sends one call and waits for its reply.
    pub fn call(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformFault> {
        let request = PlatformRequest { agent: self.agent, call: call.clone() };
        let body = serde_json::to_vec(&request).map_err(fault)?;
        let response = attohttpc::post(&self.url)
            .header("content-type", "application/json")
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(CONNECT_DEADLINE)
            .timeout(CALL_DEADLINE)
            .bytes(body)
            .send()
            .map_err(fault)?;
        let (status, _, reader) = response.split();
        if !status.is_success() {
            return Err(PlatformFault { detail: format!("status {status}") });
        }
        let mut text = Vec::new();
        reader.take(REPLY_LIMIT).read_to_end(&mut text).map_err(fault)?;
        serde_json::from_slice(&text).map_err(fault)
    }
}

fn fault(error: impl ToString) -> PlatformFault {
    PlatformFault { detail: error.to_string() }
}
