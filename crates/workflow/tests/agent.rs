//! Tests of a single agent. The test stands in for its executor and the leader.

use {
    base::EventReducer,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    workflow::{
        agent::{
            AgentEffect, AgentEvent, AgentNode, AgentSettings, CallFailure, ExecutorView, RunList,
            StartRefusal, StartVerdict, UnreadableRow,
        },
        event::FlowEvent,
        job::{RunNumber, TaskDemand, TaskKey, WorkerIncarnation},
        message::{EndReport, LinkMessage, RunReport, StartOrder, WorkerReport},
        state::EndKind,
    },
};

const LEASE: Duration = Duration::from_millis(3500);
const TASK: &str = "000000000000000a.0.0.0";

struct AgentHarness {
    node: AgentNode,
    now: Duration,
    /// The times at which the agent began the polls in progress.
    polls: Vec<Duration>,
    deadlines: Vec<Option<u64>>,
    fences: Vec<u64>,
    calls: Vec<String>,
    sent: Vec<String>,
    introductions: usize,
    /// The last description.
    described: Option<WorkerReport>,
    /// The number of the last end that each poll acknowledged.
    acknowledged: Vec<u64>,
    /// The reasons for which messages were refused.
    refused: Vec<String>,
    /// The lines about ends of runs and of the executor, and about orders that come too late.
    end_lines: Vec<String>,
}

fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from("e1"), started_ms: 100 }
}

fn task() -> TaskKey {
    TASK.parse().unwrap()
}

fn run_report(run: u32) -> RunReport {
    let (task, run, checkpoint) = (task(), RunNumber(run), String::new());
    RunReport { task, run, checkpoint, percent: 10, figure: 0 }
}

fn end_report(number: u64, run: u32, end: EndKind) -> EndReport {
    let (task, run, checkpoint) = (task(), RunNumber(run), String::new());
    EndReport { number, task, run, end, checkpoint }
}

/// Returns the text of an event about an end, or about an order that comes too late.
fn end_line(event: &FlowEvent) -> Option<String> {
    match event {
        FlowEvent::EndReported {
            run,
            end,
            number,
            fact,
            ordered_ms_ago,
            asked_ms_ago,
            connected,
            ..
        } => {
            let ages = format!("ordered {ordered_ms_ago:?}, asked {asked_ms_ago:?}");
            Some(format!("{run} {end:?} as {number}: {fact:?}, {ages}, connected {connected}"))
        }
        FlowEvent::ExecutorEnded { worker, fact, age_ms, reported } => {
            Some(format!("{worker}: {fact:?}, {age_ms} ms ago, reported {reported}"))
        }
        FlowEvent::OrderOutdated { run, cause, .. } => Some(format!("{run} over: {cause:?}")),
        _ => None,
    }
}

impl AgentHarness {
    /// Creates an agent that has met a leader of term 1 and an executor that runs nothing.
    fn start() -> Self {
        let mut harness = Self::start_without_answer();
        harness.answer_poll(&[], &[]);
        harness.renew();
        harness
    }

    /// Creates the same agent right after the start of its process.
    fn start_anew() -> Self {
        let mut harness = Self::start_at(Duration::from_secs(10));
        harness.answer_poll(&[], &[]);
        harness.renew();
        harness
    }

    /// Creates an agent whose executor has not answered it yet.
    fn start_without_answer() -> Self {
        Self::start_at(Duration::ZERO)
    }

    /// Creates an agent whose process began at `began`, and whose executor has not answered it yet.
    fn start_at(began: Duration) -> Self {
        let now = Duration::from_secs(10);
        let settings = AgentSettings { lease: LEASE, executor_address: Arc::from("a1") };
        let node = AgentNode::new(settings, began);
        let (polls, deadlines, fences, calls, sent) = Default::default();
        let (introductions, described) = (0, None);
        let (acknowledged, refused, end_lines) = Default::default();
        let mut harness = Self {
            node,
            now,
            polls,
            deadlines,
            fences,
            calls,
            sent,
            introductions,
            described,
            acknowledged,
            refused,
            end_lines,
        };
        harness.report_heartbeat(1, None);
        harness.connect_leader(1);
        harness.step(AgentEvent::Tick);
        harness
    }

    fn step(&mut self, event: AgentEvent) {
        for effect in self.node.reduce(self.now, event) {
            if let AgentEffect::Record(event) = &effect {
                self.end_lines.extend(end_line(event));
            }
            match effect {
                AgentEffect::Poll { deadline_ms, fence, acknowledged, .. } => {
                    self.acknowledged.push(acknowledged);
                    self.fences.push(fence);
                    self.polls.push(self.now);
                    self.deadlines.push(deadline_ms);
                }
                AgentEffect::Start { order, .. } => {
                    self.calls.push(format!("start {}", order.run));
                }
                AgentEffect::Stop { run, .. } => self.calls.push(format!("stop {run}")),
                AgentEffect::Throttle { percent, .. } => {
                    self.calls.push(format!("throttle {percent}"))
                }
                AgentEffect::Send(LinkMessage::Ends { ends, .. }) => {
                    for end in ends {
                        self.sent.push(format!("{} {:?}", end.run, end.end));
                    }
                }
                AgentEffect::Send(LinkMessage::WorkerEnded { .. }) => {
                    self.sent.push("gone".to_owned());
                }
                AgentEffect::Send(LinkMessage::Ping { sequence }) => {
                    self.sent.push(format!("ping {sequence}"));
                }
                AgentEffect::Send(LinkMessage::Worker { report, .. }) => {
                    self.introductions += 1;
                    self.described = Some(report);
                }
                AgentEffect::Reconnect => self.sent.push("reconnect".to_owned()),
                AgentEffect::Record(FlowEvent::MessageRefused { reason, .. }) => {
                    self.refused.push(reason);
                }
                AgentEffect::Send(_) | AgentEffect::Record(_) => {}
            }
        }
    }

