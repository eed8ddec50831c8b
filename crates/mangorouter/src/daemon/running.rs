//! A running role and its operator port.

use {
    crate::failure::DaemonFailure,
    agent::AgentProcess,
    base::{ClockSource, IncarnationNumber, PeerAddress, SystemClock},
    control::ControlProcess,
    entry::EntryProcess,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        rpc::ProcessIdentity,
    },
    settings::{FleetPolicy, ProcessSettings, RoleSettings, StandInSettings},
    std::{sync::Arc, time::SystemTime},
    telemetry::{EventRecorder, OperatorPort, ProcessContext, ProcessEvent},
    testkit::{StandInExecutor, StandInExecutorSettings, StandInWorker, StandInWorkerSettings},
};

enum StartedRole {
    Control(ControlProcess),
    Entry(EntryProcess),
    Agent(AgentProcess),
    StandIn { worker: StandInWorker, executor: StandInExecutor },
}

/// A running role and its operator port.
pub struct RunningRole {
    context: ProcessContext,
    role: StartedRole,
    port: OperatorPort,
}

impl RunningRole {
    /// Starts the role and then its operator port, so that the role is ready before the port
    /// answers.
    pub fn start(settings: &ProcessSettings) -> Result<Self, DaemonFailure> {
        let context = create_context(settings);
        context.recorder.record(&ProcessEvent::Started {
            name: settings.name.clone(),
            cluster: settings.cluster.clone(),
        });
        let role = start_role(settings, &context)?;
        let handler = match &role {
            StartedRole::Control(control) => Some(control.operator_handler()),
            StartedRole::Entry(_) | StartedRole::Agent(_) | StartedRole::StandIn { .. } => None,
        };
        let port = OperatorPort::start(settings.operator, context.clone(), handler)
            .map_err(|error| DaemonFailure::start("the operator port", error))?;
        context.recorder.record(&ProcessEvent::Listening {
            port: "operator".to_owned(),
            address: port.address(),
        });
        Ok(Self { context, role, port })
    }

    /// Returns the address of the operator port.
    pub fn operator_address(&self) -> PeerAddress {
        self.port.address()
    }

    /// Reports the process as not ready, drains the role, and returns when no work is in progress.
    pub fn shut_down(self) {
        self.context.set_ready(false);
        let reason = "asked to stop".to_owned();
        self.context.recorder.record(&ProcessEvent::ShutdownBegan { reason });
        match self.role {
            StartedRole::Control(control) => control.shut_down(),
            StartedRole::Entry(entry) => entry.shut_down(),
            StartedRole::Agent(agent) => agent.shut_down(),
            StartedRole::StandIn { worker, executor } => {
                executor.leave();
                drop(executor);
                drop(worker);
            }
        }
        self.context.recorder.record(&ProcessEvent::Stopped {});
        self.port.shut_down();
    }
}

fn start_role(
    settings: &ProcessSettings,
    context: &ProcessContext,
) -> Result<StartedRole, DaemonFailure> {
    let context = context.clone();
    match &settings.role {
        RoleSettings::Control(_) => ControlProcess::start(settings, context)
            .map(StartedRole::Control)
            .map_err(|error| DaemonFailure::start("control", error)),
        RoleSettings::Entry(_) => EntryProcess::start(settings, context)
            .map(StartedRole::Entry)
            .map_err(|error| DaemonFailure::start("entry", error)),
        RoleSettings::Agent(_) => AgentProcess::start(settings, context)
            .map(StartedRole::Agent)
            .map_err(|error| DaemonFailure::start("agent", error)),
        RoleSettings::StandIn(stand_in) => start_stand_in(stand_in, &context),
    }
}

fn start_stand_in(
    settings: &StandInSettings,
    context: &ProcessContext,
) -> Result<StartedRole, DaemonFailure> {
    let worker = StandInWorker::start(settings.platform, StandInWorkerSettings::default())
        .map_err(|error| DaemonFailure::start("the stand-in worker", error))?;
    let executor = StandInExecutor::start(StandInExecutorSettings {
        listen: settings.executor,
        service: settings.service.clone(),
        endpoint: settings.endpoint.clone(),
        incarnation: context.identity.sender().incarnation,
        slots: settings.slots,
        connections: settings.connections,
        announce_to: Some(settings.announce_to),
        service_time: settings.service_time,
    })
    .map_err(|error| DaemonFailure::start("the stand-in executor", error))?;
    context.set_ready(true);
    Ok(StartedRole::StandIn { worker, executor })
}

fn create_context(settings: &ProcessSettings) -> ProcessContext {
    let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
    let role = match settings.role {
        RoleSettings::Control(_) => ProcessRole::Control,
        RoleSettings::Entry(_) => ProcessRole::Entry,
        RoleSettings::Agent(_) | RoleSettings::StandIn(_) => ProcessRole::Agent,
    };
    let sender = SenderIdentity {
        cluster: settings.cluster.clone(),
        role,
        name: settings.name.clone(),
        incarnation: incarnation(clock.wall()),
    };
    let identity = Arc::new(ProcessIdentity::new(sender, clock));
    let capacity = FleetPolicy::default().retention.events as usize;
    let recorder = Arc::new(EventRecorder::new(identity.clone(), capacity));
    ProcessContext::new(identity, recorder)
}

/// Derives the incarnation from the wall clock, in milliseconds since the Unix epoch. A later
/// incarnation has a larger number unless the clock was set back by more than the process was down.
fn incarnation(wall: SystemTime) -> IncarnationNumber {
    let elapsed = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    IncarnationNumber(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
