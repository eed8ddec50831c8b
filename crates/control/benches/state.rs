//! Costs of the applied state: time for each command, bytes for each task and key in a snapshot,
//! and time for each heartbeat at the leader. `docs/CAPACITY.md` holds the slopes.

use {
    base::{
        AttemptNumber, ByteSize, CpuMillis, EndpointId, EventReducer, IncarnationNumber, JobId,
        PeerAddress, ReplicaId, ReplyTicket, RequestId, ResourceVector, RevisionNumber,
        ServiceName, SubmissionId, TaskId, TaskIndex, WorkerId,
    },
    control::{
        leader::SenderInfo,
        node::{ControlNode, NodeEffect, NodeEvent, NodeSettings},
        state::{CommandBatch, FleetCommand, FleetState, PlaceCommand},
    },
    criterion::{criterion_group, criterion_main, BatchSize, Criterion},
    proto::{
        envelope::ProcessRole,
        messages::{
            AgentHeartbeat, AttemptReport, AttemptState, ClaimEnd, ClaimTarget, CommandCursor,
            DispatchId, ForwardedAnswer, IdempotencyKey, JobSpec, LedgerClaim, LedgerClose,
            PlacementRule, PriorityClass, RequestFingerprint, WorkerAnnouncement,
        },
    },
    quorum::{GroupMember, QuorumSettings, RecoveredLog},
    sched::PlacementReason,
    settings::RuleSource,
    std::{hint::black_box, time::Duration},
};

const WORKERS: usize = 660;
const CLAIMS: usize = 10_000;
const ANSWER_BYTES: usize = 512;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name")
}

fn address() -> PeerAddress {
    name("127.0.0.1:7000")
}

fn size(cpu: u64) -> ResourceVector {
    ResourceVector { cpu: CpuMillis(cpu), memory: ByteSize(1 << 20), ..ResourceVector::ZERO }
}

fn worker(number: usize) -> WorkerId {
    name(&format!("worker-{number}"))
}

fn announcement(number: usize) -> WorkerAnnouncement {
    WorkerAnnouncement {
        region: name("north"),
        data_centre: name("Arusha"),
        rack: name(&format!("rack-{}", number / 3)),
        capacity: ResourceVector {
            cpu: CpuMillis(32_000),
            memory: ByteSize(125 << 30),
            ..ResourceVector::ZERO
        },
        address: address(),
        operator_address: address(),
        draining: false,
    }
}

fn job(number: usize, tasks: u32) -> JobSpec {
    JobSpec {
        id: name(&format!("job-{number}")),
        team: name("desk"),
        class: name("report"),
        priority: PriorityClass::Batch,
        tasks,
        resources: size(500),
        run_time: None,
        service: None,
        payload: String::new(),
        placement: PlacementRule::default(),
    }
}

fn apply(state: &mut FleetState, commands: Vec<FleetCommand>) {
    state.apply(CommandBatch { at_ms: 1, commands }, &mut Vec::new());
}

fn with_workers() -> FleetState {
    let mut state = FleetState::new();
    let see = |number| FleetCommand::RegisterWorker {
        worker: worker(number),
        incarnation: IncarnationNumber(1),
        announcement: announcement(number),
    };
    apply(&mut state, (0..WORKERS).map(see).collect());
    state
}

fn submissions(jobs: usize, tasks: u32) -> Vec<FleetCommand> {
    (0..jobs)
        .map(|number| FleetCommand::SubmitJob {
            submission: SubmissionId::new(&format!("s-{number}")).expect("a name"),
            job: job(number, tasks),
        })
        .collect()
}

fn task(job: usize, index: u32) -> TaskId {
    TaskId::new(JobId::new(&format!("job-{job}")).expect("a name"), TaskIndex(index))
}

fn placements(jobs: usize, tasks: u32) -> Vec<FleetCommand> {
    let all = (0..jobs).flat_map(|job| (0..tasks).map(move |index| (job, index)));
    all.enumerate()
        .map(|(number, (job, index))| {
            FleetCommand::Place(PlaceCommand {
                task: task(job, index),
                attempt: AttemptNumber(1),
                worker: worker(number % WORKERS),
                reserve: size(500),
                reason: PlacementReason {
                    candidates: 660,
                    cost: 1.0,
                    service_slowdown_percent: 0.0,
                    corrected: false,
                },
                rule: RuleSource::Default,
            })
        })
        .collect()
}

