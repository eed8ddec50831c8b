//! Runs the jobs of the agent's thread pools, and the timer.

use {
    super::{
        core::{AgentCore, CoreJob},
        executor::ExecutorClient,
        meters, state_file,
    },
    crate::{
        platform::PlatformClient,
        reducer::{AgentInput, HeartbeatSend},
    },
    base::{PeerAddress, RevisionNumber},
    crossbeam::channel::Receiver,
    proto::{
        messages::{DeclarationBundle, DeclarationPull},
        rpc::{ConnectionUse, RpcClient},
    },
    std::{path::PathBuf, sync::Arc, time::Duration},
};

const PULL_DEADLINE: Duration = Duration::from_secs(2);
/// The longest time between two ticks. Ticks also advance wall-clock time, by which exceptions
/// expire.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Performs jobs on the threads of the pools and returns the results to the core.
pub(super) struct JobRunner {
    core: Arc<AgentCore>,
    rpc: RpcClient,
    platform: PlatformClient,
    executors: ExecutorClient,
    state_file: Option<PathBuf>,
}

impl JobRunner {
    /// Creates a runner that passes results back to `core`.
    pub(super) fn new(
        core: Arc<AgentCore>,
        platform: PlatformClient,
        state_file: Option<PathBuf>,
    ) -> Self {
        let rpc = RpcClient::new(core.identity().clone());
        Self { core, rpc, platform, executors: ExecutorClient::new(), state_file }
    }

    /// Performs one job.
    pub(super) fn run(&self, job: CoreJob) {
        match job {
            CoreJob::Executor(call) => {
                let clock = self.core.context().clock();
                let start = clock.monotonic();
                let outcome = self.executors.call(&call);
                let elapsed = clock.monotonic().saturating_sub(start);
                meters::observe_call(&self.core.context().metrics, &outcome, elapsed);
                self.core.feed(AgentInput::ExecutorDone { dispatch: call.dispatch, outcome });
            }
            CoreJob::Platform(call) => {
                let result = self.platform.call(&call);
                self.core.feed(AgentInput::PlatformDone { call, result });
            }
            CoreJob::Heartbeat(send) => self.send_heartbeat(&send),
            CoreJob::PutInForce(bundle) => self.put_in_force(&bundle),
            CoreJob::Pull(peer, known) => self.pull(peer, known),
        }
    }

    fn send_heartbeat(&self, send: &HeartbeatSend) {
        let connection =
            if send.fresh_connection { ConnectionUse::Fresh } else { ConnectionUse::Pooled };
        let answer = self.rpc.call(send.peer, connection, send.deadline, &*send.heartbeat);
        let sequence = send.heartbeat.sequence;
        let reply = answer.ok().map(|(header, reply)| {
            self.core.note_revision(&header);
            (header.sender.name, reply)
        });
        self.core.feed(AgentInput::HeartbeatDone { sequence, reply });
    }

    fn put_in_force(&self, bundle: &DeclarationBundle) {
        let saved = self.state_file.as_ref().map(|path| state_file::save(path, bundle));
        if let Some(Err(error)) = saved {
            log::error!("could not save the declarations in force to the state file: {error}");
        }
        self.core.identity().put_in_force(bundle.revision);
    }

    fn pull(&self, peer: PeerAddress, known: RevisionNumber) {
        let call = DeclarationPull { known };
        let answer = self.rpc.call(peer, ConnectionUse::Fresh, PULL_DEADLINE, &call);
        let Ok((header, answer)) = answer else { return };
        if let Some(bundle) = answer.newer {
            let source = header.sender.name;
            self.core.feed(AgentInput::Declarations { bundle, source });
        }
    }
}

/// Ticks until the `stop` channel is closed.
pub(super) fn run_timer(core: &AgentCore, woken: &Receiver<()>, stop: &Receiver<()>) {
    loop {
        let next = core.tick();
        let now = core.context().clock().monotonic();
        let pause = next.saturating_sub(now).min(MAX_TICK_INTERVAL);
        crossbeam::select! {
            recv(stop) -> _ => return,
            recv(woken) -> _ => {}
            default(pause) => {}
        }
    }
}