    fn connect_leader(&mut self, term: u64) {
        self.connect_leader_without_answer(term);
        self.renew();
    }

    /// Connects a leader that has not yet answered a ping.
    fn connect_leader_without_answer(&mut self, term: u64) {
        let (leader, members) = (None, Vec::new());
        let welcome = LinkMessage::Welcome { leading: true, leader, members, term };
        self.step(AgentEvent::LeaderMessage(welcome));
    }

    fn connect_leader_without_lease(&mut self) {
        let (leader, members) = (None, Vec::new());
        let welcome = LinkMessage::Welcome { leading: true, leader, members, term: 2 };
        self.step(AgentEvent::LeaderMessage(welcome));
        let pong = LinkMessage::Pong { sequence: self.last_ping(), term: 2, leased: None };
        self.step(AgentEvent::LeaderMessage(pong));
    }

    /// Answers the newest ping.
    fn renew(&mut self) {
        let (sequence, leased) = (self.last_ping(), Some(incarnation()));
        let pong = LinkMessage::Pong { sequence, term: 1, leased };
        self.step(AgentEvent::LeaderMessage(pong));
    }

    fn last_ping(&self) -> u64 {
        let mut pings = self.sent.iter().filter_map(|sent| sent.strip_prefix("ping "));
        pings.next_back().unwrap().parse().unwrap()
    }

    fn report_heartbeat(&mut self, sequence: u64, drain_left_ms: Option<u64>) {
        self.report_heartbeat_of(incarnation(), sequence, drain_left_ms);
    }

    fn report_heartbeat_of(
        &mut self,
        worker: WorkerIncarnation,
        sequence: u64,
        drain_left_ms: Option<u64>,
    ) {
        let report = WorkerReport { drain_left_ms, ..Self::report_of(worker, 16) };
        self.step(AgentEvent::Heartbeat { report, sequence });
    }

    fn described(&self) -> &WorkerReport {
        self.described.as_ref().unwrap()
    }

    fn report_capacity(&mut self, sequence: u64, cores: u64) {
        let report = Self::report_of(incarnation(), cores);
        self.step(AgentEvent::Heartbeat { report, sequence });
    }

    fn report_of(worker: WorkerIncarnation, cores: u64) -> WorkerReport {
        let cpu_milli = cores * 1000;
        WorkerReport {
            worker,
            service: "s".to_owned(),
            data_centre: "north".to_owned(),
            capacity: TaskDemand { cpu_milli, memory_mb: 64_000, accelerators: 0 },
            labels: Vec::new(),
            drain_left_ms: None,
            responsive: true,
        }
    }

    /// Answers the poll in progress.
    fn answer_poll(&mut self, running: &[RunReport], finished: &[EndReport]) {
        self.answer_poll_with(running, finished, &[]);
    }

    fn answer_poll_with(
        &mut self,
        running: &[RunReport],
        finished: &[EndReport],
        unreadable: &[UnreadableRow],
    ) {
        let view = ExecutorView {
            running: running.to_vec(),
            finished: finished.to_vec(),
            unreadable: unreadable.to_vec(),
            ..self.empty_view(100)
        };
        self.answer_poll_of(incarnation(), view);
    }

    /// Returns the lists of an executor that runs nothing.
    fn empty_view(&self, started_ms: u64) -> ExecutorView {
        let (running, finished, unreadable) = Default::default();
        let (clock_ms, more_finished) = (self.now.as_millis() as u64, false);
        ExecutorView { started_ms, clock_ms, running, finished, more_finished, unreadable }
    }

    fn answer_poll_of(&mut self, worker: WorkerIncarnation, view: ExecutorView) {
        let asked = self.polls.pop().expect("a poll is in progress");
        self.step(AgentEvent::PollAnswered { worker, asked, result: Ok(view) });
    }

    fn record_ends(&mut self, up_to: u64) {
        let recorded = LinkMessage::EndsRecorded { worker: incarnation(), up_to };
        self.step(AgentEvent::LeaderMessage(recorded));
    }

    fn leave_poll_unanswered(&mut self) {
        self.fail_poll(CallFailure::Unanswered("no answer".to_owned()));
    }

    fn fail_poll(&mut self, failure: CallFailure) {
        self.fail_poll_of(incarnation(), failure);
    }

    fn fail_poll_of(&mut self, worker: WorkerIncarnation, failure: CallFailure) {
        let asked = self.polls.pop().expect("a poll is in progress");
        let result = Err(failure);
        self.step(AgentEvent::PollAnswered { worker, asked, result });
    }

    fn order(&mut self, run: u32) {
        let order = StartOrder {
            worker: incarnation(),
            task: task(),
            run: RunNumber(run),
            payload: "work".to_owned(),
            checkpoint: String::new(),
            latency_target_ms: None,
            filler: false,
        };
        self.step(AgentEvent::LeaderMessage(LinkMessage::Start(order)));
    }

    fn order_stop(&mut self, run: u32) {
        let stop = LinkMessage::Stop { worker: incarnation(), task: task(), run: RunNumber(run) };
        self.step(AgentEvent::LeaderMessage(stop));
    }

    fn answer_start(&mut self, run: u32, verdict: StartVerdict) {
        let (worker, task, run) = (incarnation(), task(), RunNumber(run));
        self.step(AgentEvent::StartAnswered { worker, task, run, verdict });
    }

    fn answer_stop(&mut self, run: u32, stopped: bool) {
        let (worker, task, run) = (incarnation(), task(), RunNumber(run));
        self.step(AgentEvent::StopAnswered { worker, task, run, stopped });
    }

