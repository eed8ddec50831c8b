//! Runs the program for commands that need no control process.

use {
    rstest::rstest,
    std::{
        env, fs,
        path::{Path, PathBuf},
        process::{Command, Stdio},
    },
};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Runs a command line and compares its exit code and its output, standard error last.
fn check(line: &str, code: i32, expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_mangoctl"))
        .args(line.split_whitespace())
        .current_dir(root())
        .env_remove("MANGOROUTER_OPERATOR")
        .stdin(Stdio::null())
        .output()
        .expect("the program runs");
    let printed = [output.stdout, output.stderr].concat();
    assert_eq!(String::from_utf8_lossy(&printed).trim_end(), expected);
    assert_eq!(output.status.code(), Some(code));
}

#[rstest]
#[case::a_folder_without_errors(
    "check examples/umoja/declarations",
    0,
    "no errors: 4 files, 1 services, 2 teams, 1 exceptions"
)]
#[case::json_output(
    "check examples/umoja/declarations --json",
    0,
    "{\n  \"files\": 4,\n  \"services\": 1,\n  \"teams\": 2,\n  \"exceptions\": 1\n}"
)]
#[case::missing_folder(
    "check examples/nowhere",
    3,
    "mangoctl: examples/nowhere: No such file or directory (os error 2)"
)]
#[case::unknown_command(
    "frobnicate",
    2,
    "mangoctl: unknown command: frobnicate\nTry \"mangoctl --help\"."
)]
#[case::unknown_option(
    "status --loud",
    2,
    "mangoctl: invalid option '--loud'\nTry \"mangoctl --help\"."
)]
#[case::no_control_address(
    "status",
    2,
    "mangoctl: no control address: use --at ADDRESS or set MANGOROUTER_OPERATOR\nTry \"mangoctl --help\"."
)]
#[case::version("--version", 0, concat!("mangoctl ", env!("CARGO_PKG_VERSION")))]
fn prints_the_expected_text_and_exit_code(
    #[case] line: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    check(line, code, expected);
}

#[test]
fn explain_policy_names_the_exception_that_set_a_value() {
    let output = Command::new(env!("CARGO_BIN_EXE_mangoctl"))
        .args(["explain", "policy", "--folder", "examples/umoja/declarations"])
        .args(["--service", "booking", "--data-centre", "tanga"])
        .current_dir(root())
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let deadline = text.lines().find(|line| line.starts_with("request.deadline"));
    let words: Vec<_> = deadline.unwrap_or_default().split_whitespace().collect();
    assert_eq!(
        words.join(" "),
        "request.deadline \"4s\" exception \"fitting-sheets-are-large\" of Tanga yard: \
         fitting sheets for bus operators carry drawings of several megabytes"
    );
}

/// `docs/CLI.md` contains the output of `--help`. `REWRITE=1` regenerates that part.
#[test]
fn the_cli_page_contains_the_help_text() {
    let output = Command::new(env!("CARGO_BIN_EXE_mangoctl")).arg("--help").output();
    let help = String::from_utf8(output.expect("the program runs").stdout).expect("help is text");
    let path = root().join("docs/CLI.md");
    let page = fs::read_to_string(&path).expect("the page exists");
    let (head, rest) = page
        .split_once("<!-- mangoctl --help -->\n```text\n")
        .expect("the page marks the help text");
    let (_, tail) = rest.split_once("```\n").expect("the help text ends");
    let expected = format!("{head}<!-- mangoctl --help -->\n```text\n{help}```\n{tail}");
    if env::var_os("REWRITE").is_some() {
        fs::write(&path, &expected).expect("the page can be written");
        return;
    }
    assert_eq!(page, expected, "docs/CLI.md differs from --help; REWRITE=1 regenerates it");
}
