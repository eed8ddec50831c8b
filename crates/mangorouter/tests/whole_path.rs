//! End-to-end tests over real sockets, including shutdown by real signals.

use {
    base::PeerAddress,
    mangorouter::{free_address, DevFleet},
    proto::{
        messages::{
            operator::{ApplyReply, ApplyRequest, FleetStatus},
            DeclarationFile,
        },
        operator_client::OperatorClient,
    },
    rstest::rstest,
    std::{
        fs,
        io::{Read, Write},
        net::TcpStream,
        path::Path,
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
};

const CALL_DEADLINE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const DECLARATIONS: &str = "[teams.demo]\nquota = { cpu = \"4\", memory = \"8GB\" }\n\
                            [services.demo]\nteam = \"demo\"\n";

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangorouter"));
    command.args(arguments).stdin(Stdio::null());
    command
}

#[test]
fn dev_once_demonstrates_a_request_a_job_and_a_change() {
    let output = program(&["dev", "--once"]).output().expect("the program runs");
    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    let steps: Vec<_> = printed
        .lines()
        .filter(|line| line.starts_with(|c: char| c.is_ascii_digit()))
        .filter_map(|line| line.split(':').next())
        .collect();
    assert_eq!(steps, ["1. declared", "2. answered", "3. finished", "4. changed"], "{output:?}");
    assert_eq!(output.status.code(), Some(0));
}

#[rstest]
#[case::no_settings(
    &["entry"],
    2,
    "mangorouter: --config FILE is missing\nTry \"mangorouter --help\"."
)]
#[case::another_role(
    &["agent", "--config", "../../examples/umoja/settings/entry-1.toml", "--check"],
    3,
    "mangorouter: the settings are for role entry, not agent"
)]
#[case::checked(
    &["entry", "--config", "../../examples/umoja/settings/entry-1.toml", "--check"],
    0,
    "no errors in ../../examples/umoja/settings/entry-1.toml"
)]
fn command_line_prints_the_message_and_exits_with_the_code(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let output = program(arguments).output().expect("the program runs");
    let printed = [output.stdout, output.stderr].concat();
    assert_eq!(String::from_utf8_lossy(&printed).trim_end(), expected);
    assert_eq!(output.status.code(), Some(code));
}

/// `docs/CLI.md` contains the output of `--help`. `REWRITE=1` updates the page.
#[test]
fn cli_page_matches_the_help_text() {
    let help = program(&["--help"]).output().expect("the program runs").stdout;
    let help = String::from_utf8(help).expect("help is text");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CLI.md");
    let page = fs::read_to_string(&path).expect("the page is there");
    let (head, rest) = page.split_once("<!-- mangorouter --help -->\n```text\n").expect("the mark");
    let (_, tail) = rest.split_once("```\n").expect("the block ends");
    let expected = format!("{head}<!-- mangorouter --help -->\n```text\n{help}```\n{tail}");
    if std::env::var_os("REWRITE").is_some() {
        fs::write(&path, &expected).expect("the page can be written");
        return;
    }
    assert_eq!(page, expected, "REWRITE=1 writes the page anew");
}

/// A listener that closes with connections in its backlog resets them. Callers then see a broken
/// connection although nothing was wrong with their request.
#[test]
fn an_entry_stopped_under_load_cuts_off_no_request() {
    const CALLERS: usize = 16;
    const ANSWERS_BEFORE_STOP: usize = 200;
    let data = tempfile::tempdir().expect("a temporary folder");
    let fleet = DevFleet::start(&data.path().join("fleet")).expect("the fleet starts");
    declare(&fleet);
    let (mut entry, address) = start_entry(data.path(), fleet.control_peers());
    await_answer(address);
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let answered = answered.clone();
            thread::spawn(move || call_until_disconnected(address, &answered))
        })
        .collect();
    while answered.load(Ordering::Relaxed) < ANSWERS_BEFORE_STOP {
        thread::sleep(POLL_INTERVAL);
    }
    let stop = Command::new("kill").args(["-TERM", &entry.id().to_string()]).status();
    assert!(stop.is_ok_and(|status| status.success()));
    let cut: Vec<String> =
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller ends")).collect();
    assert_eq!(cut, Vec::<String>::new());
    assert_eq!(entry.wait().ok().and_then(|status| status.code()), Some(0));
    fleet.shut_down();
}

