//! Runs the scripts under `scenarios/` against the router in fake time.

use {
    base::{ConnectionCount, EndpointId, IncarnationNumber, PeerAddress, SeededRandom, SlotCount},
    bytes::Bytes,
    datadriven::TestCase,
    proto::{
        messages::{
            DispatchId, DispatchOutcome, DispatchReply, EndpointLoad, EndpointRecord,
            ForwardedAnswer, NotRunReason, PriorityClass,
        },
        rpc::RpcError,
    },
    routing::{
        DispatchEnd, EndedRequest, FlightNumber, RepeatRule, RequestNumber, RequestOutcome,
        RouterPolicy, RouterRequest, RouterStep, ServiceRouter, Settlement,
    },
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

struct RouterScript {
    now: Duration,
    router: ServiceRouter,
}

impl RouterScript {
    fn new() -> Self {
        let policy = RouterPolicy { queue: 3, retry_percent: 10, hedge_percent: 5 };
        let home = "arusha".parse().unwrap();
        let router = ServiceRouter::new(home, policy, SeededRandom::new(1));
        Self { now: Duration::ZERO, router }
    }

    fn run(&mut self, case: &TestCase) -> String {
        let arg = |name: &str| case.args.get(name).and_then(|texts| texts.first()).cloned();
        let number = |name: &str| arg(name).map_or(0, |text| text.parse::<u64>().unwrap());
        let mut steps = Vec::new();
        let mut text = String::new();
        match case.directive.as_str() {
            "endpoint" => {
                let slots = number("slots") as u32;
                let record = endpoint(&arg("id").unwrap(), &arg("in").unwrap(), slots);
                self.router.upsert(self.now, record);
            }
            "advance" => self.now += Duration::from_millis(number("ms")),
            "request" => {
                let first = number("n");
                for number in first..=arg("to").map_or(first, |last| last.parse().unwrap()) {
                    steps.extend(self.router.arrive(self.now, self.request(number, &arg)));
                    steps.extend(self.router.pump(self.now));
                }
            }
            "done" => {
                let end = dispatch_end(&arg("reply").unwrap());
                let flight = FlightNumber {
                    request: RequestNumber(number("n")),
                    dispatch: number("d") as u32,
                };
                let slots = SlotCount(8);
                let load = Some(EndpointLoad { slots, ..EndpointLoad::default() });
                let settlement = self.router.settle(self.now, flight, end, load);
                writeln!(text, "{}", settlement_text(&settlement)).unwrap();
            }
            "train" => {
                self.collect_latencies(number("requests"), Duration::from_millis(number("ms")))
            }
            "pool" => return self.pool(),
            other => panic!("no such command: {other}"),
        }
        steps.extend(self.router.pump(self.now));
        steps.iter().for_each(|step| writeln!(text, "{}", step_text(step)).unwrap());
        text
    }

    fn request(&self, number: u64, arg: &impl Fn(&str) -> Option<String>) -> RouterRequest {
        let millis = arg("deadline").map_or(1000, |text| text.parse().unwrap());
        RouterRequest {
            number: RequestNumber(number),
            rule: RepeatRule::from_method(&arg("method").unwrap_or("GET".into()), &[]),
            priority: match arg("batch") {
                Some(_) => PriorityClass::Batch,
                None => PriorityClass::LatencyCritical,
            },
            deadline: self.now + Duration::from_millis(millis),
        }
    }

    /// Runs requests one after the other, so that the router has latency samples.
    fn collect_latencies(&mut self, requests: u64, latency: Duration) {
        for number in 1_000_000..1_000_000 + requests {
            self.router.arrive(self.now, self.request(number, &|_| None));
            self.router.pump(self.now);
            self.now += latency;
            let flight = FlightNumber { request: RequestNumber(number), dispatch: 0 };
            self.router.settle(self.now, flight, dispatch_end("answered"), None);
        }
    }

    fn pool(&self) -> String {
        let mut text = String::new();
        for state in self.router.pool().endpoints() {
            let ejected = if state.is_ejected(self.now) { " ejected" } else { "" };
            writeln!(text, "{} in flight {}{ejected}", state.id(), state.in_flight()).unwrap();
        }
        text
    }
}

fn endpoint(id: &str, data_centre: &str, slots: u32) -> EndpointRecord {
    EndpointRecord {
        endpoint: EndpointId::new(id).unwrap(),
        worker: id.parse().unwrap(),
        incarnation: IncarnationNumber(1),
        service: "booking".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        agent: PeerAddress(SocketAddr::from(([10, 0, 0, 1], 1))),
        slots: SlotCount(slots),
        connections: ConnectionCount(64),
        draining: false,
    }
}

fn dispatch_end(reply: &str) -> DispatchEnd {
    let dispatch = DispatchId { request: "r".parse().unwrap(), number: 0 };
    let answer = ForwardedAnswer { status: 200, headers: Vec::new(), body: Bytes::new() };
    let outcome = match reply {
        "answered" => DispatchOutcome::Answered(answer),
        "no-slot" => DispatchOutcome::NotRun(NotRunReason::NoSlot),
        _ => {
            let peer = PeerAddress(SocketAddr::from(([10, 0, 0, 1], 1)));
            let error = RpcError::NotConnected { peer, detail: String::new() };
            return DispatchEnd::classify(&dispatch, Err(error));
        }
    };
    let load = EndpointLoad::default();
    DispatchEnd::classify(
        &dispatch,
        Ok(DispatchReply { dispatch: dispatch.clone(), outcome, load }),
    )
}

fn step_text(step: &RouterStep) -> String {
    match step {
        RouterStep::Dispatch(assignment) => {
            let flight = assignment.flight;
            let hedge = if assignment.hedge { " as hedge" } else { "" };
            let to = &assignment.endpoint.endpoint;
            format!("send {}.{} to {to}{hedge}", flight.request.0, flight.dispatch)
        }
        RouterStep::End(ended) => ended_text(ended),
    }
}

fn ended_text(ended: &EndedRequest) -> String {
    match &ended.outcome {
        RequestOutcome::NotRun(verdict) => {
            format!("end {} not run: {:?}", ended.number.0, verdict.reason())
        }
        RequestOutcome::Unknown(reason) => format!("end {} unknown: {reason:?}", ended.number.0),
        RequestOutcome::Answered(_) => format!("end {} answered", ended.number.0),
    }
}

fn settlement_text(settlement: &Settlement) -> String {
    match settlement {
        Settlement::Answered(answer) => format!("answered {}", answer.status),
        Settlement::Ended(ended) => ended_text(ended),
        Settlement::Waiting => "goes on".to_owned(),
        Settlement::Unresolved => "unresolved".to_owned(),
        Settlement::Stale => "stale".to_owned(),
    }
}

#[test]
fn scenarios() {
    datadriven::walk("scenarios", |file| {
        let mut script = RouterScript::new();
        file.run(|case| script.run(case));
    });
}
