//! The agent alone. The test stands in for its executor and the leader.

use {
    base::EventReducer,
    std::{sync::Arc, time::Duration},
    workflow::{
        agent::{
            AgentEffect, AgentEvent, AgentNode, AgentSettings, CallFailure, HoldView, StartRefusal,
            StartVerdict,
        },
        job::{RunNumber, TaskDemand, TaskKey, WorkerLife},
        message::{EndReport, LinkMessage, RunReport, StartOrder, WorkerReport},
        state::EndKind,
    },
};

const LEASE: Duration = Duration::from_millis(3500);
const TASK: &str = "000000000000000a.0.0.0";

struct AgentDesk {
    node: AgentNode,
    now: Duration,
    /// The executor's calls in progress.
    holds: Vec<Duration>,
    deadlines: Vec<Option<u64>>,
    fences: Vec<u64>,
    calls: Vec<String>,
    sent: Vec<String>,
    introductions: usize,
}

fn life() -> WorkerLife {
    WorkerLife { executor: Arc::from("e1"), born: 100 }
}

fn task() -> TaskKey {
    TASK.parse().unwrap()
}

fn row(run: u32) -> RunReport {
    let (task, run, checkpoint) = (task(), RunNumber(run), String::new());
    RunReport { task, run, checkpoint, percent: 10, figure: 0 }
}

fn end(number: u64, run: u32, end: EndKind) -> EndReport {
    let (task, run, checkpoint) = (task(), RunNumber(run), String::new());
    EndReport { number, task, run, end, checkpoint }
}

impl AgentDesk {
    /// Creates an agent that has met a leader of term 1 and an executor that runs nothing.
    fn start() -> Self {
        let now = Duration::from_secs(10);
        let node = AgentNode::new(AgentSettings { lease: LEASE, place: Arc::from("a1") }, now);
        let (holds, deadlines, fences, calls, sent) = Default::default();
        let mut desk = Self { node, now, holds, deadlines, fences, calls, sent, introductions: 0 };
        desk.beat(1, None);
        desk.welcome(1);
        desk.step(AgentEvent::Tick);
        desk.lists(&[], &[]);
        desk.renew();
        desk
    }

    fn step(&mut self, event: AgentEvent) {
        for effect in self.node.reduce(self.now, event) {
            match effect {
                AgentEffect::Hold { deadline_ms, fence, .. } => {
                    self.fences.push(fence);
                    self.holds.push(self.now);
                    self.deadlines.push(deadline_ms);
                }
                AgentEffect::Start { order, .. } => {
                    self.calls.push(format!("start {}", order.run));
                }
                AgentEffect::Stop { run, .. } => self.calls.push(format!("stop {run}")),
                AgentEffect::Pace { percent, .. } => self.calls.push(format!("pace {percent}")),
                AgentEffect::Send(LinkMessage::Ends { ends, .. }) => {
                    for end in ends {
                        self.sent.push(format!("{} {:?}", end.run, end.end));
                    }
                }
                AgentEffect::Send(LinkMessage::WorkerGone { .. }) => {
                    self.sent.push("gone".to_owned());
                }
                AgentEffect::Send(LinkMessage::Ping { sequence }) => {
                    self.sent.push(format!("ping {sequence}"));
                }
                AgentEffect::Send(LinkMessage::Worker { .. }) => self.introductions += 1,
                AgentEffect::Reconnect => self.sent.push("reconnect".to_owned()),
                AgentEffect::Send(_) | AgentEffect::Record(_) => {}
            }
        }
    }

    fn welcome(&mut self, term: u64) {
        let (leader, members) = (None, Vec::new());
        let welcome = LinkMessage::Welcome { leading: true, leader, members, term };
        self.step(AgentEvent::LeaderMessage(welcome));
        self.renew();
    }