/// Guards against a process that ends by a reload signal which arrives before it has read its settings.
#[test]
fn a_reload_at_the_start_does_not_end_a_deployed_process() {
    let data = tempfile::tempdir().expect("a temporary folder");
    let path = data.path().join("settings.toml");
    let made = Command::new("mkfifo").arg(&path).status();
    assert!(made.is_ok_and(|status| status.success()));
    let mut process = program(&["deployed", "control"])
        .env(platform::SETTINGS_VARIABLE, &path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // Opening the pipe waits until the process opens it to read its settings.
    let mut settings = fs::File::options().write(true).open(&path).expect("the pipe opens");
    let reload = Command::new("kill").args(["-HUP", &process.id().to_string()]).status();
    assert!(reload.is_ok_and(|status| status.success()));
    settings.write_all(b"no settings").expect("the process reads on");
    drop(settings);
    let mut printed = String::new();
    let errors = process.stderr.as_mut().expect("the output is piped");
    errors.read_to_string(&mut printed).expect("the output is text");
    let code = process.wait().ok().and_then(|status| status.code());
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("settings.toml"), "{printed}");
}

// An outgoing connection of another program took a port between its choice and the start of its
// process, on a machine with many loopback connections. The fleet could not start.
#[test]
fn free_address_is_outside_the_ephemeral_port_range() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("the range");
    let first: u16 = range.split_whitespace().next().and_then(|n| n.parse().ok()).expect("a port");
    for _ in 0..200 {
        let address = free_address().expect("a port");
        assert!(address.0.port() < first, "{address} may be taken by a connection");
    }
}

fn declare(fleet: &DevFleet) {
    let client = OperatorClient::new(fleet.operators().to_vec(), CALL_DEADLINE);
    let request = ApplyRequest {
        submission: "first".parse().expect("a name"),
        base: base::RevisionNumber(0),
        files: vec![DeclarationFile { path: "a.toml".into(), text: DECLARATIONS.into() }],
    };
    loop {
        match client.post("/v1/declarations", &request) {
            Ok(ApplyReply::Accepted { .. }) => break,
            Ok(refused) => panic!("{refused:?}"),
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
    while client.get::<FleetStatus>("/v1/status").map_or(0, |status| status.endpoints.len()) < 3 {
        thread::sleep(POLL_INTERVAL);
    }
}

fn start_entry(folder: &Path, control_peers: &[PeerAddress]) -> (Child, PeerAddress) {
    let free = || free_address().expect("a port");
    let [internal, operator, callers] = [free(), free(), free()];
    let peers: Vec<_> = control_peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let text = format!(
        "cluster = \"dev\"\nname = \"entry-9\"\nregion = \"here\"\ndata_centre = \"here-1\"\n\
         internal = \"{internal}\"\noperator = \"{operator}\"\ncontrol_peers = [{}]\n\
         [entry]\ncallers = \"{callers}\"\n",
        peers.join(", ")
    );
    let config = folder.join("entry-9.toml");
    fs::write(&config, text).expect("the settings can be written");
    let child = program(&["entry", "--config"]).arg(config).stderr(Stdio::null()).spawn();
    (child.expect("the program runs"), callers)
}

fn await_answer(address: PeerAddress) {
    while !matches!(call(address), CallEnd::Answered) {
        thread::sleep(POLL_INTERVAL);
    }
}

enum CallEnd {
    /// A complete answer of the executor.
    Answered,
    /// A complete answer of the entry, which refuses new requests while it shuts down.
    Refused,
    /// No connection was established.
    NotConnected,
    /// Any other outcome.
    CutOff(String),
}

/// Sends requests until no connection can be established. Returns the outcomes that are neither an
/// answer nor a refusal.
fn call_until_disconnected(address: PeerAddress, answered: &AtomicUsize) -> Vec<String> {
    let mut cut = Vec::new();
    loop {
        match call(address) {
            CallEnd::Answered => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            CallEnd::Refused => {}
            CallEnd::NotConnected => return cut,
            CallEnd::CutOff(found) => cut.push(found),
        }
    }
}

fn call(address: PeerAddress) -> CallEnd {
    let Ok(mut stream) = TcpStream::connect(address.0) else { return CallEnd::NotConnected };
    let request = "GET /demo/quotes HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let sent = stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_end(&mut answer));
    let answer = String::from_utf8_lossy(&answer).into_owned();
    match sent {
        Ok(_) if answer.starts_with("HTTP/1.1 200") && answer.ends_with('}') => CallEnd::Answered,
        Ok(_) if answer.starts_with("HTTP/1.1 503") && answer.contains("not-run") => {
            CallEnd::Refused
        }
        outcome => CallEnd::CutOff(format!("{outcome:?} {answer}")),
    }
}
