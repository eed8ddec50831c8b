//! The time line orders events causally when the wall clocks of processes differ.

use {
    base::{ClockSource, ManualClock, RevisionNumber},
    proto::{
        envelope::{MessageHeader, ProcessRole, SenderIdentity},
        rpc::ProcessIdentity,
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    telemetry::{
        timeline::{format_html_page, format_line, merge, parse_json_lines, EventFilter},
        EventRecorder, ProcessEvent,
    },
};

/// A wall clock with a fixed offset from the Unix epoch.
struct ShiftedClock(Duration);

impl ClockSource for ShiftedClock {
    fn monotonic(&self) -> Duration {
        Duration::ZERO
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.0
    }
}

struct Process {
    identity: Arc<ProcessIdentity>,
    recorder: EventRecorder,
}

impl Process {
    fn new(name: &str, clock: Arc<dyn ClockSource>) -> Self {
        let sender = SenderIdentity {
            cluster: "c".parse().expect("a name"),
            role: ProcessRole::Agent,
            name: name.parse().expect("a name"),
            incarnation: Default::default(),
        };
        let identity = Arc::new(ProcessIdentity::new(sender, clock));
        Self { recorder: EventRecorder::new(identity.clone(), 2), identity }
    }

    fn record(&self, revision: u64) {
        self.recorder.record(&ProcessEvent::RevisionInForce {
            revision: RevisionNumber(revision),
            source: "s".parse().expect("a name"),
        });
    }

    fn send(&self) -> MessageHeader {
        self.identity.header()
    }

    fn receive(&self, header: &MessageHeader) {
        self.identity.observe(header);
    }
}

#[test]
fn a_cause_precedes_its_effect_when_wall_clocks_differ() {
    let fast = Process::new("fast", Arc::new(ShiftedClock(Duration::from_secs(3600))));
    let slow = Process::new("slow", Arc::new(ShiftedClock(Duration::from_secs(60))));
    fast.record(1);
    slow.receive(&fast.send());
    slow.record(2);
    fast.receive(&slow.send());
    fast.record(3);
    let mut records = slow.recorder.events_after(Default::default());
    records.extend(fast.recorder.events_after(Default::default()));
    let merged = merge(records, &EventFilter::default());
    let lines: Vec<_> = merged.iter().map(format_line).collect();
    assert_eq!(
        lines,
        [
            "01:00:00.000000 fast             info    E1005 RevisionInForce revision=1 source=s",
            "01:00:00.000000 slow             info    E1005 RevisionInForce revision=2 source=s",
            "01:00:00.000000 fast             info    E1005 RevisionInForce revision=3 source=s",
        ]
    );
}

#[test]
fn the_ring_drops_the_oldest_events_and_saved_events_are_read_back() {
    let process = Process::new("p", Arc::new(ManualClock::new()));
    (1..=3).for_each(|revision| process.record(revision));
    let kept_events = process.recorder.events_after(Default::default());
    let text = telemetry::operator::to_json_lines(&kept_events);
    let restored = parse_json_lines(&text).expect("events that were written can be read");
    let filter =
        EventFilter { fields: vec![("revision".into(), "3".into())], ..Default::default() };
    assert_eq!(
        (kept_events.len(), restored == kept_events, merge(restored, &filter).len()),
        (2, true, 1)
    );
    assert_eq!(
        parse_json_lines("\n{}").expect_err("no event").to_string(),
        "line 2 is not an event: missing field `stamp` at line 1 column 2"
    );
}

#[test]
fn the_page_escapes_markup_in_event_fields() {
    let process = Process::new("p", Arc::new(ManualClock::new()));
    process.recorder.record(&ProcessEvent::ShutdownBegan { reason: "<b>now</b>".to_owned() });
    let page = format_html_page("t", &process.recorder.events_after(Default::default()));
    assert_eq!(
        (page.contains("&lt;b&gt;now&lt;/b&gt;"), page.contains("<b>now"), page.contains("http")),
        (true, false, false)
    );
}
