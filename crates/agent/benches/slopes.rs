//! Measures the agent's cost: processor time for each dispatch and each heartbeat, bytes for each
//! heartbeat with its answer, and memory for each remembered dispatch. `docs/CAPACITY.md` uses
//! these slopes.

use {
    agent::{
        announce::ExecutorAnnouncement, reducer::AgentConfig, AgentEffect, AgentInput, AgentReducer,
    },
    base::{
        AttemptNumber, ClusterName, EventReducer, HybridStamp, IncarnationNumber, ReplyTicket,
        ResourceVector, RevisionNumber, TaskId, TaskIndex, TermNumber,
    },
    bytes::Bytes,
    proto::{
        envelope::{seal, MessageHeader, ProcessRole, SenderIdentity, PROTOCOL_VERSION},
        messages::{
            AgentHeartbeat, CommandCursor, DispatchId, DispatchOutcome, DispatchRequest,
            ForwardedAnswer, ForwardedRequest, HeartbeatReply, IdempotencyKey, LeaseRenewal,
            PriorityClass, TaskUsage, UsageReport,
        },
    },
    std::{
        fs,
        str::FromStr,
        time::{Duration, Instant},
    },
};

const DISPATCHES: usize = 200_000;
const HEARTBEATS: u64 = 20_000;
/// The approximate bytes of the HTTP heads of one exchange, as the client and the server write
/// them.
const HTTP_HEADS: usize = 300;

fn id<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("a plain name")
}

fn start_agent() -> AgentReducer {
    let mut agent = AgentReducer::new(
        AgentConfig {
            worker: id("worker-01"),
            incarnation: IncarnationNumber(1),
            region: id("north"),
            data_centre: id("arusha"),
            rack: id("rack-1"),
            capacity: ResourceVector::ZERO,
            address: id("127.0.0.1:1"),
            operator_address: id("127.0.0.1:2"),
            control_peers: vec![id("127.0.0.1:3")],
            call_limit: 512,
        },
        None,
    );
    agent.reduce(Duration::ZERO, AgentInput::Announced(announcement()));
    agent
}

fn announcement() -> ExecutorAnnouncement {
    ExecutorAnnouncement {
        endpoint: id("arusha-1"),
        incarnation: IncarnationNumber(1),
        service: id("booking"),
        address: id("127.0.0.1:9000"),
        slots: base::SlotCount(8),
        connections: base::ConnectionCount(64),
        task: None,
    }
}

fn request(number: usize, keyed: bool) -> DispatchRequest {
    let key = IdempotencyKey { service: id("booking"), text: format!("key-{number}") };
    DispatchRequest {
        dispatch: DispatchId { request: id(&format!("entry-1:1:{number}")), number: 0 },
        endpoint: id("arusha-1"),
        incarnation: IncarnationNumber(1),
        priority: PriorityClass::LatencyCritical,
        remaining: Duration::from_secs(5),
        key: keyed.then_some(key),
        request: ForwardedRequest {
            method: "POST".into(),
            target: "/deposit".into(),
            headers: Vec::new(),
            body: Bytes::new(),
        },
    }
}

fn run_dispatches(agent: &mut AgentReducer, count: usize, keyed: bool) {
    let answer = ForwardedAnswer { status: 200, headers: Vec::new(), body: Bytes::new() };
    for number in 0..count {
        // Advances time as under a thousand requests a second.
        let now = Duration::from_millis(number as u64);
        let request = Box::new(request(number, keyed));
        let dispatch = request.dispatch.clone();
        if number % 1000 == 0 {
            agent.reduce(now, AgentInput::Announced(announcement()));
        }
        agent.reduce(now, AgentInput::Dispatch { ticket: ReplyTicket(number as u64), request });
        let outcome = DispatchOutcome::Answered(answer.clone());
        agent.reduce(now, AgentInput::ExecutorDone { dispatch, outcome });
    }
}