    fn acknowledge(&mut self, up_to: u64) {
        let recorded = LinkMessage::EndsRecorded { worker: incarnation(), up_to };
        self.step(AgentEvent::LeaderMessage(recorded));
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
        self.step(AgentEvent::Tick);
    }

    fn reports(&self) -> Vec<&str> {
        let is_report = |sent: &&str| !sent.starts_with("ping");
        self.sent.iter().map(String::as_str).filter(is_report).collect()
    }
}

// A new leader repeats the orders for all placements. The agent of an executor that had begun to
// drain refused a run that was already there, and a second run was started elsewhere.
#[test]
fn a_repeated_order_for_a_running_task_is_not_refused_while_the_executor_drains() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.answer_poll(&[run_report(1)], &[]);
    harness.report_heartbeat(2, Some(2000));
    harness.step(AgentEvent::LeaderLost);
    harness.connect_leader(2);
    harness.order(1);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
}

#[test]
fn a_draining_executor_gets_no_new_task() {
    let mut harness = AgentHarness::start();
    harness.report_heartbeat(2, Some(2000));
    harness.order(1);
    assert_eq!(harness.reports(), ["1 Refused"]);
    assert!(harness.calls.is_empty());
}

// Review, case 4: a start that the process before had sent was carried out late, beside the next run.
#[rstest]
#[case::a_draining_executor(true, None)]
#[case::an_executor_without_room(false, Some(StartRefusal::NoCapacity))]
#[case::an_unhealthy_executor(false, Some(StartRefusal::Unhealthy))]
fn a_refused_start_that_the_process_before_may_have_sent_is_settled_by_a_stop(
    #[case] draining: bool,
    #[case] refusal: Option<StartRefusal>,
) {
    let mut harness = AgentHarness::start_anew();
    harness.report_heartbeat(2, draining.then_some(2000));
    harness.order(1);
    if let Some(refusal) = refusal {
        harness.answer_start(1, StartVerdict::Refused(refusal));
    }
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    assert_eq!(harness.calls.last().unwrap(), "stop 1");
    harness.advance(10);
    harness.answer_stop(1, true);
    harness.advance(10);
    harness.answer_poll(&[], &[]);
    harness.answer_poll(&[], &[]);
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

// Review, case 4: a shrunk executor refuses what was ordered before.
#[test]
fn a_withdrawn_start_that_the_process_before_may_have_sent_is_settled_by_a_stop() {
    let mut harness = AgentHarness::start_anew();
    harness.report_capacity(2, 8);
    harness.order(1);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    assert_eq!(harness.calls, ["stop 1"]);
}

#[test]
fn an_unanswered_start_is_repeated_under_the_same_run() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "start 1"]);
    assert!(harness.reports().is_empty());
}

#[test]
fn a_refused_start_is_reported_as_never_begun() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Refused(StartRefusal::NoCapacity));
    assert_eq!(harness.reports(), ["1 Refused"]);
}

// The run may have ended on the executor in the meantime: only its lists show that.
#[test]
fn a_start_of_an_ended_run_waits_for_the_lists() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Old);
    harness.answer_poll(&[], &[]);
    assert!(
        harness.reports().is_empty(),
        "these lists were requested before the start was answered"
    );
    harness.advance(10);
    harness.answer_poll(&[], &[end_report(1, 1, EndKind::Done)]);
    assert_eq!(harness.reports(), ["1 Done"]);
}

// The first start was carried out late: a refusal without a reason does not say that it can't be.
#[test]
fn an_unanswered_start_is_settled_by_a_stop_when_the_next_is_refused_without_a_reason() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.advance(250);
    harness.answer_start(1, StartVerdict::Old);
    harness.advance(10);
    harness.answer_poll(&[], &[]);
    harness.answer_poll(&[], &[]);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    harness.advance(50);
    assert_eq!(harness.calls, ["start 1", "start 1", "stop 1"]);
    harness.answer_stop(1, true);
    for _ in 0..3 {
        harness.advance(10);
        harness.answer_poll(&[], &[]);
    }
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

// The agent went on listing the run as about to start, and control kept it as placed.
#[test]
fn a_started_run_that_the_executor_lists_nowhere_is_settled_by_a_stop() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    let answer_polls = |harness: &mut AgentHarness, running: &[RunReport], count: usize| {
        for _ in 0..count {
            harness.answer_poll(running, &[]);
            harness.advance(500);
            harness.renew();
        }
    };
    answer_polls(&mut harness, &[run_report(1)], 8);
    answer_polls(&mut harness, &[], 3);
    answer_polls(&mut harness, &[run_report(1)], 1);
    answer_polls(&mut harness, &[], 3);
    assert_eq!(harness.calls, ["start 1"], "a list may be incomplete");
    answer_polls(&mut harness, &[], 2);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
    harness.answer_stop(1, true);
    answer_polls(&mut harness, &[], 3);
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

#[test]
fn a_stop_is_repeated_until_confirmed_and_the_end_comes_from_the_lists() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.answer_poll(&[run_report(1)], &[]);
    harness.order_stop(1);
    harness.answer_stop(1, false);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "stop 1", "stop 1"]);
    harness.answer_stop(1, true);
    harness.answer_poll(&[run_report(1)], &[]);
    assert!(harness.reports().is_empty());
    harness.answer_poll(&[], &[end_report(1, 1, EndKind::Stopped)]);
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

#[test]
fn an_end_is_reported_again_to_the_next_leader_until_it_is_acknowledged() {
    let mut harness = AgentHarness::start();
    harness.answer_poll(&[], &[end_report(1, 1, EndKind::Done)]);
    harness.step(AgentEvent::LeaderLost);
    harness.connect_leader(2);
    assert_eq!(harness.reports(), ["1 Done", "1 Done"]);
    harness.acknowledge(1);
    harness.step(AgentEvent::LeaderLost);
    harness.connect_leader(3);
    assert_eq!(harness.reports().len(), 2);
}

