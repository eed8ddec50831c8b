//! Shutdown while requests are in progress. SIGTERM only calls the functions that are tested here.

use {
    crate::{
        answered,
        support::{
            path::{start_control, start_entry},
            request, AgentRig,
        },
    },
    base::PeerAddress,
    proto::messages::{DispatchOutcome, NotRunReason},
    std::{thread, time::Duration},
    testkit::ExecutorFault,
};

const CALLERS: usize = 8;
/// Number of requests that have run when the shutdown begins.
const RUNS_BEFORE_SHUTDOWN: usize = 200;

/// On shutdown under load the agent answers every admitted request, refuses every later one with
/// proof, and notifies control.
#[test]
fn shutdown_finishes_requests_in_progress() {
    let rig = AgentRig::start(8);
    rig.executor.set_fault(ExecutorFault::Hang);
    thread::scope(|scope| {
        let pending: Vec<_> = (0..8)
            .map(|n| {
                let (rig, name) = (&rig, format!("r{n}"));
                scope.spawn(move || rig.dispatch(&request(&name, "POST /charge", &[], b"x")))
            })
            .collect();
        rig.executor.wait_in_use(8);
        let draining = scope.spawn(|| rig.shut_down());
        rig.leader.wait_drain();
        let refused = rig.dispatch(&request("late", "POST /charge", &[], b"x"));
        assert_eq!(refused.outcome, DispatchOutcome::NotRun(NotRunReason::Draining));
        rig.executor.set_fault(ExecutorFault::None);
        for pending in pending {
            assert_eq!(answered(pending.join().unwrap().outcome).0, 200);
        }
        draining.join().unwrap();
    });
    assert_eq!(rig.executor.executed().len(), 8);
    let error = rig.call(&request("gone", "POST /charge", &[], b"x")).unwrap_err();
    assert!(error.proves_not_done(), "{error}");
}

/// No request of eight callers that send without a pause ends with an unknown outcome.
#[test]
fn shutdown_under_load_leaves_no_unknown_outcome() {
    let rig = AgentRig::start(8);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let rig = &rig;
                scope.spawn(move || send_until_refused(rig, caller))
            })
            .collect();
        wait_for_runs(&[&rig], RUNS_BEFORE_SHUTDOWN);
        rig.shut_down();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum::<usize>()
    });
    assert_eq!(rig.executor.executed().len(), answers);
}

fn send_until_refused(rig: &AgentRig, caller: usize) -> usize {
    for number in 0.. {
        let name = format!("c{caller}-{number}");
        match rig.call(&request(&name, "POST /charge", &[], b"x")) {
            Ok(reply) => match reply.outcome {
                DispatchOutcome::Answered(_) => {}
                DispatchOutcome::NotRun(NotRunReason::Draining) => return number,
                other => panic!("{other:?}"),
            },
            Err(error) if error.proves_not_done() => return number,
            Err(error) => panic!("{error}"),
        }
    }
    unreachable!("the agent shuts down")
}

const SHUTTING_DOWN: &str = r#""outcome":"not-run","reason":"shutting-down""#;

/// The outcome of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerOutcome {
    Answered,
    /// The entry answered that the request did not run because it is shutting down.
    Refused,
    NotConnected,
}

fn post(client: &ureq::Agent, entry: PeerAddress) -> CallerOutcome {
    match client.post(format!("http://{entry}/booking/charge")).send(&b"x"[..]) {
        Ok(mut answer) => {
            let text = answer.body_mut().read_to_string().expect("a whole body");
            match answer.status().as_u16() {
                200 if !text.is_empty() => CallerOutcome::Answered,
                503 if text.contains(SHUTTING_DOWN) => CallerOutcome::Refused,
                status => panic!("{status} {text}"),
            }
        }
        Err(ureq::Error::Io(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            CallerOutcome::NotConnected
        }
        Err(error) => panic!("{error}"),
    }
}

fn caller() -> ureq::Agent {
    let config = ureq::Agent::config_builder().proxy(None).max_idle_connections(0);
    config.http_status_as_error(false).timeout_global(Some(Duration::from_secs(30))).build().into()
}

fn wait_for_runs(rigs: &[&AgentRig], count: usize) {
    while rigs.iter().map(|rig| rig.executor.executed().len()).sum::<usize>() < count {
        thread::yield_now();
    }
}

/// While the entry shuts down, callers send requests that must not be repeated. Each is answered,
/// refused with proof or gets no connection, and the answered requests are exactly those that ran.
#[test]
fn entry_shutdown_under_load_loses_no_request() {
    let rig = AgentRig::start(CALLERS as u32);
    let control = start_control(vec![("e1", rig.address)]);
    let entry = start_entry(control.address());
    let address = entry.caller_address();
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                scope.spawn(move || {
                    let client = caller();
                    (0..).take_while(|_| post(&client, address) == CallerOutcome::Answered).count()
                })
            })
            .collect();
        wait_for_runs(&[&rig], RUNS_BEFORE_SHUTDOWN);
        entry.shut_down();
        callers.into_iter().map(|caller| caller.join().expect("its checks hold")).sum::<usize>()
    });
    assert_eq!(rig.executor.executed().len(), answers);
}

/// One of two agents shuts down under load; callers see no error.
#[test]
fn agent_shutdown_is_invisible_to_callers() {
    let draining = AgentRig::start_named("e1", CALLERS as u32);
    let staying = AgentRig::start_named("e2", CALLERS as u32);
    let control = start_control(vec![("e1", draining.address), ("e2", staying.address)]);
    let entry = start_entry(control.address());
    let address = entry.caller_address();
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                scope.spawn(move || {
                    let client = caller();
                    let answers = (0..RUNS_BEFORE_SHUTDOWN).map(|_| post(&client, address));
                    answers.filter(|outcome| *outcome == CallerOutcome::Answered).count()
                })
            })
            .collect();
        wait_for_runs(&[&draining, &staying], RUNS_BEFORE_SHUTDOWN);
        draining.shut_down();
        callers.into_iter().map(|caller| caller.join().expect("its checks hold")).sum::<usize>()
    });
    assert_eq!(answers, CALLERS * RUNS_BEFORE_SHUTDOWN);
    let ran = draining.executor.executed().len() + staying.executor.executed().len();
    assert_eq!(ran, answers);
    entry.shut_down();
}
