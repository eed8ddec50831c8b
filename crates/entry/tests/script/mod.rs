//! Commands of a scenario.

mod text;

use {
    base::{
        ByteSize, ConnectionCount, EndpointId, EventReducer, IncarnationNumber, PeerAddress,
        RequestId, RevisionNumber, ServiceName, SlotCount, TermNumber,
    },
    bytes::Bytes,
    datadriven::TestCase,
    entry::{
        reducer::{RequestHead, RequestIdSource},
        EntryEffect, EntryInput, EntryReducer, EntrySetup,
    },
    proto::{
        messages::{
            ClaimReply, ClaimTarget, CloseReply, DeclarationBundle, DeclarationFile, DispatchId,
            DispatchOutcome, DispatchReply, EndpointLoad, EndpointRecord, FenceReply,
            ForwardedAnswer, LedgerClaim, NotRunReason, RequestFingerprint, TableChanges,
            TableReply, TableVersion, UnknownReason,
        },
        rpc::{RpcError, RpcRefusal},
    },
    routing::{FlightNumber, RequestNumber},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, SystemTime},
    },
};

const DECLARATIONS: &str = r#"
[services.booking]
team = "desk"
idempotent_methods = ["SEARCH"]
[teams.desk.quota]
cpu = "8"
memory = "8GB"
[defaults.request]
deadline = "2s"
queue = 4
hedge_percent = 0
[defaults.drain]
requests = "1s"
"#;
const STEP: Duration = Duration::from_millis(10);

/// An entry in a scenario.
pub struct EntryScript {
    now: Duration,
    entry: EntryReducer,
    request_ids: RequestIdSource,
    claims: BTreeMap<FlightNumber, LedgerClaim>,
    table_sequence: u64,
    show_pulls: bool,
}

pub fn peer(port: u16) -> PeerAddress {
    PeerAddress(SocketAddr::from(([10, 0, 0, 1], port)))
}

impl EntryScript {
    pub fn new() -> Self {
        let setup = EntrySetup {
            name: "e".parse().unwrap(),
            incarnation: IncarnationNumber(1),
            data_centre: "arusha".parse().unwrap(),
            address: peer(1),
            operator_address: peer(2),
            control_peers: vec![peer(101), peer(102)],
            seed: 1,
            wall: SystemTime::UNIX_EPOCH,
        };
        let request_ids = RequestIdSource::new(&setup.name, setup.incarnation);
        let mut script = Self {
            now: Duration::ZERO,
            entry: EntryReducer::new(setup),
            request_ids,
            claims: BTreeMap::new(),
            table_sequence: 0,
            show_pulls: false,
        };
        script.feed(bundle(1, DECLARATIONS));
        script
    }

    /// Runs one command and returns its effects as text.
    pub fn run(&mut self, case: &TestCase) -> String {
        let arg = |name: &str| case.args.get(name).and_then(|texts| texts.first()).cloned();
        let number = || RequestNumber(arg("n").unwrap().parse().unwrap());
        let flight = || text::parse_flight(&arg("d").unwrap());
        let millis = |name: &str| arg(name).map(|t| Duration::from_millis(t.parse().unwrap()));
        let member = peer(arg("at").map_or(101, |port| port.parse().unwrap()));
        let reply = arg("reply").unwrap_or_default();
        self.show_pulls = case.args.contains_key("pulls");
        let input = match case.directive.as_str() {
            "advance" => return self.advance(millis("ms").unwrap()),
            "declare" => bundle(arg("revision").unwrap().parse().unwrap(), &case.input),
            "table" => self.table(&case.input, member, case.args.contains_key("partial")),
            "table-lost" => EntryInput::TableReceived { peer: member, result: no_reply() },
            "table-not-leader" => EntryInput::TableReceived {
                peer: member,
                result: Ok(TableReply::NotLeader { leader: hint(&arg) }),
            },
            "heard" => EntryInput::RevisionReported {
                peer: member,
                revision: RevisionNumber(arg("revision").unwrap().parse().unwrap()),
            },
            "request" => EntryInput::CallerRequest {
                number: number(),
                head: RequestHead {
                    services: vec![arg("service").map_or(booking(), |s| s.parse().unwrap())],
                    method: arg("method").unwrap_or("GET".into()),
                    key: arg("key"),
                    fingerprint: RequestFingerprint([0; 16]),
                    deadline: millis("deadline"),
                    body: ByteSize(arg("body").map_or(0, |size| size.parse().unwrap())),
                },
            },
            "gone" => EntryInput::CallerGone { number: number() },
            "done" => {
                let result = self.dispatch_result(flight(), &reply);
                EntryInput::DispatchDone { flight: flight(), result }
            }
            "claim" => EntryInput::ClaimReceived {
                flight: flight(),
                peer: member,
                claim: self.claims[&flight()].clone(),
                result: claim_result(&reply, self.holder(flight(), arg("holder")), hint(&arg)),
            },
            "close" => EntryInput::CloseReceived {
                dispatch: self.dispatch(flight()),
                peer: member,
                result: close_result(&reply, hint(&arg)),
            },
            "fence" => EntryInput::FenceReceived { flight: flight(), result: fence_result(&reply) },
            "shutdown" => EntryInput::Shutdown,
            other => panic!("no such command: {other}"),
        };
        self.feed(input)
    }