// A leader drops the ends that arrive while the stream represents no worker to it.
#[test]
fn an_end_without_an_acknowledgement_is_reported_again_on_the_same_stream() {
    let mut harness = AgentHarness::start();
    harness.answer_poll(&[], &[end_report(1, 1, EndKind::Done)]);
    harness.advance(900);
    assert_eq!(harness.reports(), ["1 Done"]);
    harness.advance(200);
    assert_eq!(harness.reports(), ["1 Done", "1 Done"]);
    harness.acknowledge(1);
    harness.advance(2000);
    assert_eq!(harness.reports().len(), 2);
}

// A dropped end was acknowledged with the next one, and its run was placed for ever.
#[test]
fn a_report_of_ends_holds_all_that_are_not_acknowledged() {
    let mut harness = AgentHarness::start();
    let first = end_report(1, 1, EndKind::Done);
    harness.answer_poll(&[], std::slice::from_ref(&first));
    harness.advance(110);
    harness.answer_poll(&[], &[first, end_report(2, 2, EndKind::Failed)]);
    assert_eq!(harness.reports(), ["1 Done", "1 Done", "2 Failed"]);
    harness.acknowledge(1);
    harness.advance(110);
    harness.answer_poll(&[], &[end_report(2, 2, EndKind::Failed), end_report(3, 3, EndKind::Done)]);
    assert_eq!(harness.reports()[3..], ["2 Failed", "3 Done"]);
}

#[test]
fn without_a_leader_the_executor_is_granted_no_more_than_the_lease() {
    let mut harness = AgentHarness::start();
    let asked = harness.now;
    harness.step(AgentEvent::LeaderLost);
    for _ in 0..40 {
        harness.advance(100);
        if !harness.polls.is_empty() {
            harness.answer_poll(&[], &[]);
        }
    }
    let latest = harness.deadlines.iter().flatten().max().copied().unwrap();
    assert!(latest <= (asked + LEASE).as_millis() as u64, "{latest}");
    assert_eq!(harness.deadlines.last().unwrap(), &None);
}

#[test]
fn a_silent_executor_is_given_up_only_after_its_lease() {
    let mut harness = AgentHarness::start();
    for step in 1..=60 {
        harness.advance(100);
        harness.renew();
        if !harness.polls.is_empty() {
            harness.leave_poll_unanswered();
        }
        if step == 30 {
            assert!(harness.reports().is_empty());
        }
    }
    assert_eq!(harness.reports(), ["gone", "reconnect"]);
}

// A crash that no leader was told of was not counted.
#[test]
fn the_end_of_an_executor_is_reported_to_the_leader_that_comes_later() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.step(AgentEvent::LeaderLost);
    for _ in 1..=60 {
        harness.advance(100);
        if !harness.polls.is_empty() {
            harness.leave_poll_unanswered();
        }
    }
    let before = harness.introductions;
    for term in 2..=3 {
        harness.sent.clear();
        harness.connect_leader(term);
        assert_eq!(harness.reports(), ["1 Expired", "gone"], "term {term}");
        assert!(!harness.described().responsive, "it would pass for the present executor");
        harness.step(AgentEvent::LeaderLost);
    }
    assert_eq!(harness.introductions, before + 2, "with its description");
    harness.sent.clear();
    harness.advance(30_000);
    harness.connect_leader(4);
    assert!(harness.reports().is_empty(), "its leases are over");
}

#[test]
fn an_executor_that_answers_again_is_not_reported_as_ended_to_a_later_leader() {
    let mut harness = AgentHarness::start();
    harness.step(AgentEvent::LeaderLost);
    for _ in 1..=60 {
        harness.advance(100);
        if !harness.polls.is_empty() {
            harness.leave_poll_unanswered();
        }
    }
    harness.advance(200);
    harness.answer_poll(&[], &[]);
    harness.sent.clear();
    harness.connect_leader(2);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
}

// An executor lists its ends in pages. A run whose end is on a later one was reported as never begun.
#[rstest]
#[case::a_start_that_is_old(false)]
#[case::a_stop(true)]
fn a_run_whose_end_may_be_on_a_later_page_is_not_reported_as_never_begun(#[case] stopped: bool) {
    let mut harness = AgentHarness::start();
    harness.order(1);
    if stopped {
        harness.answer_start(1, StartVerdict::Started);
        harness.order_stop(1);
        harness.answer_stop(1, true);
    } else {
        harness.answer_start(1, StartVerdict::Old);
    }
    harness.advance(10);
    harness.answer_poll(&[], &[]);
    let page = vec![end_report(1, 7, EndKind::Done)];
    let view = ExecutorView { finished: page, more_finished: true, ..harness.empty_view(100) };
    harness.answer_poll_of(incarnation(), view);
    assert_eq!(harness.reports(), ["7 Done"]);
    harness.acknowledge(1);
    harness.answer_poll(&[], &[end_report(2, 1, EndKind::Done)]);
    assert_eq!(harness.reports(), ["7 Done", "1 Done"]);
}

// The leader may have placed the task elsewhere once the lease has expired.
#[test]
fn an_unanswered_start_is_stopped_once_the_lease_has_expired() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.step(AgentEvent::LeaderLost);
    harness.advance(4000);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.connect_leader(2);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
}

#[test]
fn an_unanswered_start_is_stopped_when_the_executor_begins_to_drain() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.report_heartbeat(2, Some(2000));
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
}

