//! The program as an operator runs it, where no control process is needed.

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

/// Runs a command line and compares its exit code and what it printed, errors last.
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
#[case::for_programs(
    "check examples/umoja/declarations --json",
    0,
    "{\n  \"files\": 4,\n  \"services\": 1,\n  \"teams\": 2,\n  \"exceptions\": 1\n}"
)]
#[case::no_folder(
    "check examples/nowhere",
    3,
    "mangoctl: examples/nowhere: No such file or directory (os error 2)"
)]
#[case::no_command(
    "frobnicate",
    2,
    "mangoctl: no such command: frobnicate\nTry \"mangoctl --help\"."
)]
#[case::unknown_option(
    "status --loud",
    2,
    "mangoctl: invalid option '--loud'\nTry \"mangoctl --help\"."
)]
#[case::nobody_to_ask(
    "status",
    2,
    "mangoctl: say where control is: --at ADDRESS or MANGOROUTER_OPERATOR\nTry \"mangoctl --help\"."
)]
#[case::version("--version", 0, concat!("mangoctl ", env!("CARGO_PKG_VERSION")))]
fn prints(#[case] line: &str, #[case] code: i32, #[case] expected: &str) {
    check(line, code, expected);
}

#[test]
fn explains_an_exception_of_a_folder() {
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

/// The page holds what `--help` prints. `REWRITE=1` writes it anew.
#[test]
fn the_page_holds_the_help() {
    let output = Command::new(env!("CARGO_BIN_EXE_mangoctl")).arg("--help").output();
    let help = String::from_utf8(output.expect("the program runs").stdout).expect("help is text");
    let path = root().join("docs/CLI.md");
    let page = fs::read_to_string(&path).expect("the page is there");
    let (head, rest) = page.split_once("<!-- mangoctl --help -->\n```text\n").expect("the mark");
    let (_, tail) = rest.split_once("```\n").expect("the block ends");
    let expected = format!("{head}<!-- mangoctl --help -->\n```text\n{help}```\n{tail}");
    if env::var_os("REWRITE").is_some() {
        fs::write(&path, &expected).expect("the page can be written");
        return;
    }
    assert_eq!(page, expected, "REWRITE=1 writes the page anew");
}