fn resident_kilobytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn dispatches(count: usize, keyed: bool, name: &str) {
    let mut agent = start_agent();
    let before = resident_kilobytes();
    let start = Instant::now();
    run_dispatches(&mut agent, count, keyed);
    let each = start.elapsed() / count as u32;
    let grown = resident_kilobytes().saturating_sub(before);
    println!("| {name}, {count} of them | {each:?} | {grown} KiB held in the end |");
}

fn heartbeats(count: u64) {
    let mut agent = start_agent();
    // Ends the exchange of the first heartbeat, which was sent with the announcement.
    agent.reduce(Duration::ZERO, AgentInput::HeartbeatDone { sequence: 1, reply: None });
    let mut answered = 0;
    let start = Instant::now();
    for number in 1..=count {
        let now = Duration::from_secs(number);
        let wall = std::time::SystemTime::UNIX_EPOCH + now;
        for effect in agent.reduce(now, AgentInput::Tick { wall }) {
            let AgentEffect::SendHeartbeat(send) = effect else { continue };
            let reply = HeartbeatReply::Renewed(Box::new(renewal()));
            let reply = Some((id("control-1"), reply));
            let sequence = send.heartbeat.sequence;
            agent.reduce(now, AgentInput::HeartbeatDone { sequence, reply });
            answered += 1;
        }
    }
    let each = start.elapsed() / answered;
    println!("| heartbeat and its answer, {answered} of them | {each:?} | |");
}

fn renewal() -> LeaseRenewal {
    LeaseRenewal {
        lease: Duration::from_secs(10),
        report_all: false,
        cursor: CommandCursor { term: TermNumber(1), sequence: 0 },
        commands_complete: false,
        commands: Vec::new(),
        acknowledged: Vec::new(),
        declarations: None,
    }
}

fn header() -> MessageHeader {
    MessageHeader {
        version: PROTOCOL_VERSION,
        sender: SenderIdentity {
            cluster: ClusterName::new("umoja").expect("a plain name"),
            role: ProcessRole::Agent,
            name: id("agent-01"),
            incarnation: IncarnationNumber(1_700_000_000),
        },
        stamp: HybridStamp { wall_micros: 1_700_000_000_000_000, counter: 1 },
        revision: RevisionNumber(580),
        address: Some(id("127.0.0.1:7000")),
    }
}

fn heartbeat_bytes(tasks: u32) -> usize {
    let usage = (0..tasks).map(|index| TaskUsage {
        task: TaskId::new(id("report-2026-01"), TaskIndex(index)),
        attempt: AttemptNumber(1),
        used: ResourceVector { cpu: base::CpuMillis(1500), ..ResourceVector::ZERO },
        speed_permille: 1000,
    });
    let usage =
        UsageReport { age: Duration::from_secs(2), tasks: usage.collect(), services: Vec::new() };
    let heartbeat = AgentHeartbeat {
        worker: id("worker-01"),
        incarnation: IncarnationNumber(1_700_000_000),
        sequence: 100_000,
        announcement: None,
        endpoints: None,
        cursor: CommandCursor { term: TermNumber(1), sequence: 1000 },
        reports_complete: false,
        reports: Vec::new(),
        usage: (tasks > 0).then_some(usage),
    };
    let sent = seal(header(), &heartbeat).expect("the message can be encoded").len();
    let reply = HeartbeatReply::Renewed(Box::new(renewal()));
    sent + seal(header(), &reply).expect("the message can be encoded").len() + HTTP_HEADS
}

fn main() {
    let measures = std::env::args().any(|argument| argument == "--bench");
    let (count, heartbeat_count) = if measures { (DISPATCHES, HEARTBEATS) } else { (100, 100) };
    println!("| what | processor time each | besides |\n|---|---|---|");
    dispatches(count, false, "dispatch without a key");
    dispatches(count, true, "dispatch with a key");
    heartbeats(heartbeat_count);
    println!("\n| tasks on the worker | bytes a heartbeat, both ways |\n|---|---|");
    for tasks in [0, 4, 19, 40] {
        println!("| {tasks} | {} |", heartbeat_bytes(tasks));
    }
}