// The answer to the start was lost, and the run was stopped although the executor listed it.
#[rstest]
#[case::draining(|harness: &mut AgentHarness| harness.report_heartbeat(2, Some(2000)))]
#[case::shrinking(|harness: &mut AgentHarness| harness.report_capacity(2, 8))]
fn a_listed_run_whose_start_was_not_answered_is_not_stopped(#[case] change: fn(&mut AgentHarness)) {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.answer_poll(&[run_report(1)], &[]);
    change(&mut harness);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1"]);
}

// Starts carry the lease too: while the agent repeated one every 200 ms, it never gave up a crashed
// executor, and the executor's tasks never started elsewhere.
#[test]
fn repeated_starts_do_not_keep_a_silent_executor_alive() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    for _ in 0..80 {
        harness.advance(100);
        harness.renew();
        harness
            .answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
        if !harness.polls.is_empty() {
            harness.leave_poll_unanswered();
        }
    }
    assert_eq!(harness.reports(), ["gone", "reconnect"]);
}

// Schedule seed 0: the first start was carried out after the second was refused, and by then the
// task had been placed elsewhere.
#[test]
fn a_refusal_after_an_unanswered_start_is_settled_by_a_stop() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.advance(250);
    harness.answer_start(1, StartVerdict::Refused(StartRefusal::Late));
    assert!(harness.reports().is_empty());
    assert_eq!(harness.calls, ["start 1", "start 1", "stop 1"]);
    harness.answer_stop(1, true);
    for _ in 0..3 {
        harness.advance(10);
        harness.answer_poll(&[], &[]);
    }
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

// Schedule seed 0: the leader had repeated the order for the run before the report arrived.
#[test]
fn a_run_that_was_reported_as_never_begun_does_not_begin() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Refused(StartRefusal::Late));
    harness.order(1);
    assert_eq!(harness.calls, ["start 1"]);
    assert_eq!(harness.reports(), ["1 Refused", "1 Refused"]);
}

// The lease was renewed for ever, and the runs there never ended.
#[test]
fn an_executor_whose_next_incarnation_never_describes_itself_is_given_up() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::OtherIncarnation));
    harness.fail_poll(CallFailure::OtherIncarnation);
    assert!(!harness.described().responsive, "nothing more is placed there");
    for _ in 0..30 {
        harness.advance(100);
        harness.renew();
    }
    assert!(harness.reports().is_empty(), "its lease may last");
    for _ in 0..10 {
        harness.advance(100);
        harness.renew();
    }
    assert_eq!(harness.reports(), ["gone", "reconnect"]);
}

// Schedule seed 1068: the agent's previous process had granted a lease.
#[test]
fn a_new_process_waits_for_one_lease_before_it_gives_its_executor_up() {
    let mut harness = AgentHarness::start();
    for _ in 0..30 {
        harness.advance(100);
        if !harness.polls.is_empty() {
            harness.leave_poll_unanswered();
        }
    }
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
}

// Schedule seed 1522: the leader answered an agent that had not yet named its executor, and
// recorded no lease.
#[test]
fn an_answer_without_a_lease_grants_none() {
    let mut harness = AgentHarness::start();
    harness.step(AgentEvent::LeaderLost);
    harness.advance(4000);
    harness.connect_leader_without_lease();
    harness.order(1);
    harness.advance(500);
    assert!(harness.calls.iter().all(|call| !call.starts_with("start")), "{:?}", harness.calls);
}

// Logs of the soak, seed 1: orders for an executor that had begun a new incarnation under its old
// id were carried out in the new one.
#[test]
fn the_fence_rises_with_each_incarnation_and_each_term() {
    let mut harness = AgentHarness::start();
    let [second, third] =
        [200, 300].map(|started_ms| WorkerIncarnation { started_ms, ..incarnation() });
    harness.report_heartbeat_of(second.clone(), 1, None);
    harness.fail_poll(CallFailure::OtherIncarnation);
    harness.advance(100);
    harness.connect_leader(2);
    harness.advance(1000);
    harness.report_heartbeat_of(third, 1, None);
    harness.fail_poll_of(second, CallFailure::OtherIncarnation);
    harness.advance(100);
    assert!(harness.fences.is_sorted(), "{:?}", harness.fences);
    let mut different = harness.fences.clone();
    different.dedup();
    assert!(different.len() >= 3, "{:?}", harness.fences);
}

// Review, case 3: an executor that had started with an earlier time than before was never used again.
#[rstest]
#[case::by_the_same_agent(false, 1)]
#[case::by_an_agent_that_has_restarted(true, 10)]
fn an_executor_whose_clock_has_jumped_back_is_reached(
    #[case] agent_restarts: bool,
    #[case] polls: usize,
) {
    const JUMP_MS: u64 = 2400;
    let mut harness = AgentHarness::start();
    let [late, early] =
        [900 + JUMP_MS, 900].map(|started_ms| WorkerIncarnation { started_ms, ..incarnation() });
    harness.report_heartbeat_of(late.clone(), 1, None);
    harness.fail_poll(CallFailure::OtherIncarnation);
    harness.advance(100);
    // The next incarnation takes the fence of this poll for the highest.
    let seen = *harness.fences.last().unwrap();
    harness.fail_poll_of(late, CallFailure::OtherIncarnation);
    if agent_restarts {
        harness = AgentHarness::start_anew();
        harness.fail_poll(CallFailure::OtherIncarnation);
    }
    harness.report_heartbeat_of(early.clone(), 1, None);
    let before = harness.fences.len();
    while *harness.fences.last().unwrap() < seen {
        harness.fail_poll_of(early.clone(), CallFailure::Fenced);
        harness.advance(200);
        assert!(harness.fences.len() < before + polls, "{:?}, {seen}", harness.fences);
    }
}

