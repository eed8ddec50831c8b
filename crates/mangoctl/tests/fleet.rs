//! Runs the commands of `docs/CLI.md` in order against a running fleet.

use {
    mangorouter::DevFleet,
    std::{
        fs,
        io::{Read, Write},
        net::TcpStream,
        path::Path,
        process::{Command, Stdio},
    },
};

const DECLARATIONS: &str = r#"
[teams.reports]
quota = { cpu = "16", memory = "32GB" }

[services.demo]
team = "reports"

[defaults.request]
deadline = "2s"

[[exceptions]]
name = "slow-yard"
reason = "the yard's link is slow until it is replaced"
owner = "night desk"
for = { service = "demo", data_centre = "here-1" }
values.request = { deadline = "4s" }
"#;

const JOB: &str = r#"
id = "monthly-report"
team = "reports"
class = "report"
tasks = 2
resources = { cpu = "1", memory = "1GB" }
payload = "run=200ms"
"#;

struct Operator {
    at: String,
    folder: tempfile::TempDir,
}

impl Operator {
    /// Runs a command line and checks its exit code and that the output contains the texts.
    fn check(&self, line: &str, code: i32, expected: &[&str]) {
        let output = Command::new(env!("CARGO_BIN_EXE_mangoctl"))
            .args(line.split_whitespace())
            .args(["--timeout", "30s"])
            .env("MANGOROUTER_OPERATOR", &self.at)
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .output()
            .expect("the program runs");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed);
        let missing: Vec<_> = expected.iter().filter(|text| !printed.contains(**text)).collect();
        assert_eq!((missing, output.status.code()), (vec![], Some(code)), "{line}\n{printed}");
    }

    /// Waits until the fleet contains a worker. A worker joins with its agent's first heartbeat,
    /// which no other step of the test waits for.
    fn wait_for_worker(&self, worker: &str) {
        loop {
            let status = Command::new(env!("CARGO_BIN_EXE_mangoctl"))
                .arg("status")
                .env("MANGOROUTER_OPERATOR", &self.at)
                .output()
                .expect("the program runs");
            if String::from_utf8_lossy(&status.stdout).contains(worker) {
                return;
            }
        }
    }

    fn write(&self, path: &str, text: &str) {
        let path = self.folder.path().join(path);
        fs::create_dir_all(path.parent().unwrap_or(Path::new("."))).expect("the folder is made");
        fs::write(path, text).expect("the file is written");
    }
}

/// Sends `count` requests to the entry, so that more events exist than one response of `/events`
/// holds (2,000). Guards against a reader that does not ask for the events after the first
/// response.
fn send_requests(fleet: &DevFleet, count: u32) {
    for _ in 0..count {
        let mut stream = TcpStream::connect(fleet.callers().0).expect("the entry listens");
        let request = "GET /demo/x HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).expect("the request is sent");
        let mut response = Vec::new();
        stream.read_to_end(&mut response).expect("the response is read");
    }
}

#[test]
fn the_commands_work_on_a_running_fleet() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let fleet = DevFleet::start(&folder.path().join("fleet")).expect("the fleet starts");
    let at: Vec<_> = fleet.operators().iter().map(ToString::to_string).collect();
    let operator = Operator { at: at.join(","), folder };
    operator.write("fleet-declarations/a.toml", DECLARATIONS);
    operator.write("report.toml", JOB);
    let check = |line, code, expected: &[&str]| operator.check(line, code, expected);

    check(
        "check fleet-declarations",
        0,
        &["no errors: 1 files, 1 services, 1 teams, 1 exceptions"],
    );
    check(
        "apply fleet-declarations --yes --wait",
        0,
        &["+ exceptions.slow-yard", "accepted as revision 1", "in force on all"],
    );
    check("diff fleet-declarations", 0, &["no change from revision 1"]);
    check("apply fleet-declarations --yes --base 0", 1, &["revision 1 was accepted first"]);
    check("apply fleet-declarations", 2, &["Standard input is not a terminal: repeat with --yes."]);
    check(
        "explain policy --service demo --data-centre here-1",
        0,
        &[
            "request.deadline",
            "\"4s\"",
            "since revision 1",
            "the yard's link is slow until it is replaced",
        ],
    );
    operator.wait_for_worker("worker-3");
    check("status", 0, &["revision 1, led by replica", "control-1", "entry-1", "worker-3"]);
    check("status --json", 0, &["\"revision\": 1"]);
    check("job submit report.toml --wait", 0, &["job monthly-report is accepted", "2 finished"]);
    check("job submit report.toml", 1, &["another job is named monthly-report"]);
    check("job list", 0, &["monthly-report", "2 finished"]);
    check("job show monthly-report", 0, &["history of monthly-report/0", "finished (attempt 1)"]);
    check("job show no-such-job", 1, &["mangoctl: "]);
    check("job cancel monthly-report --yes", 1, &["job monthly-report has already ended"]);
    check("explain task monthly-report/0", 0, &["monthly-report/0", "decided by"]);
    check("worker drain worker-1 --yes --wait", 0, &["worker-1 has no tasks"]);
    check("explain worker worker-1", 0, &["worker-1"]);
    check("worker undrain worker-1", 0, &["undrain of worker-1 is accepted"]);
    check("worker drain worker-9 --yes", 1, &["there is no worker worker-9"]);
    check("member promote 9", 1, &["mangoctl: "]);
    check("member remove 9 --yes", 1, &["mangoctl: "]);
    check("timeline --html page.html --save events.jsonl", 0, &["RevisionInForce revision=1"]);
    send_requests(&fleet, 701);
    check("timeline", 0, &["RequestAnswered", ":700 status=200"]);
    check("timeline --last 5m", 0, &["RevisionInForce revision=1"]);
    check("timeline --from events.jsonl --where revision=1", 0, &["RevisionInForce revision=1"]);
    let page = fs::read_to_string(operator.folder.path().join("page.html"));
    assert!(page.is_ok_and(|page| page.contains("control-1") && page.contains("agent-1")));
    fleet.shut_down();
}
