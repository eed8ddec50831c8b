//! Fake control and agents on real sockets, and an entry connected to them.

use {
    base::{
        ClusterName, ConnectionCount, EndpointId, IncarnationNumber, PeerAddress, ProcessName,
        RevisionNumber, SlotCount, SystemClock,
    },
    bytes::Bytes,
    entry::EntryProcess,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        messages::{
            ClaimReply, CloseReply, DeclarationBundle, DeclarationFile, DispatchOutcome,
            DispatchReply, DispatchRequest, EndpointLoad, EndpointRecord, FenceReply, FenceRequest,
            ForwardedAnswer, LedgerClaim, LedgerClose, TableChanges, TablePull, TableReply,
            TableVersion,
        },
        rpc::{ProcessIdentity, RpcCall, RpcRefusal},
        server::{reply, HttpServer, RpcInbox, ServerLimits},
    },
    settings::{EntrySettings, ProcessSettings, RoleSettings},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        time::Duration,
    },
    telemetry::{EventRecorder, ProcessContext},
};

pub const DECLARATIONS: &str = r#"
[services.booking]
team = "desk"
[services.stamps]
team = "desk"
[teams.desk.quota]
cpu = "8"
memory = "8GB"
[[exceptions]]
name = "small-stamps"
reason = "stamps are ordered by short forms"
owner = "desk"
for = { service = "stamps" }
values.request = { body_limit = "4" }
"#;

pub type Script = dyn Fn(&DispatchRequest) -> DispatchOutcome + Send + Sync;

pub fn local() -> PeerAddress {
    PeerAddress(SocketAddr::from(([127, 0, 0, 1], 0)))
}

pub fn identity(role: ProcessRole, name: &str) -> Arc<ProcessIdentity> {
    let sender = SenderIdentity {
        cluster: ClusterName::new("test").unwrap(),
        role,
        name: ProcessName::new(name).unwrap(),
        incarnation: IncarnationNumber(1),
    };
    Arc::new(ProcessIdentity::new(sender, Arc::new(SystemClock::new())))
}

pub fn answer(status: u16, body: impl Into<Bytes>) -> DispatchOutcome {
    let headers = vec![("x-executor".to_owned(), Bytes::from_static(b"one"))];
    DispatchOutcome::Answered(ForwardedAnswer { status, headers, body: body.into() })
}

/// Starts an agent that answers every dispatch by a script and fences every dispatch it is asked
/// about.
pub fn agent(script: Arc<Script>) -> HttpServer {
    let identity = identity(ProcessRole::Agent, "agent-1");
    let inbox = RpcInbox::new(identity.clone(), move |path, frame, responder| {
        match path {
            DispatchRequest::PATH => {
                let call: DispatchRequest = frame.body().unwrap();
                let outcome = script(&call);
                let slots = SlotCount(8);
                let load = EndpointLoad { slots, ..EndpointLoad::default() };
                let body = DispatchReply { dispatch: call.dispatch, outcome, load };
                reply(responder, &identity, &body);
            }
            FenceRequest::PATH => reply(responder, &identity, &FenceReply::Fenced),
            _ => return Err((RpcRefusal::NoSuchPath, responder)),
        }
        Ok(())
    });
    HttpServer::start(local(), ServerLimits::default(), Arc::new(inbox)).unwrap()
}

/// Starts a control group of one member that grants every claim.
pub fn control(agent: PeerAddress) -> HttpServer {
    let identity = identity(ProcessRole::Control, "control-1");
    identity.put_in_force(RevisionNumber(1));
    let inbox = RpcInbox::new(identity.clone(), move |path, frame, responder| {
        match path {
            TablePull::PATH => {
                let pull: TablePull = frame.body().unwrap();
                reply(responder, &identity, &TableReply::Changes(Box::new(table(pull, agent))));
            }
            LedgerClaim::PATH => reply(responder, &identity, &ClaimReply::Granted),
            LedgerClose::PATH => reply(responder, &identity, &CloseReply::Closed),
            _ => return Err((RpcRefusal::NoSuchPath, responder)),
        }
        Ok(())
    });
    HttpServer::start(local(), ServerLimits::default(), Arc::new(inbox)).unwrap()
}

fn table(pull: TablePull, agent: PeerAddress) -> TableChanges {
    let record = |service: &str| EndpointRecord {
        endpoint: EndpointId::new(service).unwrap(),
        worker: "worker-1".parse().unwrap(),
        incarnation: IncarnationNumber(1),
        service: service.parse().unwrap(),
        data_centre: "arusha".parse().unwrap(),
        agent,
        slots: SlotCount(8),
        connections: ConnectionCount(64),
        draining: false,
    };
    let files =
        vec![DeclarationFile { path: "fleet.toml".to_owned(), text: DECLARATIONS.to_owned() }];
    let is_new = pull.known == TableVersion::default();
    TableChanges {
        version: TableVersion { sequence: 1, ..TableVersion::default() },
        complete: is_new,
        changed: if is_new { vec![record("booking"), record("stamps")] } else { Vec::new() },
        removed: Vec::new(),
        declarations: is_new.then_some(DeclarationBundle { revision: RevisionNumber(1), files }),
    }
}

/// Starts an entry that follows `control`, and waits until it can route.
pub fn entry(control: PeerAddress) -> (EntryProcess, ProcessContext) {
    let identity = identity(ProcessRole::Entry, "entry-1");
    let recorder = Arc::new(EventRecorder::new(identity.clone(), 1024));
    let context = ProcessContext::new(identity, recorder);
    let settings = ProcessSettings {
        cluster: "test".parse().unwrap(),
        name: "entry-1".parse().unwrap(),
        region: "north".parse().unwrap(),
        data_centre: "arusha".parse().unwrap(),
        internal: local(),
        operator: local(),
        control_peers: vec![control],
        role: RoleSettings::Entry(EntrySettings { callers: local() }),
    };
    let entry = EntryProcess::start(&settings, context.clone()).unwrap();
    while !context.is_ready() {
        std::thread::yield_now();
    }
    (entry, context)
}

/// Makes one exchange and returns status, the `shown` headers and the body. Writes the request byte
/// by byte, because client libraries add headers of their own.
pub fn call(
    entry: PeerAddress,
    line: &str,
    headers: &[(&str, &str)],
    body: &str,
    shown: &[&str],
) -> String {
    let mut request = format!("{line} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in [("host", "localhost"), ("connection", "close")] {
        if headers.iter().all(|(given, _)| *given != name) {
            request.push_str(&format!("{name}: {value}\r\n"));
        }
    }
    headers.iter().for_each(|(name, value)| request.push_str(&format!("{name}: {value}\r\n")));
    let mut stream = TcpStream::connect(entry.0).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(format!("{request}\r\n{body}").as_bytes()).unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    let response = String::from_utf8_lossy(&response);
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    let mut lines = head.lines();
    let mut text = lines.next().unwrap().split(' ').nth(1).unwrap().to_owned();
    for line in lines.filter(|line| shown.iter().any(|name| line.starts_with(name))) {
        text.push_str(&format!(" {}", line.replace(": ", "=")));
    }
    format!("{text} {body}")
}
