//! Measures the latency that each hop adds to a caller's request, compared with direct calls to the
//! executor in the same run. `docs/decisions/connections.md` has the figures.

#[path = "../tests/agent_process/support/mod.rs"]
#[allow(dead_code)]
mod support;

use {
    base::PeerAddress,
    hdrhistogram::Histogram,
    proto::{
        envelope::ProcessRole,
        messages::{DispatchId, DispatchOutcome},
        rpc::{ConnectionUse, RpcClient},
    },
    std::time::{Duration, Instant},
    support::{
        id, identity,
        path::{start_control, start_entry},
        AgentRig,
    },
};

const EXCHANGES: usize = 5_000;
/// Upper bound of the histogram; longer exchanges count as this long.
const LONGEST_MICROS: u64 = 60_000_000;
const DEADLINE: Duration = Duration::from_secs(10);

fn measure(name: &str, count: usize, first: &mut Option<u64>, mut exchange: impl FnMut(usize)) {
    let mut times = Histogram::<u64>::new_with_max(LONGEST_MICROS, 3).expect("valid bounds");
    exchange(0);
    for number in 1..=count {
        let start = Instant::now();
        exchange(number);
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| times.value_at_quantile(share));
    let added = p50.saturating_sub(*first.get_or_insert(p50));
    println!("| {name} | {p50} | {p99} | {p999} | {added} |");
}

fn caller(pooled: bool) -> ureq::Agent {
    let idle = if pooled { 8 } else { 0 };
    let config = ureq::Agent::config_builder().proxy(None).max_idle_connections(idle);
    config.timeout_global(Some(DEADLINE)).build().into()
}

fn get(client: &ureq::Agent, address: PeerAddress) {
    let mut answer =
        client.get(format!("http://{address}/booking/quote")).call().expect("answered");
    answer.body_mut().read_to_vec().expect("a whole body");
}

fn post(client: &ureq::Agent, address: PeerAddress) {
    let answer = client.post(format!("http://{address}/booking/quote")).send(&b"x"[..]);
    answer.expect("answered").body_mut().read_to_vec().expect("a whole body");
}

fn main() {
    let is_measuring = std::env::args().any(|argument| argument == "--bench");
    let count = if is_measuring { EXCHANGES } else { 8 };
    let rig = AgentRig::start(8);
    let control = start_control(vec![("e1", rig.address)]);
    let entry = start_entry(control.address());
    let executor = rig.executor.address();
    let rpc = RpcClient::new(identity(ProcessRole::Entry, "entry-3"));
    let dispatch = |connection: ConnectionUse, label: &str, number: usize| {
        let mut request = support::request("r", "GET /booking/quote", &[], b"");
        let name = format!("{label}-{number}");
        request.dispatch = DispatchId { request: id(&name), number: 0 };
        let answered = rpc.call(rig.address, connection, DEADLINE, &request);
        let (_, reply) = answered.expect("answered");
        assert!(matches!(reply.outcome, DispatchOutcome::Answered(_)), "{:?}", reply.outcome);
    };
    println!("| path | p50 us | p99 us | p99.9 us | p50 added us |\n|---|---|---|---|---|");
    let mut first = None;
    let (new, pooled) = (caller(false), caller(true));
    measure("executor directly, new connection", count, &mut first, |_| get(&new, executor));
    measure("agent, new connection", count, &mut first, |number| {
        dispatch(ConnectionUse::Fresh, "fresh", number);
    });
    measure("agent, pooled connection", count, &mut first, |number| {
        dispatch(ConnectionUse::Pooled, "pooled", number);
    });
    let callers = entry.caller_address();
    measure("entry, GET, new connection", count, &mut first, |_| get(&new, callers));
    measure("entry, GET, pooled connection", count, &mut first, |_| get(&pooled, callers));
    measure("entry, POST, pooled connection", count, &mut first, |_| post(&pooled, callers));
    entry.shut_down();
}