    fn welcome_without_lease(&mut self) {
        let (leader, members) = (None, Vec::new());
        let welcome = LinkMessage::Welcome { leading: true, leader, members, term: 2 };
        self.step(AgentEvent::LeaderMessage(welcome));
        let pong = LinkMessage::Pong { sequence: self.last_ping(), term: 2, leased: None };
        self.step(AgentEvent::LeaderMessage(pong));
    }

    /// Answers the newest ping.
    fn renew(&mut self) {
        let (sequence, leased) = (self.last_ping(), Some(life()));
        let pong = LinkMessage::Pong { sequence, term: 1, leased };
        self.step(AgentEvent::LeaderMessage(pong));
    }

    fn last_ping(&self) -> u64 {
        let mut pings = self.sent.iter().filter_map(|sent| sent.strip_prefix("ping "));
        pings.next_back().unwrap().parse().unwrap()
    }

    fn beat(&mut self, sequence: u64, drain_left_ms: Option<u64>) {
        self.beat_of(life(), sequence, drain_left_ms);
    }

    fn beat_of(&mut self, worker: WorkerLife, sequence: u64, drain_left_ms: Option<u64>) {
        let report = WorkerReport {
            worker,
            service: "s".to_owned(),
            data_centre: "north".to_owned(),
            capacity: TaskDemand { cpu_milli: 16_000, memory_mb: 64_000, accelerators: 0 },
            labels: Vec::new(),
            drain_left_ms,
            responsive: true,
        };
        self.step(AgentEvent::Beat { report, sequence });
    }

    /// Answers the poll in progress.
    fn lists(&mut self, running: &[RunReport], finished: &[EndReport]) {
        let asked = self.holds.pop().expect("a poll is in progress");
        let view = HoldView {
            born: 100,
            clock_ms: self.now.as_millis() as u64,
            running: running.to_vec(),
            finished: finished.to_vec(),
        };
        self.step(AgentEvent::HoldAnswered { worker: life(), asked, result: Ok(view) });
    }

    fn miss_poll(&mut self) {
        let asked = self.holds.pop().expect("a poll is in progress");
        let result = Err(CallFailure::Unanswered("silence".to_owned()));
        self.step(AgentEvent::HoldAnswered { worker: life(), asked, result });
    }

    fn order(&mut self, run: u32) {
        let order = StartOrder {
            worker: life(),
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
        let stop = LinkMessage::Stop { worker: life(), task: task(), run: RunNumber(run) };
        self.step(AgentEvent::LeaderMessage(stop));
    }

    fn verdict(&mut self, run: u32, verdict: StartVerdict) {
        let (worker, task, run) = (life(), task(), RunNumber(run));
        self.step(AgentEvent::StartAnswered { worker, task, run, verdict });
    }

    fn stop_answer(&mut self, run: u32, stopped: bool) {
        let (worker, task, run) = (life(), task(), RunNumber(run));
        self.step(AgentEvent::StopAnswered { worker, task, run, stopped });
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
        self.step(AgentEvent::Tick);
    }

    fn reports(&self) -> Vec<&str> {
        let ping = |sent: &&str| !sent.starts_with("ping");
        self.sent.iter().map(String::as_str).filter(ping).collect()
    }
}

// A new leader repeats the orders for all placements. The agent of an executor that had begun to
// drain refused a run that was already there, and a second run was started elsewhere.
#[test]
fn a_repeated_order_for_a_running_task_is_not_refused_while_the_executor_drains() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Started);
    desk.lists(&[row(1)], &[]);
    desk.beat(2, Some(2000));
    desk.step(AgentEvent::LeaderLost);
    desk.welcome(2);
    desk.order(1);
    assert!(desk.reports().is_empty(), "{:?}", desk.reports());
}

#[test]
fn a_draining_executor_is_given_nothing_new() {
    let mut desk = AgentDesk::start();
    desk.beat(2, Some(2000));
    desk.order(1);
    assert_eq!(desk.reports(), ["1 Refused"]);
    assert!(desk.calls.is_empty());
}

