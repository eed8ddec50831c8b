//! Measures the cost of a connection between processes: a new connection for each exchange with
//! `attohttpc` and with `ureq`, and a pooled one with `ureq`, on loopback and with the network
//! delays of the deployments. Also measures calls on a pooled connection that no longer delivers
//! data. `docs/decisions/connections.md` has the results and conclusions.

use {
    base::{ClusterName, IncarnationNumber, PeerAddress, ProcessName, RevisionNumber, SystemClock},
    hdrhistogram::Histogram,
    proto::{
        envelope::{seal, ProcessRole, SenderIdentity},
        messages::{DeclarationPull, DeclarationReply},
        rpc::{ConnectionUse, ProcessIdentity, RpcCall, RpcClient},
        server::{reply, HttpServer, RpcInbox, ServerLimits},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    testkit::DelayRelay,
};

/// The upper bound of the histogram; longer exchanges count as this long.
const MAX_MICROS: u64 = 60_000_000;
const DEADLINE: Duration = Duration::from_secs(10);
const SILENT_DEADLINE: Duration = Duration::from_millis(500);
const LOOPBACK_EXCHANGES: usize = 20_000;
const DISTANT_EXCHANGES: usize = 1_000;
const THREADS: usize = 8;
const PULL: DeclarationPull = DeclarationPull { known: RevisionNumber(0) };

fn identity(role: ProcessRole) -> Arc<ProcessIdentity> {
    let sender = SenderIdentity {
        cluster: ClusterName::new("bench").expect("a plain name"),
        role,
        name: ProcessName::new("bench-1").expect("a plain name"),
        incarnation: IncarnationNumber(1),
    };
    Arc::new(ProcessIdentity::new(sender, Arc::new(SystemClock::new())))
}

fn start_server() -> HttpServer {
    let identity = identity(ProcessRole::Agent);
    let replier = identity.clone();
    let inbox = RpcInbox::new(identity, move |_, frame, responder| {
        let _ = frame.body::<DeclarationPull>();
        reply(responder, &replier, &DeclarationReply { newer: None });
        Ok(())
    });
    let address: PeerAddress = "127.0.0.1:0".parse().expect("an address");
    HttpServer::start(address, ServerLimits::default(), Arc::new(inbox)).expect("a free port")
}

/// The client and kind of connection used for one exchange.
#[derive(Clone, Copy)]
enum ClientKind {
    AttohttpcNew,
    UreqNew,
    UreqPooled,
}

const KINDS: [(ClientKind, &str); 3] = [
    (ClientKind::AttohttpcNew, "attohttpc, new connection"),
    (ClientKind::UreqNew, "ureq, new connection"),
    (ClientKind::UreqPooled, "ureq, pooled connection"),
];

fn exchange(kind: ClientKind, client: &RpcClient, identity: &ProcessIdentity, peer: PeerAddress) {
    let connection = match kind {
        ClientKind::AttohttpcNew => {
            let frame = seal(identity.header(), &PULL).expect("it can be encoded");
            let answer = attohttpc::post(format!("http://{peer}{}", DeclarationPull::PATH))
                .proxy_settings(attohttpc::ProxySettings::builder().build())
                .timeout(DEADLINE)
                .bytes(frame)
                .send()
                .expect("an answer");
            assert!(!answer.bytes().expect("a body").is_empty());
            return;
        }
        ClientKind::UreqNew => ConnectionUse::Fresh,
        ClientKind::UreqPooled => ConnectionUse::Pooled,
    };
    client.call(peer, connection, DEADLINE, &PULL).expect("an answer");
}

fn measure(kind: ClientKind, peer: PeerAddress, threads: usize, count: usize) -> Histogram<u64> {
    let identity = identity(ProcessRole::Entry);
    let client = RpcClient::new(identity.clone());
    let measured = thread::scope(|scope| {
        let runs: Vec<_> = (0..threads)
            .map(|_| {
                let (client, identity) = (client.clone(), identity.clone());
                scope.spawn(move || {
                    let mut times =
                        Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("valid bounds");
                    exchange(kind, &client, &identity, peer);
                    for _ in 0..count / threads {
                        let start = Instant::now();
                        exchange(kind, &client, &identity, peer);
                        times.saturating_record(start.elapsed().as_micros() as u64);
                    }
                    times
                })
            })
            .collect();
        runs.into_iter().map(|run| run.join().expect("a run")).collect::<Vec<_>>()
    });
    let mut all = Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("valid bounds");
    for times in measured {
        all.add(times).expect("the same bounds");
    }
    all
}

fn table(label: &str, peer: PeerAddress, threads: usize, count: usize) {
    let mut base = None;
    for (kind, name) in KINDS {
        let times = measure(kind, peer, threads, count);
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| times.value_at_quantile(share));
        let first = *base.get_or_insert(p50);
        let ratio = p50 as f64 / first as f64;
        println!("| {label} | {name} | {p50} | {p99} | {p999} | {ratio:.2} |");
    }
}

fn silence(server: PeerAddress) {
    let relay = DelayRelay::start(server, Duration::ZERO).expect("a relay");
    let client = RpcClient::new(identity(ProcessRole::Entry));
    let call = |connection, name: &str| {
        let start = Instant::now();
        let result = client.call(relay.address(), connection, SILENT_DEADLINE, &PULL);
        let outcome = result.map_or_else(|error| error.to_string(), |_| "answered".to_owned());
        println!("| {name} | {} | {outcome} |", start.elapsed().as_millis());
    };
    println!("\n| call | ms | result |\n|---|---|---|");
    call(ConnectionUse::Pooled, "pooled, connection works");
    relay.silence_open();
    call(ConnectionUse::Pooled, "pooled, connection has gone silent");
    call(ConnectionUse::Pooled, "pooled, the next call");
    relay.silence_open();
    call(ConnectionUse::Fresh, "new, beside a silent pooled one");
}

fn main() {
    // `cargo test` runs benches only to check that they work; `cargo bench` measures.
    let measures = std::env::args().any(|argument| argument == "--bench");
    let (near, far) =
        if measures { (LOOPBACK_EXCHANGES, DISTANT_EXCHANGES) } else { (THREADS, THREADS) };
    let server = start_server();
    println!("| hop | client | p50 us | p99 us | p99.9 us | p50 against the first |");
    println!("|---|---|---|---|---|---|");
    table("loopback, 1 thread", server.address(), 1, near);
    table("loopback, 8 threads", server.address(), THREADS, near);
    for micros in [1_000, 1_500, 3_000] {
        let one_way = Duration::from_micros(micros);
        let relay = DelayRelay::start(server.address(), one_way).expect("a relay");
        table(&format!("{one_way:?} one way"), relay.address(), 1, far);
    }
    silence(server.address());
    server.shut_down();
}
