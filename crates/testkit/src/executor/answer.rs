//! Answers of a stand-in executor. Request headers control them: `x-service-time: 20ms` sets the
//! service time, `x-status: 503` the status, and `x-echo: body` returns the body alone instead of a
//! description of the request.

use {
    super::{ExecutedRequest, ExecutorFault, ExecutorShared},
    base::duration_text,
    serde::Serialize,
    std::{
        io::{Cursor, Read},
        thread,
        time::Duration,
    },
    tiny_http::{Header, Request, Response, StatusCode},
};

/// The description of a request, which is the default answer.
#[derive(Debug, Serialize)]
struct RequestDescription {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// Answers a request after its service time, with the fault that is set.
pub(super) fn answer(mut request: Request, shared: &ExecutorShared) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    record_start(&request, &body, shared);
    let time = header(&request, "x-service-time").and_then(duration_text::parse);
    thread::sleep(time.unwrap_or(shared.settings.service_time));
    let fault = wait_out_hang(shared);
    let status = header(&request, "x-status").and_then(|text| text.parse().ok()).unwrap_or(200);
    let content = content(&request, body);
    record_end(shared);
    let _ = match fault {
        ExecutorFault::Truncate => {
            let declared_length = Some(content.len() + 1);
            let cut = Cursor::new(content);
            request.respond(Response::new(
                StatusCode(status),
                vec![connection_close()],
                cut,
                declared_length,
                None,
            ))
        }
        ExecutorFault::Slow(pause) => {
            let length = Some(content.len());
            let slow = SlowReader { content: Cursor::new(content), pause };
            request.respond(Response::new(StatusCode(status), vec![], slow, length, None))
        }
        ExecutorFault::None | ExecutorFault::Hang => {
            request.respond(Response::from_data(content).with_status_code(status))
        }
    };
}

fn record_start(request: &Request, body: &[u8], shared: &ExecutorShared) {
    let mut record = shared.record();
    record.in_use += 1;
    record.peak = record.peak.max(record.in_use);
    record.executed.push(ExecutedRequest {
        method: request.method().to_string(),
        target: request.url().to_owned(),
        body: body.to_vec(),
    });
    shared.changed.notify_all();
}

fn record_end(shared: &ExecutorShared) {
    shared.record().in_use -= 1;
    shared.changed.notify_all();
}

fn wait_out_hang(shared: &ExecutorShared) -> ExecutorFault {
    let record = shared.record();
    let waited = shared.changed.wait_while(record, |record| record.fault == ExecutorFault::Hang);
    waited.expect("a record holder never panics").fault
}

fn content(request: &Request, body: Vec<u8>) -> Vec<u8> {
    if header(request, "x-echo") == Some("body") {
        return body;
    }
    let headers = request.headers().iter();
    let description = RequestDescription {
        method: request.method().to_string(),
        target: request.url().to_owned(),
        headers: headers.map(|h| (h.field.to_string(), h.value.to_string())).collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    serde_json::to_vec(&description).unwrap_or_default()
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str())
}

fn connection_close() -> Header {
    Header::from_bytes(&b"connection"[..], &b"close"[..]).expect("the header is constant")
}

struct SlowReader {
    content: Cursor<Vec<u8>>,
    pause: Duration,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(self.pause);
        let limit = buffer.len().min(1);
        self.content.read(&mut buffer[..limit])
    }
}