fn reports(jobs: usize, tasks: u32, state: AttemptState) -> Vec<FleetCommand> {
    let all = (0..jobs).flat_map(|job| (0..tasks).map(move |index| (job, index)));
    all.enumerate()
        .map(|(number, (job, index))| FleetCommand::Report {
            worker: worker(number % WORKERS),
            incarnation: IncarnationNumber(1),
            report: AttemptReport {
                task: task(job, index),
                attempt: AttemptNumber(1),
                state: state.clone(),
            },
        })
        .collect()
}

fn running(jobs: usize, tasks: u32) -> FleetState {
    let mut state = with_workers();
    apply(&mut state, submissions(jobs, tasks));
    apply(&mut state, placements(jobs, tasks));
    apply(&mut state, reports(jobs, tasks, AttemptState::Running));
    state
}

fn claims() -> Vec<FleetCommand> {
    let claim = |number: usize| {
        FleetCommand::Claim(LedgerClaim {
            key: key(number),
            fingerprint: RequestFingerprint([7; 16]),
            target: ClaimTarget {
                dispatch: dispatch(number),
                endpoint: EndpointId::new("endpoint-1").expect("a name"),
                incarnation: IncarnationNumber(1),
                agent: address(),
            },
            keep: Duration::from_secs(3600),
            replaces: None,
        })
    };
    (0..CLAIMS).map(claim).collect()
}

fn closes() -> Vec<FleetCommand> {
    let close = |number: usize| {
        FleetCommand::Close(LedgerClose {
            key: key(number),
            dispatch: dispatch(number),
            end: ClaimEnd::Answered(ForwardedAnswer {
                status: 200,
                headers: Vec::new(),
                body: vec![b'a'; ANSWER_BYTES].into(),
            }),
        })
    };
    (0..CLAIMS).map(close).collect()
}

fn key(number: usize) -> IdempotencyKey {
    let service = ServiceName::new("booking").expect("a name");
    IdempotencyKey { service, text: format!("key-{number:032}") }
}

fn dispatch(number: usize) -> DispatchId {
    let request = RequestId::new(&format!("entry-1-{number}")).expect("a name");
    DispatchId { request, number: 0 }
}

fn sizes() {
    let empty = FleetState::new().to_snapshot().len();
    let workers = with_workers().to_snapshot().len();
    let few = running(10, 100).to_snapshot().len();
    let many = running(100, 100).to_snapshot().len();
    let mut ledger = FleetState::new();
    apply(&mut ledger, claims());
    let held = ledger.to_snapshot().len();
    apply(&mut ledger, closes());
    let closed = ledger.to_snapshot().len();
    println!("snapshot bytes: empty {empty}");
    println!("  per worker: {}", (workers - empty) / WORKERS);
    println!("  per running task, 10,000 against 1,000: {}", (many - few) / 9_000);
    println!("  per held key: {}", (held - empty) / CLAIMS);
    println!("  per answered key with a {ANSWER_BYTES} B answer: {}", (closed - empty) / CLAIMS);
    let entry = |commands: Vec<FleetCommand>| {
        let count = commands.len();
        let batch = CommandBatch { at_ms: 1, commands };
        rmp_serde::to_vec(&batch).expect("an encoding").len() / count
    };
    println!("log bytes: per placement {}", entry(placements(10, 100)));
    println!("  per report {}", entry(reports(10, 100, AttemptState::Running)));
    println!("  per claim {}", entry(claims()));
}