    fn feed(&mut self, input: EntryInput) -> String {
        let mut lines = String::new();
        for effect in self.entry.reduce(self.now, input) {
            if let EntryEffect::Claim { flight, claim, .. } = &effect {
                self.claims.insert(*flight, claim.clone());
            }
            let is_pull = matches!(effect, EntryEffect::PullTable { .. });
            if self.show_pulls || !is_pull {
                lines.push_str(&text::write_effect(&effect));
            }
        }
        lines
    }

    /// Advances time in small steps and returns the effects with their times.
    fn advance(&mut self, span: Duration) -> String {
        let end = self.now + span;
        let mut lines = String::new();
        while self.now < end {
            self.now += STEP;
            let effects = self.feed(EntryInput::Tick { wall: SystemTime::UNIX_EPOCH });
            if !effects.is_empty() {
                lines.push_str(&format!("at {}ms\n{effects}", self.now.as_millis()));
            }
        }
        lines
    }

    /// Returns the dispatch of another entry, or this entry's own.
    fn holder(&self, own: FlightNumber, name: Option<String>) -> DispatchId {
        match name {
            Some(name) if name != "own" => {
                DispatchId { request: RequestId::new(&name).unwrap(), number: 0 }
            }
            _ => self.dispatch(own),
        }
    }

    fn dispatch(&self, flight: FlightNumber) -> DispatchId {
        DispatchId { request: self.request_ids.id(flight.request), number: flight.dispatch }
    }

    fn table(&mut self, lines: &str, member: PeerAddress, partial: bool) -> EntryInput {
        self.table_sequence += 1;
        let sequence = self.table_sequence;
        let changes = TableChanges {
            version: TableVersion { term: TermNumber(1), sequence },
            complete: !partial,
            changed: lines.lines().map(endpoint).collect(),
            removed: Vec::new(),
            declarations: None,
        };
        let result = Ok(TableReply::Changes(Box::new(changes)));
        EntryInput::TableReceived { peer: member, result }
    }

    fn dispatch_result(
        &self,
        flight: FlightNumber,
        reply: &str,
    ) -> Result<DispatchReply, RpcError> {
        let mut dispatch = self.dispatch(flight);
        let outcome = match reply {
            "answered" => DispatchOutcome::Answered(answer()),
            "other-dispatch" => {
                dispatch.number += 1;
                DispatchOutcome::Answered(answer())
            }
            "no-slot" => DispatchOutcome::NotRun(NotRunReason::NoSlot),
            "key-in-progress" => DispatchOutcome::NotRun(NotRunReason::KeyInProgress),
            "draining" => DispatchOutcome::NotRun(NotRunReason::Draining),
            "other-incarnation" => DispatchOutcome::NotRun(NotRunReason::OtherIncarnation),
            "executor-lost" => DispatchOutcome::Unknown(UnknownReason::ExecutorLost),
            "not-connected" => {
                return Err(RpcError::NotConnected { peer: peer(201), detail: String::new() })
            }
            "refused" => {
                let refusal = RpcRefusal::ShuttingDown;
                return Err(RpcError::Refused { peer: peer(201), refusal });
            }
            "no-reply" => return no_reply(),
            other => panic!("no such end of a dispatch: {other}"),
        };
        let slots = SlotCount(8);
        let load = EndpointLoad { slots, ..EndpointLoad::default() };
        Ok(DispatchReply { dispatch, outcome, load })
    }
}

