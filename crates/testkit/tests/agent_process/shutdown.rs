//! Shutdowns while requests are in progress. SIGTERM does nothing else than call these.

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
/// Requests that have been run when the shutdown begins.
const RUN_BEFORE: usize = 200;

/// A shutdown under load: every request that was admitted is answered, every later one is refused
/// with proof, and control hears of it.
#[test]
fn shutdown_finishes_what_is_in_progress() {
    let rig = AgentRig::start(8);
    rig.executor.set_fault(ExecutorFault::Hang);
    thread::scope(|scope| {
        let held: Vec<_> = (0..8)
            .map(|n| {
                let (rig, name) = (&rig, format!("r{n}"));
                scope.spawn(move || rig.dispatch(&request(&name, "POST /charge", &[], b"x")))
            })
            .collect();
        rig.executor.wait_in_use(8);
        let leaving = scope.spawn(|| rig.shut_down());
        rig.leader.wait_drain();
        let refused = rig.dispatch(&request("late", "POST /charge", &[], b"x"));
        assert_eq!(refused.outcome, DispatchOutcome::NotRun(NotRunReason::Draining));
        rig.executor.set_fault(ExecutorFault::None);
        for held in held {
            assert_eq!(answered(held.join().unwrap().outcome).0, 200);
        }
        leaving.join().unwrap();
    });
    assert_eq!(rig.executor.executed().len(), 8);
    let error = rig.call(&request("gone", "POST /charge", &[], b"x")).unwrap_err();
    assert!(error.proves_not_done(), "{error}");
}

/// A shutdown while eight callers send without a pause: nobody is left not knowing.
#[test]
fn shutdown_under_load_leaves_nothing_unknown() {
    let rig = AgentRig::start(8);
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let rig = &rig;
                scope.spawn(move || send_until_refused(rig, caller))
            })
            .collect();
        await_runs(&[&rig], RUN_BEFORE);
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

/// What a caller's exchange came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerOutcome {
    Answered,
    /// The entry says that the request did not run, because it is shutting down.
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

fn await_runs(rigs: &[&AgentRig], count: usize) {
    while rigs.iter().map(|rig| rig.executor.executed().len()).sum::<usize>() < count {
        thread::yield_now();
    }
}

/// An entry shuts down while callers send requests that must not be repeated: each is answered,
/// refused with proof or never got a connection, and what was answered is what ran.
#[test]
fn entry_shuts_down_under_load() {
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
        await_runs(&[&rig], RUN_BEFORE);
        entry.shut_down();
        callers.into_iter().map(|caller| caller.join().expect("its checks hold")).sum::<usize>()
    });
    assert_eq!(rig.executor.executed().len(), answers);
}

/// One of two agents shuts down under load: callers see nothing of it.
#[test]
fn agent_shuts_down_unseen_by_callers() {
    let leaving = AgentRig::start_named("e1", CALLERS as u32);
    let staying = AgentRig::start_named("e2", CALLERS as u32);
    let control = start_control(vec![("e1", leaving.address), ("e2", staying.address)]);
    let entry = start_entry(control.address());
    let address = entry.caller_address();
    let answers = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                scope.spawn(move || {
                    let client = caller();
                    let answers = (0..RUN_BEFORE).map(|_| post(&client, address));
                    answers.filter(|outcome| *outcome == CallerOutcome::Answered).count()
                })
            })
            .collect();
        await_runs(&[&leaving, &staying], RUN_BEFORE);
        leaving.shut_down();
        callers.into_iter().map(|caller| caller.join().expect("its checks hold")).sum::<usize>()
    });
    assert_eq!(answers, CALLERS * RUN_BEFORE);
    let ran = leaving.executor.executed().len() + staying.executor.executed().len();
    assert_eq!(ran, answers);
    entry.shut_down();
}
