//! Tests of the log lines of a process: how soon they are written, and which of them are left out.

use {
    super::*,
    crate::scripted::on_local_set,
    std::sync::mpsc::{channel, Receiver, Sender as TestSender},
    tokio::time::pause,
};

/// Time within which the writer thread has written what it has received, unless it hangs.
const WRITER_TIMEOUT: Duration = Duration::from_secs(20);

/// An output that passes every block on. Dropping the other end of `gate` opens it.
struct TestOutput {
    blocks: TestSender<String>,
    gate: Receiver<()>,
}

impl Write for TestOutput {
    fn write(&mut self, block: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        let _ = self.blocks.send(String::from_utf8(block.to_vec()).unwrap());
        Ok(block.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start_log() -> (LineLog, TestSender<()>, Receiver<String>) {
    let ((blocks, written), (key, gate)) = (channel(), channel());
    let log = LineLog::start_on("control", TestOutput { blocks, gate }).unwrap();
    (log, key, written)
}

fn info() -> FlowEvent {
    FlowEvent::Stopping { open: 1 }
}

fn warning() -> FlowEvent {
    FlowEvent::LeadLost { term: 1, unresolved: 0 }
}

/// Waits until the written lines hold this number of `name`.
fn expect_lines(written: &Receiver<String>, name: &str, count: usize) {
    let mut seen = 0;
    while seen < count {
        let block = written.recv_timeout(WRITER_TIMEOUT);
        seen += block.expect("a line was left out").matches(name).count();
    }
    assert_eq!(seen, count);
}

// The lines just before a kill, which show its cause, were lost.
#[test]
fn a_line_is_written_soon_after_the_one_before() {
    on_local_set(async {
        pause();
        let (log, key, written) = start_log();
        drop(key);
        for _ in 0..8 {
            log.record(&info());
            sleep(BUSY_FLUSH_DELAY / 2).await;
            assert!(log.buffer.borrow().lines.is_empty());
            expect_lines(&written, "Stopping", 1);
        }
    });
}

#[test]
fn a_slow_reader_of_the_output_loses_no_line_of_the_first_second() {
    on_local_set(async {
        pause();
        let (log, key, written) = start_log();
        for _ in 0..70 {
            log.record(&info());
            sleep(Duration::from_millis(15)).await;
        }
        sleep(BUSY_FLUSH_DELAY * 2).await;
        drop(key);
        expect_lines(&written, "Stopping", 70);
    });
}

#[test]
fn a_flood_of_lines_leaves_room_for_warnings() {
    on_local_set(async {
        let (log, key, written) = start_log();
        drop(key);
        (0..2000).for_each(|_| log.record(&info()));
        (0..WARNINGS_PER_SECOND).for_each(|_| log.record(&warning()));
        log.flush();
        expect_lines(&written, "LeadLost", WARNINGS_PER_SECOND as usize);
    });
}