// Review, case 2: a heartbeat of another writer made the tasks of a sound executor run twice.
#[test]
fn a_heartbeat_of_another_writer_ends_nothing_while_the_executor_answers() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.answer_poll(&[run_report(1)], &[]);
    harness.advance(100);
    let other = WorkerIncarnation { executor: Arc::from("e9"), started_ms: 900 };
    harness.report_heartbeat_of(other, 1, None);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    harness.answer_poll(&[run_report(1)], &[]);
    assert_eq!(harness.refused, ["e1@100 still answers at the executor's address"]);
    harness.advance(900);
    harness.answer_poll(&[], &[end_report(1, 1, EndKind::Done)]);
    assert_eq!(harness.reports(), ["1 Done"]);
}

// Review, case 2: the same right after a restart of the agent, which does not know the runs yet.
#[test]
fn a_heartbeat_of_another_writer_ends_nothing_before_the_first_answer() {
    let mut harness = AgentHarness::start_without_answer();
    let other = WorkerIncarnation { executor: Arc::from("e9"), started_ms: 900 };
    harness.report_heartbeat_of(other, 1, None);
    harness.advance(100);
    harness.answer_poll(&[run_report(1)], &[]);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    assert_eq!(harness.introductions, 1);
}

// Review 2, case 8: one heartbeat of another writer took a sound executor out of use for good.
#[rstest]
#[case::service(|report: &mut WorkerReport| report.service = "unknown".to_owned(), "service unknown")]
#[case::data_centre(|report: &mut WorkerReport| report.data_centre = "south".to_owned(),
    "data centre south")]
#[case::labels(|report: &mut WorkerReport| report.labels = vec!["b".to_owned()], "labels b")]
fn a_heartbeat_that_contradicts_the_executor_is_refused(
    #[case] change: fn(&mut WorkerReport),
    #[case] expected: &str,
) {
    let mut harness = AgentHarness::start();
    let own = harness.described().clone();
    let mut report = own.clone();
    change(&mut report);
    harness.step(AgentEvent::Heartbeat { report, sequence: 1_000_000 });
    assert_eq!(harness.described(), &own);
    assert_eq!(harness.refused, [format!("e1@100 has described itself otherwise: {expected}")]);
    harness.report_heartbeat(2, Some(900));
    assert_eq!(harness.described().drain_left_ms, Some(900), "its own heartbeats count");
}

// Review 2, case 8: the executor's own heartbeats counted as late for as long as it ran.
#[test]
fn the_executors_heartbeats_count_again_after_one_of_another_writer() {
    let mut harness = AgentHarness::start();
    let report = WorkerReport { service: "unknown".to_owned(), ..harness.described().clone() };
    harness.advance(5000);
    harness.answer_poll(&[], &[]);
    harness.step(AgentEvent::Heartbeat { report, sequence: 1_000_000 });
    assert_eq!(harness.described().service, "unknown", "the executor had paused");
    for sequence in 5..8 {
        harness.advance(1100);
        harness.report_heartbeat(sequence, None);
    }
    assert_eq!(harness.described().service, "s");
    harness.report_heartbeat(6, Some(900));
    assert_eq!(harness.described().drain_left_ms, None, "a late one");
    harness.report_heartbeat(8, Some(900));
    assert_eq!(harness.described().drain_left_ms, Some(900));
}

// A description alone does not end the executor before: another program may have sent it.
#[test]
fn an_executor_with_another_id_follows_once_it_answers_for_itself() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.advance(100);
    let next = WorkerIncarnation { executor: Arc::from("e2"), started_ms: 900 };
    harness.report_heartbeat_of(next.clone(), 1, None);
    harness.fail_poll(CallFailure::OtherIncarnation);
    assert_eq!(harness.reports(), ["1 Expired"]);
    harness.advance(10);
    let view = harness.empty_view(900);
    harness.answer_poll_of(next, view);
    assert_eq!(harness.reports(), ["1 Expired", "gone"]);
}

// Any program can describe an executor that works beside another agent, whose runs were ended.
#[rstest]
#[case::when_another_answers(true)]
#[case::when_its_lease_would_be_over(false)]
fn an_executor_that_never_answered_here_is_not_reported_as_ended(#[case] followed: bool) {
    let mut harness = AgentHarness::start_without_answer();
    harness.fail_poll(CallFailure::OtherIncarnation);
    if followed {
        harness.advance(100);
        let next = WorkerIncarnation { executor: Arc::from("e2"), started_ms: 900 };
        harness.report_heartbeat_of(next.clone(), 1, None);
        let view = harness.empty_view(900);
        harness.answer_poll_of(next, view);
    }
    harness.advance(4000);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
}

#[test]
fn an_agent_that_the_leader_does_not_know_introduces_itself_again() {
    let mut harness = AgentHarness::start();
    harness.advance(600);
    let before = harness.introductions;
    let pong = LinkMessage::Pong { sequence: harness.last_ping(), term: 1, leased: None };
    harness.step(AgentEvent::LeaderMessage(pong));
    assert_eq!(harness.introductions, before + 1);
}

// The executor would have started the run at any later time, also if it no longer fits.
#[test]
fn an_unanswered_start_is_stopped_when_the_executor_shrinks() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.report_capacity(2, 8);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
    harness.answer_stop(1, true);
    for _ in 0..3 {
        harness.advance(10);
        harness.answer_poll(&[], &[]);
    }
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

#[test]
fn a_start_in_transit_while_the_executor_shrinks_is_not_repeated() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.report_capacity(2, 8);
    assert_eq!(harness.calls, ["start 1"], "it may have begun");
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
}

#[test]
fn a_run_that_has_begun_goes_on_when_the_executor_shrinks() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.report_capacity(2, 8);
    harness.answer_start(1, StartVerdict::Started);
    harness.answer_poll(&[run_report(1)], &[]);
    harness.advance(250);
    harness.report_capacity(3, 4);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1"]);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
}