fn commands(criterion: &mut Criterion) {
    sizes();
    let mut group = criterion.benchmark_group("apply");
    group.sample_size(10);
    group.throughput(criterion::Throughput::Elements(10_000));
    let waiting = || {
        let mut state = with_workers();
        apply(&mut state, submissions(100, 100));
        (state, placements(100, 100))
    };
    let apply_all = |(mut state, commands): (FleetState, Vec<FleetCommand>)| {
        apply(&mut state, commands);
        state
    };
    group.bench_function("place 10,000 tasks on 660 workers", |bencher| {
        bencher.iter_batched(waiting, apply_all, BatchSize::LargeInput);
    });
    let finished = || (running(100, 100), reports(100, 100, AttemptState::Finished));
    group.bench_function("finish 10,000 tasks", |bencher| {
        bencher.iter_batched(finished, apply_all, BatchSize::LargeInput);
    });
    let claimed = || (FleetState::new(), claims());
    group.bench_function("claim 10,000 keys", |bencher| {
        bencher.iter_batched(claimed, apply_all, BatchSize::LargeInput);
    });
    let closing = || {
        let mut state = FleetState::new();
        apply(&mut state, claims());
        (state, closes())
    };
    group.bench_function("close 10,000 keys", |bencher| {
        bencher.iter_batched(closing, apply_all, BatchSize::LargeInput);
    });
    group.finish();
}

fn snapshots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(10);
    let state = running(100, 100);
    group.bench_function("write with 10,000 running tasks", |bencher| {
        bencher.iter(|| black_box(state.to_snapshot()));
    });
    let data = state.to_snapshot();
    group.bench_function("read with 10,000 running tasks", |bencher| {
        bencher.iter(|| black_box(FleetState::from_snapshot(&data).expect("a state")));
    });
    group.finish();
}

fn leader() -> ControlNode {
    let member = GroupMember { replica: ReplicaId(1), address: address(), voter: true };
    let quorum = QuorumSettings {
        replica: ReplicaId(1),
        founders: vec![member],
        election_timeout: Duration::from_secs(1),
        heartbeat: Duration::from_millis(200),
        batch_bytes: 1 << 19,
        in_flight_limit: 8,
        pending_limit: 4096,
        snapshot_chunk: 1 << 18,
        snapshot_every: u64::MAX,
    };
    let settings =
        NodeSettings { name: name("control-1"), operator_address: address(), quorum, seed: 1 };
    let now = Duration::ZERO;
    let mut node = ControlNode::new(settings, RecoveredLog::default(), now).expect("a node");
    reduce(&mut node, now, NodeEvent::Tick { wall_ms: 1 });
    for number in 0..WORKERS {
        reduce(&mut node, now, heartbeat(number, 1, CommandCursor::default()));
    }
    node
}

/// Handles an event, with every write succeeding.
fn reduce(node: &mut ControlNode, now: Duration, event: NodeEvent) {
    let mut effects = node.reduce(now, event);
    while let Some(effect) = effects.pop() {
        if let NodeEffect::Persist(batch) = effect {
            effects.extend(node.reduce(now, NodeEvent::Persisted { number: batch.number }));
        }
    }
}

fn heartbeat(number: usize, sequence: u64, cursor: CommandCursor) -> NodeEvent {
    let first = sequence == 1;
    NodeEvent::Heartbeat {
        ticket: ReplyTicket(sequence),
        note: SenderInfo {
            name: name(&format!("agent-{number}")),
            role: ProcessRole::Agent,
            revision: RevisionNumber(0),
        },
        heartbeat: AgentHeartbeat {
            worker: worker(number),
            incarnation: IncarnationNumber(1),
            sequence,
            announcement: first.then(|| announcement(number)),
            endpoints: first.then(Vec::new),
            cursor,
            reports_complete: first,
            reports: Vec::new(),
            usage: None,
        },
    }
}

fn heartbeats(criterion: &mut Criterion) {
    let mut node = leader();
    let mut sequence = 2;
    let mut now = Duration::ZERO;
    let mut group = criterion.benchmark_group("leader");
    group.sample_size(10);
    group.throughput(criterion::Throughput::Elements(WORKERS as u64));
    group.bench_function("a heartbeat of each of 660 workers", |bencher| {
        bencher.iter(|| {
            now += Duration::from_secs(1);
            sequence += 1;
            for number in 0..WORKERS {
                reduce(&mut node, now, heartbeat(number, sequence, CommandCursor::default()));
            }
        });
    });
    group.bench_function("fifty ticks, one second of them", |bencher| {
        bencher.iter(|| {
            for _ in 0..50 {
                now += Duration::from_millis(1);
                reduce(&mut node, now, NodeEvent::Tick { wall_ms: 1 });
            }
        });
    });
    group.finish();
}

criterion_group!(benches, commands, snapshots, heartbeats);
criterion_main!(benches);