fn booking() -> ServiceName {
    "booking".parse().unwrap()
}

fn answer() -> ForwardedAnswer {
    ForwardedAnswer { status: 200, headers: Vec::new(), body: Bytes::new() }
}

fn no_reply<T>() -> Result<T, RpcError> {
    Err(RpcError::NoReply { peer: peer(201), detail: String::new() })
}

type LeaderHint = Option<(base::ReplicaId, PeerAddress)>;

fn hint(arg: &impl Fn(&str) -> Option<String>) -> LeaderHint {
    arg("leader").map(|port| (base::ReplicaId(2), peer(port.parse().unwrap())))
}

fn bundle(revision: u64, text: &str) -> EntryInput {
    let file = DeclarationFile { path: "fleet.toml".into(), text: text.into() };
    let bundle = DeclarationBundle { revision: RevisionNumber(revision), files: vec![file] };
    EntryInput::DeclarationsReceived { bundle }
}

/// Parses `NAME DATA-CENTRE [SLOTS] [draining]`. The agent listens on port 200 + the index of the
/// name's first letter.
fn endpoint(line: &str) -> EndpointRecord {
    let words: Vec<_> = line.split_whitespace().collect();
    let port = 200 + u16::from(words[0].as_bytes()[0] - b'a');
    EndpointRecord {
        endpoint: EndpointId::new(words[0]).unwrap(),
        worker: words[0].parse().unwrap(),
        incarnation: IncarnationNumber(1),
        service: booking(),
        data_centre: words[1].parse().unwrap(),
        agent: peer(port),
        slots: words.get(2).and_then(|word| word.parse().ok()).unwrap_or(SlotCount(8)),
        connections: ConnectionCount(64),
        draining: line.contains("draining"),
    }
}

fn claim_result(
    reply: &str,
    holder: DispatchId,
    leader: LeaderHint,
) -> Result<ClaimReply, RpcError> {
    Ok(match reply {
        "granted" => ClaimReply::Granted,
        "stored" => ClaimReply::Stored(answer()),
        "lost" => ClaimReply::Lost(UnknownReason::ExecutorLost),
        "other-request" => ClaimReply::OtherRequest,
        "not-leader" => ClaimReply::NotLeader { leader },
        "no-reply" => return no_reply(),
        "not-connected" => {
            return Err(RpcError::NotConnected { peer: peer(101), detail: String::new() })
        }
        "held" => ClaimReply::Claimed(ClaimTarget {
            dispatch: holder,
            endpoint: EndpointId::new("z").unwrap(),
            incarnation: IncarnationNumber(1),
            agent: peer(225),
        }),
        other => panic!("no such reply to a claim: {other}"),
    })
}

fn close_result(reply: &str, leader: LeaderHint) -> Result<CloseReply, RpcError> {
    match reply {
        "closed" => Ok(CloseReply::Closed),
        "not-leader" => Ok(CloseReply::NotLeader { leader }),
        _ => no_reply(),
    }
}

fn fence_result(reply: &str) -> Result<FenceReply, RpcError> {
    match reply {
        "fenced" => Ok(FenceReply::Fenced),
        "in-progress" => Ok(FenceReply::InProgress),
        "answered" => Ok(FenceReply::Answered(answer())),
        "unknown" => Ok(FenceReply::Unknown(UnknownReason::ExecutorLost)),
        "other-incarnation" => Ok(FenceReply::OtherIncarnation(IncarnationNumber(2))),
        _ => no_reply(),
    }
}
