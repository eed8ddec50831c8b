//! The rest of a caller's path: an entry, and a control process that only serves the endpoint
//! table.

use {
    super::{free_port, id, identity, INCARNATION},
    base::PeerAddress,
    entry::EntryProcess,
    proto::{
        envelope::ProcessRole,
        messages::{
            DeclarationBundle, DeclarationFile, EndpointRecord, TableChanges, TablePull,
            TableReply, TableVersion,
        },
        rpc::{RpcCall, RpcRefusal},
        server::{reply, HttpServer, RpcInbox, ServerLimits},
    },
    settings::{EntrySettings, ProcessSettings, RoleSettings},
    std::sync::Arc,
    telemetry::{EventRecorder, ProcessContext},
};

const DECLARATIONS: &str = "[services.booking]\nteam = \"desk\"\n[teams.desk.quota]\ncpu = \"8\"\n\
                            memory = \"8GB\"\n";

/// Starts a control group of one process that knows these endpoints, each with its agent's address.
pub fn start_control(endpoints: Vec<(&'static str, PeerAddress)>) -> HttpServer {
    let identity = identity(ProcessRole::Control, "control-1");
    let replier = identity.clone();
    let inbox = RpcInbox::new(identity, move |path, frame, responder| {
        if path != TablePull::PATH {
            return Err((RpcRefusal::NoSuchPath, responder));
        }
        let Ok(pull) = frame.body::<TablePull>() else {
            return Err((RpcRefusal::Malformed, responder));
        };
        reply(responder, &replier, &TableReply::Changes(Box::new(changes(&pull, &endpoints))));
        Ok(())
    });
    HttpServer::start(free_port(), ServerLimits::default(), Arc::new(inbox)).expect("a free port")
}

fn changes(pull: &TablePull, endpoints: &[(&'static str, PeerAddress)]) -> TableChanges {
    let is_new = pull.known == TableVersion::default();
    let record = |(endpoint, agent): &(&'static str, PeerAddress)| EndpointRecord {
        endpoint: id(endpoint),
        worker: id("w1"),
        incarnation: INCARNATION,
        service: id("booking"),
        data_centre: id("arusha"),
        agent: *agent,
        slots: base::SlotCount(8),
        connections: base::ConnectionCount(64),
        draining: false,
    };
    let file = DeclarationFile { path: "fleet.toml".into(), text: DECLARATIONS.into() };
    let bundle = DeclarationBundle { revision: base::RevisionNumber(1), files: vec![file] };
    TableChanges {
        version: TableVersion { sequence: 1, ..TableVersion::default() },
        complete: is_new,
        changed: if is_new { endpoints.iter().map(record).collect() } else { Vec::new() },
        removed: Vec::new(),
        declarations: is_new.then_some(bundle),
    }
}

/// Starts an entry that follows `control`, and returns it when it is ready to route.
pub fn start_entry(control: PeerAddress) -> EntryProcess {
    let identity = identity(ProcessRole::Entry, "entry-2");
    let recorder = Arc::new(EventRecorder::new(identity.clone(), 1000));
    let context = ProcessContext::new(identity, recorder);
    let settings = ProcessSettings {
        cluster: id("test"),
        name: id("entry-2"),
        region: id("north"),
        data_centre: id("arusha"),
        internal: free_port(),
        operator: free_port(),
        control_peers: vec![control],
        role: RoleSettings::Entry(EntrySettings { callers: free_port() }),
    };
    let entry = EntryProcess::start(&settings, context.clone()).expect("it starts");
    while !context.is_ready() {
        std::thread::yield_now();
    }
    entry
}