#[test]
fn an_unanswered_start_is_repeated_when_the_executor_grows() {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Failed(CallFailure::Unanswered("no answer".to_owned())));
    harness.report_capacity(2, 32);
    harness.advance(250);
    assert_eq!(harness.calls, ["start 1", "start 1"]);
}

// An order that the leader had sent before it knew the capacity arrived seconds later.
#[test]
fn an_order_is_refused_until_the_leader_knows_that_the_executor_has_shrunk() {
    let mut harness = AgentHarness::start();
    let introductions = harness.introductions;
    harness.report_capacity(2, 8);
    assert_eq!(harness.introductions, introductions + 1, "the leader learns it at once");
    harness.order(1);
    assert!(harness.calls.is_empty(), "{:?}", harness.calls);
    assert_eq!(harness.reports(), ["1 Refused"]);
    harness.renew();
    harness.order(2);
    assert_eq!(harness.calls, ["start 2"]);
}

#[test]
fn an_order_for_a_running_task_is_not_refused_when_the_executor_shrinks() {
    let mut harness = AgentHarness::start();
    harness.answer_poll(&[run_report(1)], &[]);
    harness.report_capacity(2, 8);
    harness.order(1);
    assert!(harness.reports().is_empty(), "{:?}", harness.reports());
    assert!(harness.calls.is_empty(), "{:?}", harness.calls);
}

// Orders on a new stream are sent by the capacity that the agent reported on it.
#[test]
fn the_orders_of_a_new_leader_are_not_refused_when_the_executor_has_shrunk_before() {
    let mut harness = AgentHarness::start();
    harness.report_capacity(2, 8);
    harness.step(AgentEvent::LeaderLost);
    harness.connect_leader_without_answer(2);
    harness.order(1);
    assert_eq!(harness.calls, ["start 1"]);
}

fn unreadable(list: RunList, task: Option<TaskKey>) -> UnreadableRow {
    UnreadableRow { list, task, reason: "invalid".to_owned() }
}

// An executor answers at once while it lists an end, and the agent polled it without a pause.
#[rstest]
#[case::unreadable(&[], &[unreadable(RunList::Finished, None)])]
#[case::not_forgotten(&[end_report(0, 1, EndKind::Done)], &[])]
fn an_end_that_can_not_be_acknowledged_is_not_polled_in_a_busy_loop(
    #[case] finished: &[EndReport],
    #[case] unreadable: &[UnreadableRow],
) {
    let mut harness = AgentHarness::start();
    harness.answer_poll_with(&[], finished, unreadable);
    assert!(harness.polls.is_empty(), "the next poll waits");
    harness.advance(100);
    assert_eq!(harness.polls.len(), 1);
    harness.answer_poll_with(&[], &[end_report(9, 1, EndKind::Done)], unreadable);
    assert_eq!(harness.reports(), ["1 Done"]);
    harness.record_ends(9);
    assert_eq!(harness.acknowledged.last(), Some(&9));
    harness.answer_poll(&[], &[]);
    assert_eq!(harness.polls.len(), 1, "the next poll follows at once");
}

#[rstest]
#[case::of_the_task(Some(task()), &[])]
#[case::of_another_task("000000000000000b.0.0.0".parse().ok(), &["1 Stopped"])]
#[case::of_no_task(None, &["1 Stopped"])]
fn a_run_that_may_be_in_an_unreadable_row_is_not_reported_as_never_begun(
    #[case] named: Option<TaskKey>,
    #[case] expected: &[&str],
) {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    harness.order_stop(1);
    harness.answer_stop(1, true);
    harness.advance(10);
    harness.answer_poll(&[run_report(1)], &[]);
    let rows = [unreadable(RunList::Running, named)];
    harness.answer_poll_with(&[], &[], &rows);
    assert_eq!(harness.reports(), expected);
}

// The row of the run's end could not be read, and the run was reported as about to begin for ever.
#[rstest]
fn a_run_that_an_unreadable_row_names_for_long_is_settled_by_a_stop(
    #[values(RunList::Running, RunList::Finished)] list: RunList,
) {
    let mut harness = AgentHarness::start();
    harness.order(1);
    harness.answer_start(1, StartVerdict::Started);
    let answer_polls = |harness: &mut AgentHarness, count: usize| {
        for _ in 0..count {
            harness.answer_poll_with(&[], &[], &[unreadable(list, Some(task()))]);
            harness.advance(500);
            harness.renew();
        }
    };
    answer_polls(&mut harness, 9);
    assert_eq!(harness.calls, ["start 1"], "the row may stand for the run");
    answer_polls(&mut harness, 3);
    assert_eq!(harness.calls, ["start 1", "stop 1"]);
    harness.answer_stop(1, true);
    answer_polls(&mut harness, 3);
    assert_eq!(harness.reports(), ["1 Stopped"]);
}

#[test]
fn an_unreadable_row_is_logged_once() {
    let mut harness = AgentHarness::start();
    let row = |reason: String| UnreadableRow { list: RunList::Running, task: None, reason };
    for number in 0..100 {
        let rows = [row("the same".to_owned()), row(format!("another {number}"))];
        harness.answer_poll_with(&[], &[], &rows);
    }
    assert_eq!(harness.refused.len(), 16);
    assert_eq!(harness.refused.iter().filter(|line| line.contains("the same")).count(), 1);
}