#[test]
fn an_unanswered_start_is_repeated_under_the_same_run() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Failed(CallFailure::Unanswered("silence".to_owned())));
    desk.advance(250);
    assert_eq!(desk.calls, ["start 1", "start 1"]);
    assert!(desk.reports().is_empty());
}

#[test]
fn a_refused_start_is_reported_as_never_begun() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Refused(StartRefusal::Room));
    assert_eq!(desk.reports(), ["1 Refused"]);
}

// The run may have ended on the executor unseen: only the lists show it.
#[test]
fn a_start_that_came_too_late_waits_for_the_lists() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Old);
    desk.lists(&[], &[]);
    assert!(desk.reports().is_empty(), "these lists were asked for before");
    desk.advance(10);
    desk.lists(&[], &[end(1, 1, EndKind::Done)]);
    assert_eq!(desk.reports(), ["1 Done"]);
}

#[test]
fn a_stop_is_repeated_until_confirmed_and_the_end_comes_from_the_lists() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Started);
    desk.lists(&[row(1)], &[]);
    desk.order_stop(1);
    desk.stop_answer(1, false);
    desk.advance(250);
    assert_eq!(desk.calls, ["start 1", "stop 1", "stop 1"]);
    desk.stop_answer(1, true);
    desk.lists(&[row(1)], &[]);
    assert!(desk.reports().is_empty());
    desk.lists(&[], &[end(1, 1, EndKind::Stopped)]);
    assert_eq!(desk.reports(), ["1 Stopped"]);
}

#[test]
fn an_end_is_reported_again_to_the_next_leader_until_it_is_noted() {
    let mut desk = AgentDesk::start();
    desk.lists(&[], &[end(1, 1, EndKind::Done)]);
    desk.step(AgentEvent::LeaderLost);
    desk.welcome(2);
    assert_eq!(desk.reports(), ["1 Done", "1 Done"]);
    let noted = LinkMessage::EndsNoted { worker: life(), up_to: 1 };
    desk.step(AgentEvent::LeaderMessage(noted));
    desk.step(AgentEvent::LeaderLost);
    desk.welcome(3);
    assert_eq!(desk.reports().len(), 2);
}

#[test]
fn without_a_leader_the_executor_is_granted_no_more_than_the_lease() {
    let mut desk = AgentDesk::start();
    let asked = desk.now;
    desk.step(AgentEvent::LeaderLost);
    for _ in 0..40 {
        desk.advance(100);
        if !desk.holds.is_empty() {
            desk.lists(&[], &[]);
        }
    }
    let latest = desk.deadlines.iter().flatten().max().copied().unwrap();
    assert!(latest <= (asked + LEASE).as_millis() as u64, "{latest}");
    assert_eq!(desk.deadlines.last().unwrap(), &None);
}

#[test]
fn a_silent_executor_is_given_up_only_after_its_lease() {
    let mut desk = AgentDesk::start();
    for step in 1..=60 {
        desk.advance(100);
        desk.renew();
        if !desk.holds.is_empty() {
            desk.miss_poll();
        }
        if step == 30 {
            assert!(desk.reports().is_empty());
        }
    }
    assert_eq!(desk.reports(), ["gone", "reconnect"]);
}

// The leader may have placed the task elsewhere by then.
#[test]
fn an_unanswered_start_is_stopped_once_the_lease_is_over() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.step(AgentEvent::LeaderLost);
    desk.advance(4000);
    desk.verdict(1, StartVerdict::Failed(CallFailure::Unanswered("silence".to_owned())));
    desk.welcome(2);
    desk.advance(250);
    assert_eq!(desk.calls, ["start 1", "stop 1"]);
}

#[test]
fn an_unanswered_start_is_stopped_when_the_executor_begins_to_drain() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Failed(CallFailure::Unanswered("silence".to_owned())));
    desk.beat(2, Some(2000));
    desk.advance(250);
    assert_eq!(desk.calls, ["start 1", "stop 1"]);
}

