//! Tests of one control process together with one agent, whose streams and executor the test plays.

use {
    crate::support::{job, ControlHarness, StepBuilder, LEASE},
    base::EventReducer,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    workflow::{
        agent::{AgentEffect, AgentEvent, AgentNode, AgentSettings, ExecutorView, StartVerdict},
        job::{RunNumber, TaskDemand, TaskKey, WorkerIncarnation},
        message::{EndReport, LinkMessage, RunReport, WorkerReport},
        state::EndKind,
    },
};

const ROUND_MS: u64 = 40;
const STARTED_MS: u64 = 100;

fn worker() -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from("e1"), started_ms: STARTED_MS }
}

fn report(cores: u64) -> WorkerReport {
    let cpu_milli = cores * 1000;
    WorkerReport {
        worker: worker(),
        service: "s".to_owned(),
        data_centre: "north".to_owned(),
        capacity: TaskDemand { cpu_milli, memory_mb: 64_000, accelerators: 0 },
        labels: Vec::new(),
        drain_left_ms: None,
        responsive: true,
    }
}

/// A control process, an agent, and the executor beside the agent.
struct StreamPair {
    harness: ControlHarness,
    agent: AgentNode,
    /// The stream that the agent uses.
    stream: u64,
    poll: Option<Duration>,
    running: Vec<(TaskKey, RunNumber)>,
    finished: Vec<EndReport>,
    last_end: u64,
    sequence: u64,
}

impl StreamPair {
    fn start() -> Self {
        let harness = ControlHarness::start();
        let settings = AgentSettings { lease: LEASE, executor_address: Arc::from("e1") };
        let agent = AgentNode::new(settings, harness.now());
        let (running, finished) = Default::default();
        let (poll, stream, last_end, sequence) = (None, 0, 0, 0);
        let mut pair = Self { harness, agent, stream, poll, running, finished, last_end, sequence };
        pair.describe(16);
        pair.open_stream();
        pair.play(1000);
        pair
    }

    fn step_agent(&mut self, event: AgentEvent) {
        for effect in self.agent.reduce(self.harness.now(), event) {
            match effect {
                AgentEffect::Send(message) => self.harness.send(self.stream, message),
                AgentEffect::Poll { acknowledged, .. } => {
                    self.finished.retain(|end| end.number > acknowledged);
                    self.poll = Some(self.harness.now());
                }
                AgentEffect::Start { order, .. } => {
                    let (worker, task, run) = (order.worker, order.task, order.run);
                    self.running.push((task, run));
                    let verdict = StartVerdict::Started;
                    self.step_agent(AgentEvent::StartAnswered { worker, task, run, verdict });
                }
                _ => {}
            }
        }
        for message in self.harness.take_sent(self.stream) {
            self.step_agent(AgentEvent::LeaderMessage(message));
        }
    }

    /// Sends a heartbeat of the executor.
    fn describe(&mut self, cores: u64) {
        self.sequence += 1;
        let (report, sequence) = (report(cores), self.sequence);
        self.step_agent(AgentEvent::Heartbeat { report, sequence });
    }

    /// Opens a stream, the first or the next one.
    fn open_stream(&mut self) {
        if self.stream > 0 {
            self.step_agent(AgentEvent::LeaderLost);
        }
        self.stream += 1;
        self.harness.connect_client(self.stream);
        let sent = self.harness.take_sent(self.stream);
        assert!(matches!(sent[..], [LinkMessage::Welcome { leading: true, .. }]), "{sent:?}");
        sent.into_iter().for_each(|message| self.step_agent(AgentEvent::LeaderMessage(message)));
    }

    /// Lets the last messages of the stream before arrive, and its end.
    fn close_former_stream(&mut self) {
        let (report, place) = (report(16), Arc::from("e1"));
        self.harness.send(self.stream - 1, LinkMessage::Worker { report, place });
        self.harness.close(self.stream - 1);
    }

    /// Ends a run on the executor, which answers the poll at once.
    fn finish(&mut self, index: usize) {
        let (task, run) = self.running.remove(index);
        self.last_end += 1;
        let (number, checkpoint) = (self.last_end, String::new());
        self.finished.push(EndReport { number, task, run, end: EndKind::Done, checkpoint });
        self.answer_poll();
    }

    fn answer_poll(&mut self) {
        let Some(asked) = self.poll.take() else { return };
        let running = self.running.iter().map(|(task, run)| RunReport {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        });
        let view = ExecutorView {
            started_ms: STARTED_MS,
            clock_ms: asked.as_millis() as u64,
            running: running.collect(),
            finished: self.finished.clone(),
            more_finished: false,
            unreadable: Vec::new(),
        };
        self.step_agent(AgentEvent::PollAnswered { worker: worker(), asked, result: Ok(view) });
    }

    fn play(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / ROUND_MS {
            self.harness.advance(ROUND_MS);
            self.step_agent(AgentEvent::Tick);
            self.answer_poll();
        }
    }
}

// The run stayed placed for ever, or was started again once a later end had acknowledged this one.
#[rstest]
#[case::alone(1)]
#[case::before_another_end(2)]
fn an_end_that_the_leader_has_dropped_is_recorded_all_the_same(#[case] tasks: u16) {
    let mut pair = StreamPair::start();
    pair.harness.submit(0xa, job(&[StepBuilder::tasks(tasks)]));
    pair.play(1000);
    assert_eq!(pair.running.len(), usize::from(tasks));
    pair.open_stream();
    pair.play(120);
    pair.close_former_stream();
    pair.finish(0);
    pair.describe(15);
    (1..tasks).for_each(|_| pair.finish(0));
    pair.play(6000);
    assert_eq!(pair.harness.phase(0xa), "Ended(Succeeded)");
    let starts = pair.harness.starts();
    assert!(starts.iter().all(|start| start.contains(" run 1 ")), "{starts:?}");
}
