//! Drives the reducer: sockets, threads and the clock.

mod callers;
mod internal;
mod reactor;
mod worker_pool;

use {
    self::{
        callers::CallerHandler,
        internal::internal_handler,
        reactor::{ReactorMessage, ReactorThread},
    },
    crate::reducer::{EntryReducer, EntrySetup},
    base::PeerAddress,
    crossbeam::channel::{bounded, Sender},
    proto::server::{HttpServer, ServerError, ServerLimits},
    settings::{ProcessSettings, RoleSettings},
    snafu::{ResultExt, Snafu},
    std::{io, sync::Arc, thread::JoinHandle},
    telemetry::{ProcessContext, ProcessEvent},
};

/// Upper bound on the messages in the reducer's inbox. Callers' requests and pulls beyond it are
/// rejected at once.
const INBOX_LIMIT: usize = 4096;

/// Error that prevents an entry from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings belong to another role.
    #[snafu(display("the settings are not those of an entry"))]
    OtherRole,
    /// A port could not be opened.
    #[snafu(display("{source}"))]
    Server {
        /// Error of the server.
        source: ServerError,
    },
    /// A thread could not be started.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// A running entry.
pub struct EntryProcess {
    context: ProcessContext,
    callers: HttpServer,
    internal: HttpServer,
    inbox: Sender<ReactorMessage>,
    reactor: JoinHandle<()>,
}

impl EntryProcess {
    /// Opens both ports and starts to follow the endpoint table.
    pub fn start(settings: &ProcessSettings, context: ProcessContext) -> Result<Self, StartError> {
        let RoleSettings::Entry(role) = &settings.role else { return OtherRoleSnafu.fail() };
        let (inbox, outbox) = bounded(INBOX_LIMIT);
        let limits = ServerLimits::default();
        let handler = internal_handler(context.clone(), inbox.clone());
        let internal =
            HttpServer::start(settings.internal, limits, handler).context(ServerSnafu)?;
        context.identity.listen_at(internal.address());
        let handler = Arc::new(CallerHandler::new(context.clone(), inbox.clone()));
        let callers = HttpServer::start(role.callers, limits, handler).context(ServerSnafu)?;
        let setup = entry_setup(settings, &context, internal.address());
        let reducer = EntryReducer::new(setup);
        let reactor = ReactorThread::new(context.clone(), reducer, inbox.clone());
        let reactor = std::thread::Builder::new()
            .name("entry-reducer".into())
            .spawn(move || reactor.run(&outbox))
            .context(ThreadSnafu)?;
        for (port, address) in [("callers", callers.address()), ("internal", internal.address())] {
            context.recorder.record(&ProcessEvent::Listening { port: port.into(), address });
        }
        Ok(Self { context, callers, internal, inbox, reactor })
    }

    /// Returns the address of the callers' port.
    pub fn caller_address(&self) -> PeerAddress {
        self.callers.address()
    }

    /// Returns the address of the internal port.
    pub fn internal_address(&self) -> PeerAddress {
        self.internal.address()
    }

    /// Stops accepting requests and answers those in progress. Returns when all have ended or the
    /// declared drain period is over.
    pub fn shut_down(self) {
        self.context.set_ready(false);
        let _ = self.inbox.send(ReactorMessage::Shutdown);
        self.callers.shut_down();
        self.internal.shut_down();
        let _ = self.inbox.send(ReactorMessage::Stop);
        let _ = self.reactor.join();
    }
}

fn entry_setup(
    settings: &ProcessSettings,
    context: &ProcessContext,
    internal: PeerAddress,
) -> EntrySetup {
    let sender = context.identity.sender();
    let wall = context.clock().wall();
    EntrySetup {
        name: sender.name.clone(),
        incarnation: sender.incarnation,
        data_centre: settings.data_centre.clone(),
        address: internal,
        operator_address: settings.operator,
        control_peers: settings.control_peers.clone(),
        seed: seed(sender.name.as_str(), sender.incarnation.0),
        wall,
    }
}

/// Derives a seed from name and incarnation, so that entries which start together choose
/// differently.
fn seed(name: &str, incarnation: u64) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&incarnation.to_le_bytes());
    let mut seed = [0; 8];
    hasher.finalize_xof().fill(&mut seed);
    u64::from_le_bytes(seed)
}