// Starts carry the lease too: while the agent repeated one every 200 ms, it never gave up a crashed
// executor, and the executor's tasks never started elsewhere.
#[test]
fn repeated_starts_do_not_keep_a_silent_executor_alive() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    for _ in 0..80 {
        desk.advance(100);
        desk.renew();
        desk.verdict(1, StartVerdict::Failed(CallFailure::Unanswered("silence".to_owned())));
        if !desk.holds.is_empty() {
            desk.miss_poll();
        }
    }
    assert_eq!(desk.reports(), ["gone", "reconnect"]);
}

// Schedule seed 0: the first start was carried out after the second was refused, and by then the
// task had been placed elsewhere.
#[test]
fn a_refusal_after_an_unanswered_start_is_settled_by_a_stop() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Failed(CallFailure::Unanswered("silence".to_owned())));
    desk.advance(250);
    desk.verdict(1, StartVerdict::Refused(StartRefusal::Late));
    assert!(desk.reports().is_empty());
    assert_eq!(desk.calls, ["start 1", "start 1", "stop 1"]);
    desk.stop_answer(1, true);
    for _ in 0..3 {
        desk.advance(10);
        desk.lists(&[], &[]);
    }
    assert_eq!(desk.reports(), ["1 Stopped"]);
}

// Schedule seed 0: the leader had repeated the order for the run before the report arrived.
#[test]
fn a_run_that_was_reported_as_never_begun_does_not_begin() {
    let mut desk = AgentDesk::start();
    desk.order(1);
    desk.verdict(1, StartVerdict::Refused(StartRefusal::Late));
    desk.order(1);
    assert_eq!(desk.calls, ["start 1"]);
    assert_eq!(desk.reports(), ["1 Refused", "1 Refused"]);
}

// Schedule seed 1068: the agent's previous process had granted a lease.
#[test]
fn a_new_process_waits_a_lease_out_before_it_gives_its_executor_up() {
    let mut desk = AgentDesk::start();
    for _ in 0..30 {
        desk.advance(100);
        if !desk.holds.is_empty() {
            desk.miss_poll();
        }
    }
    assert!(desk.reports().is_empty(), "{:?}", desk.reports());
}

// Schedule seed 1522: the leader answered an agent that had not yet named its executor, and
// recorded no lease.
#[test]
fn an_answer_without_a_lease_grants_none() {
    let mut desk = AgentDesk::start();
    desk.step(AgentEvent::LeaderLost);
    desk.advance(4000);
    desk.welcome_without_lease();
    desk.order(1);
    desk.advance(500);
    assert!(desk.calls.iter().all(|call| !call.starts_with("start")), "{:?}", desk.calls);
}

// Logs of the soak, seed 1: orders for an executor that had begun a new incarnation under its old
// id were carried out in the new one.
#[test]
fn the_fencing_token_rises_with_each_incarnation_and_each_term() {
    let mut desk = AgentDesk::start();
    desk.beat_of(WorkerLife { born: 200, ..life() }, 1, None);
    desk.advance(100);
    desk.welcome(2);
    desk.advance(1000);
    desk.beat_of(WorkerLife { born: 300, ..life() }, 1, None);
    desk.advance(100);
    assert!(desk.fences.is_sorted(), "{:?}", desk.fences);
    let mut different = desk.fences.clone();
    different.dedup();
    assert!(different.len() >= 3, "{:?}", desk.fences);
}

#[test]
fn an_agent_that_the_leader_does_not_know_introduces_itself_again() {
    let mut desk = AgentDesk::start();
    desk.advance(600);
    let before = desk.introductions;
    let pong = LinkMessage::Pong { sequence: desk.last_ping(), term: 1, leased: None };
    desk.step(AgentEvent::LeaderMessage(pong));
    assert_eq!(desk.introductions, before + 1);
}