// A service whose tail stayed between four fifths and all of its target kept best-effort tasks at 0.
#[test]
fn a_best_effort_run_does_not_stand_still_for_ever_beside_a_service_that_meets_its_target() {
    let mut harness = AgentHarness::start();
    let service: TaskKey = "000000000000000b.0.0.0".parse().unwrap();
    for (task, latency_target_ms, filler) in [(service, Some(50), false), (task(), None, true)] {
        let order = StartOrder {
            worker: incarnation(),
            task,
            run: RunNumber(1),
            payload: "work".to_owned(),
            checkpoint: String::new(),
            latency_target_ms,
            filler,
        };
        harness.step(AgentEvent::LeaderMessage(LinkMessage::Start(order)));
    }
    let play = |harness: &mut AgentHarness, tail_ms: u64, count: usize| {
        for _ in 0..count {
            let checkpoint = String::new();
            let (task, run, percent, figure) = (service, RunNumber(1), 100, tail_ms);
            let serving = RunReport { task, run, checkpoint, percent, figure };
            harness.answer_poll(&[serving, run_report(1)], &[]);
            harness.advance(500);
            harness.renew();
        }
    };
    play(&mut harness, 60, 12);
    assert_eq!(harness.calls.last().unwrap(), "throttle 0");
    play(&mut harness, 45, 8);
    assert_eq!(harness.calls.last().unwrap(), "throttle 10");
}

/// How a run ends, as far as its agent can tell.
#[derive(Debug, Clone, Copy)]
enum RunEndCase {
    Listed,
    RefusedByExecutor,
    RefusedByAgent,
    StopSettled,
    NotThere,
    ExecutorEnded,
}

/// Plays the end of run 1, which is ordered 200 ms before it.
fn end_run(harness: &mut AgentHarness, case: RunEndCase) {
    if matches!(case, RunEndCase::RefusedByAgent) {
        harness.report_heartbeat(2, Some(2000));
    }
    harness.order(1);
    harness.advance(100);
    match case {
        RunEndCase::RefusedByAgent => return,
        RunEndCase::RefusedByExecutor => {
            harness.advance(100);
            harness.answer_start(1, StartVerdict::Refused(StartRefusal::NoCapacity));
            return;
        }
        RunEndCase::NotThere => harness.answer_start(1, StartVerdict::Old),
        RunEndCase::Listed | RunEndCase::StopSettled | RunEndCase::ExecutorEnded => {
            harness.answer_start(1, StartVerdict::Started);
        }
    }
    if matches!(case, RunEndCase::StopSettled) {
        harness.order_stop(1);
        harness.answer_stop(1, true);
    }
    harness.advance(40);
    let running = [run_report(1)];
    let listed = !matches!(case, RunEndCase::NotThere);
    harness.answer_poll(if listed { &running } else { &[] }, &[]);
    harness.advance(60);
    match case {
        RunEndCase::ExecutorEnded => harness.fail_poll(CallFailure::OtherIncarnation),
        RunEndCase::Listed => harness.answer_poll(&[], &[end_report(3, 1, EndKind::Done)]),
        _ => harness.answer_poll(&[], &[]),
    }
}

#[rstest]
#[case(RunEndCase::Listed, "Done as 3: Listed, ordered Some(200), asked Some(60)")]
#[case(
    RunEndCase::RefusedByExecutor,
    "Refused as 0: RefusedByExecutor, ordered Some(200), asked Some(200)"
)]
#[case(RunEndCase::RefusedByAgent, "Refused as 0: RefusedByAgent, ordered Some(0), asked None")]
#[case(RunEndCase::StopSettled, "Stopped as 0: StopSettled, ordered Some(200), asked Some(60)")]
#[case(RunEndCase::NotThere, "Refused as 0: NotThere, ordered Some(200), asked Some(60)")]
#[case(
    RunEndCase::ExecutorEnded,
    "Expired as 0: ExecutorEnded, ordered Some(200), asked Some(200)"
)]
fn the_report_of_an_end_is_logged_once_with_its_fact(#[case] case: RunEndCase, #[case] line: &str) {
    let mut harness = AgentHarness::start();
    end_run(&mut harness, case);
    harness.step(AgentEvent::LeaderLost);
    harness.connect_leader(2);
    harness.advance(2000);
    let lines = harness.end_lines.iter().filter(|line| line.starts_with("1 "));
    let lines: Vec<&String> = lines.collect();
    assert_eq!(lines, [&format!("1 {line}, connected true")]);
}

#[rstest]
#[case(RunEndCase::Listed, "Ended(3)")]
#[case(RunEndCase::RefusedByExecutor, "Closed(Refused)")]
#[case(RunEndCase::StopSettled, "Closed(Stopped)")]
fn an_order_for_a_run_that_is_over_is_logged_once(#[case] case: RunEndCase, #[case] cause: &str) {
    let mut harness = AgentHarness::start();
    end_run(&mut harness, case);
    harness.order(1);
    harness.order(1);
    assert_eq!(harness.end_lines[1..], [format!("1 over: {cause}")]);
}

#[test]
fn the_end_of_a_silent_executor_is_logged_with_its_lease() {
    let mut harness = AgentHarness::start();
    harness.leave_poll_unanswered();
    harness.advance(6000);
    let line = "e1@100: LeaseExpired { silent_ms: Some(6000) }, ";
    let logged = &harness.end_lines[..];
    assert!(matches!(logged, [one] if one.starts_with(line)), "{logged:?}");
}

#[test]
fn the_end_of_a_replaced_executor_is_logged_when_it_is_seen_and_when_it_is_reported() {
    let mut harness = AgentHarness::start();
    harness.fail_poll(CallFailure::OtherIncarnation);
    harness.advance(8000);
    let logged = &harness.end_lines;
    let seen = "e1@100: OtherIncarnation { started_ms: None }, 0 ms ago, reported false";
    assert_eq!(logged[0], seen);
    assert!(logged[1].starts_with("e1@100: LeaseExpired { silent_ms: None }, "), "{logged:?}");
    assert_eq!(logged.len(), 2);
}
