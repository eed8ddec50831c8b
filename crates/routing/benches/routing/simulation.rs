//! Discrete-event simulation in virtual time of entries, and of executors with slots and service
//! times.

use {
    crate::{
        deployment::{
            Deployment, Experiment, Fault, CONNECTIONS, LOCAL_DELAY, LOSS_DETECTION_TIME,
            MEAN_EXTRA_SERVICE_TIME, MIN_SERVICE_TIME, SLOTS,
        },
        report::Tally,
        variant::{random_rule, Variant, VariantKind, VariantStep, POLICY},
    },
    base::{
        ConnectionCount, DataCentreName, EndpointId, IncarnationNumber, PeerAddress, RequestId,
        SeededRandom, SlotCount,
    },
    bytes::Bytes,
    proto::{
        messages::{
            DispatchId, DispatchOutcome, DispatchReply, EndpointLoad, EndpointRecord,
            ForwardedAnswer, NotRunReason, PriorityClass,
        },
        rpc::RpcError,
    },
    routing::{DispatchEnd, FlightNumber, RequestNumber, RouterRequest},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// How much longer than its caller an entry waits for an agent.
const REPLY_GRACE: Duration = Duration::from_millis(250);
/// Requests that arrive earlier are not counted: the entries still collect latency samples.
const WARM_UP: Duration = Duration::from_secs(5);

/// Retries that a budget grants in one burst; each second adds one.
const BUDGET_RESERVE: u64 = 10;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Call {
    entry: usize,
    flight: FlightNumber,
    executor: usize,
    deadline: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallEnd {
    Answered,
    NoSlot,
    Unconfirmed,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(PriorityClass),
    Reach(Call),
    Finish(Call),
    Settle(Call, CallEnd, u32),
    Wake(usize),
    NoiseBegins,
    NoiseEnds,
    ExecutorsStop,
    LossDetected,
}

struct Executor {
    id: EndpointId,
    data_centre: usize,
    busy: u32,
    queue: VecDeque<Call>,
    factor: f64,
    silent: bool,
}

struct OpenRequest {
    arrived: Duration,
    priority: PriorityClass,
}

pub struct Simulation<'a> {
    deployment: &'a Deployment,
    experiment: &'a Experiment,
    kind: VariantKind,
    random: SeededRandom,
    now: Duration,
    sequence: u64,
    next_request: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    entries: Vec<Box<dyn Variant>>,
    wakes: Vec<Option<Duration>>,
    arrivals: Vec<u64>,
    executors: Vec<Executor>,
    open: BTreeMap<(usize, RequestNumber), OpenRequest>,
    deadlines: BTreeMap<(usize, RequestNumber), Duration>,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    pub fn new(
        deployment: &'a Deployment,
        experiment: &'a Experiment,
        kind: VariantKind,
        seed: u64,
    ) -> Self {
        let mut executors = Vec::new();
        for (data_centre, count) in deployment.executors.iter().enumerate() {
            for _ in 0..*count {
                executors.push(Executor {
                    id: EndpointId::new(&format!("executor-{}", executors.len())).unwrap(),
                    data_centre,
                    busy: 0,
                    queue: VecDeque::new(),
                    factor: 1.0,
                    silent: false,
                });
            }
        }
        let centres = 0..deployment.executors.len();
        let entries: Vec<_> =
            centres.clone().map(|n| kind.build(centre_name(n), seed * 100 + n as u64)).collect();
        let mut simulation = Self {
            deployment,
            experiment,
            kind,
            random: SeededRandom::new(seed),
            now: Duration::ZERO,
            sequence: 0,
            next_request: 0,
            events: BinaryHeap::new(),
            wakes: vec![None; entries.len()],
            arrivals: vec![0; entries.len()],
            entries,
            executors,
            open: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            tally: Tally::new((experiment.length - WARM_UP).as_secs_f64()),
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        for entry in 0..self.entries.len() {
            for executor in 0..self.executors.len() {
                let record = self.record(executor);
                self.entries[entry].add_endpoint(Duration::ZERO, record);
            }
        }
        self.schedule_arrival(PriorityClass::LatencyCritical);
        self.schedule_arrival(PriorityClass::Batch);
        match self.experiment.fault {
            Fault::None => {}
            Fault::Noise { period, .. } => self.schedule(period, Event::NoiseBegins),
            Fault::Silent { at, .. } => {
                self.schedule(at, Event::ExecutorsStop);
                self.schedule(at + LOSS_DETECTION_TIME, Event::LossDetected);
            }
        }
    }

    fn record(&self, index: usize) -> EndpointRecord {
        let executor = &self.executors[index];
        EndpointRecord {
            endpoint: executor.id.clone(),
            worker: executor.id.as_str().parse().unwrap(),
            incarnation: IncarnationNumber(1),
            service: "desk".parse().unwrap(),
            data_centre: centre_name(executor.data_centre),
            agent: PeerAddress(SocketAddr::from(([10, 0, 0, 1], index as u16))),
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(CONNECTIONS),
            draining: false,
        }
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    pub fn run(mut self) -> Tally {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            self.handle(event);
        }
        for (entry, arrivals) in self.entries.iter().zip(&self.arrivals) {
            let (retries, hedges) = entry.extra_dispatches();
            let budget = arrivals * u64::from(POLICY.retry_percent) / 100;
            let allowance = BUDGET_RESERVE + self.now.as_secs() + 1;
            assert!(!self.kind.is_guarded() || retries <= budget + allowance);
            self.tally.retries += retries;
            self.tally.hedges += hedges;
        }
        self.tally.all_requests = self.next_request;
        assert_eq!(self.tally.overcommits, 0);
        self.tally
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(priority) => self.arrive(priority),
            Event::Reach(call) => self.reach(call),
            Event::Finish(call) => self.finish(call),
            Event::Settle(call, end, in_use) => self.settle(call, end, in_use),
            Event::Wake(entry) => {
                if self.wakes[entry].is_some_and(|wake| wake <= self.now) {
                    self.wakes[entry] = None;
                    let steps = self.entries[entry].pump(self.now);
                    self.perform(entry, steps);
                }
            }
            Event::NoiseBegins => self.begin_noise(),
            Event::NoiseEnds => self.executors.iter_mut().for_each(|e| e.factor = 1.0),
            Event::ExecutorsStop => self.stop_replies(),
            Event::LossDetected => self.remove_lost(),
        }
    }

    fn schedule_arrival(&mut self, priority: PriorityClass) {
        let share = match priority {
            PriorityClass::Batch => self.experiment.batch,
            _ => self.experiment.critical,
        };
        if share == 0.0 || self.now >= self.experiment.length {
            return;
        }
        let mean = Duration::from_secs_f64(1.0 / (share * self.deployment.capacity()));
        let next = self.now + self.random.exponential(mean);
        self.schedule(next, Event::Arrive(priority));
    }

    fn arrive(&mut self, priority: PriorityClass) {
        self.schedule_arrival(priority);
        let entry = self.random.below(self.entries.len());
        let number = RequestNumber(self.next_request);
        self.next_request += 1;
        self.arrivals[entry] += 1;
        let deadline = self.now + self.experiment.deadline;
        let rule = random_rule(&mut self.random);
        self.open.insert((entry, number), OpenRequest { arrived: self.now, priority });
        self.deadlines.insert((entry, number), deadline);
        if self.now >= WARM_UP {
            self.tally.offered(priority);
        }
        let request = RouterRequest { number, rule, priority, deadline };
        let steps = self.entries[entry].arrive(self.now, request);
        self.perform(entry, steps);
    }

    fn perform(&mut self, entry: usize, steps: Vec<VariantStep>) {
        for step in steps {
            match step {
                VariantStep::Send { flight, endpoint } => self.send(entry, flight, &endpoint),
                VariantStep::Answer(number) => self.record_outcome(entry, number, true),
                VariantStep::Fail(number) => self.record_outcome(entry, number, false),
            }
        }
        let Some(wake) = self.entries[entry].next_wake(self.now) else { return };
        let wake = wake.max(self.now + Duration::from_micros(1));
        if self.wakes[entry].is_none_or(|known| wake < known || known <= self.now) {
            self.wakes[entry] = Some(wake);
            self.schedule(wake, Event::Wake(entry));
        }
    }

    fn send(&mut self, entry: usize, flight: FlightNumber, endpoint: &EndpointId) {
        let executor = self.executors.iter().position(|e| e.id == *endpoint).unwrap();
        let deadline = self.deadlines[&(entry, flight.request)];
        let call = Call { entry, flight, executor, deadline };
        if let Some(open) = self.open.get(&(entry, flight.request)) {
            if open.arrived >= WARM_UP {
                self.tally.dispatched(open.priority, flight.dispatch);
            }
        }
        let arrival = self.now + self.one_way(call);
        self.schedule(arrival, Event::Reach(call));
    }

    fn one_way(&self, call: Call) -> Duration {
        match self.executors[call.executor].data_centre == call.entry {
            true => LOCAL_DELAY,
            false => self.deployment.remote_delay,
        }
    }

    fn reach(&mut self, call: Call) {
        let guarded = self.kind.is_guarded();
        let executor = &mut self.executors[call.executor];
        if executor.silent {
            let at = (call.deadline + REPLY_GRACE).max(self.now);
            return self.schedule(at, Event::Settle(call, CallEnd::Unconfirmed, 0));
        }
        if executor.busy < SLOTS {
            return self.begin(call);
        }
        let queued = executor.queue.len() as u32;
        if !guarded && executor.busy + queued < CONNECTIONS {
            return executor.queue.push_back(call);
        }
        let at = self.now + self.one_way(call);
        self.schedule(at, Event::Settle(call, CallEnd::NoSlot, SLOTS));
    }

    fn begin(&mut self, call: Call) {
        let time = MIN_SERVICE_TIME + self.random.exponential(MEAN_EXTRA_SERVICE_TIME);
        let executor = &mut self.executors[call.executor];
        executor.busy += 1;
        if executor.busy > SLOTS {
            self.tally.overcommits += 1;
        }
        let finish = self.now + time.mul_f64(executor.factor);
        self.schedule(finish, Event::Finish(call));
    }

    fn finish(&mut self, call: Call) {
        let executor = &mut self.executors[call.executor];
        executor.busy -= 1;
        let (silent, in_use) = (executor.silent, executor.busy);
        if let Some(next) = executor.queue.pop_front() {
            self.begin(next);
        }
        if silent {
            let at = (call.deadline + REPLY_GRACE).max(self.now);
            return self.schedule(at, Event::Settle(call, CallEnd::Unconfirmed, 0));
        }
        let at = self.now + self.one_way(call);
        self.schedule(at, Event::Settle(call, CallEnd::Answered, in_use));
    }

    fn settle(&mut self, call: Call, end: CallEnd, in_use: u32) {
        let dispatch =
            DispatchId { request: RequestId::new("r").unwrap(), number: call.flight.dispatch };
        let load = EndpointLoad {
            in_use: SlotCount(in_use),
            slots: SlotCount(SLOTS),
            ..EndpointLoad::default()
        };
        let reply = |outcome| Ok(DispatchReply { dispatch: dispatch.clone(), outcome, load });
        let result = match end {
            CallEnd::Answered => reply(DispatchOutcome::Answered(ForwardedAnswer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::new(),
            })),
            CallEnd::NoSlot => reply(DispatchOutcome::NotRun(NotRunReason::NoSlot)),
            CallEnd::Unconfirmed => {
                let peer = PeerAddress(SocketAddr::from(([10, 0, 0, 1], 1)));
                Err(RpcError::NoReply { peer, detail: String::new() })
            }
        };
        let load = (end != CallEnd::Unconfirmed).then_some(load);
        let end = DispatchEnd::classify(&dispatch, result);
        let steps = self.entries[call.entry].settle(self.now, call.flight, end, load);
        self.perform(call.entry, steps);
    }

    fn record_outcome(&mut self, entry: usize, number: RequestNumber, answered: bool) {
        let Some(open) = self.open.remove(&(entry, number)) else { return };
        if open.arrived < WARM_UP {
            return;
        }
        let latency = self.now - open.arrived;
        let in_time = answered && latency <= self.experiment.deadline;
        let in_window = self.now <= self.experiment.length;
        self.tally.record_outcome(open.priority, in_time.then_some(latency), in_window);
    }

    fn begin_noise(&mut self) {
        let Fault::Noise { period, length, count, factor } = self.experiment.fault else {
            return;
        };
        let mut indices: Vec<_> = (0..self.executors.len()).collect();
        for _ in 0..count {
            let index = indices.swap_remove(self.random.below(indices.len()));
            self.executors[index].factor = factor;
        }
        self.schedule(self.now + length, Event::NoiseEnds);
        if self.now + period < self.experiment.length {
            self.schedule(self.now + period, Event::NoiseBegins);
        }
    }

    fn stop_replies(&mut self) {
        let Fault::Silent { count, .. } = self.experiment.fault else { return };
        for index in 0..count {
            let queue = std::mem::take(&mut self.executors[index].queue);
            self.executors[index].silent = true;
            for call in queue {
                let at = (call.deadline + REPLY_GRACE).max(self.now);
                self.schedule(at, Event::Settle(call, CallEnd::Unconfirmed, 0));
            }
        }
    }

    fn remove_lost(&mut self) {
        let silent: Vec<_> =
            self.executors.iter().filter(|e| e.silent).map(|e| e.id.clone()).collect();
        for entry in &mut self.entries {
            silent.iter().for_each(|id| entry.remove_endpoint(id));
        }
    }
}

fn centre_name(index: usize) -> DataCentreName {
    DataCentreName::new(&format!("centre-{index}")).unwrap()
}
