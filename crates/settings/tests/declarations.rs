//! Declaration files, the errors that the check reports for them and the policies to which they
//! resolve.

use {
    base::RevisionNumber,
    rstest::rstest,
    settings::{FleetDeclaration, PolicySubject},
    std::time::{Duration, SystemTime},
};

const DAY: Duration = Duration::from_secs(24 * 3600);

fn parse(files: &[(&str, &str)]) -> Result<FleetDeclaration, String> {
    FleetDeclaration::parse(RevisionNumber(1), files.iter().copied()).map_err(|errors| {
        errors.iter().map(|error| format!("{error}\n")).collect::<String>().trim_end().to_owned()
    })
}

#[rstest]
#[case::unknown_key(
    "[defaults.request]\ndeadlin = \"5s\"",
    r#"a.toml:2: defaults.request.deadlin: unknown key; did you mean "deadline"?"#
)]
#[case::wrong_unit(
    "[defaults.request]\ndeadline = \"5 parsecs\"",
    r#"a.toml:2: defaults.request.deadline: expected a duration such as "250ms", "5s" or "2h", found "5 parsecs""#
)]
#[case::out_of_range(
    "[defaults.request]\nretry_percent = 400",
    "a.toml:2: defaults.request.retry_percent: expected a whole number from 0 to 100, found 400"
)]
#[case::every_error_at_once(
    "[defaults.request]\nqueue = true\n[teams.hire]\n",
    "a.toml:2: defaults.request.queue: expected a whole number from 0 to 4294967295, found true\n\
     a.toml:3: teams.hire: \"quota\" is missing: the resources that the team's tasks may reserve at once"
)]
#[case::syntax("[defaults", "a.toml:1: not valid TOML: unclosed table, expected `]`")]
#[case::undeclared_team(
    "[teams.hire.quota]\ncpu = \"8\"\nmemory = \"16GB\"\n[services.quotes]\nteam = \"hyre\"",
    r#"a.toml:4: services.quotes: no team "hyre" is declared; did you mean "hire"?"#
)]
#[case::no_reason(
    "[[exceptions]]\nname = \"x\"\nreason = \"because\"\nowner = \"night desk\"\n\
     for = { worker = \"w1\" }\nvalues.request.queue = 1",
    "a.toml:1: exceptions.0: a written reason is required, in at least three words"
)]
#[case::empty_selector(
    "[[exceptions]]\nname = \"x\"\nreason = \"a fair reason\"\nowner = \"night desk\"\n\
     for = {}\nvalues.request.queue = 1",
    "a.toml:1: exceptions.0: \"for\" must name at least one subject"
)]
#[case::conflict(
    "[[exceptions]]\nname = \"x\"\nreason = \"a fair reason\"\nowner = \"o\"\n\
     for = { worker = \"w1\" }\nvalues.request.queue = 1\n\
     [[exceptions]]\nname = \"y\"\nreason = \"a fair reason\"\nowner = \"o\"\n\
     for = { class = \"c\" }\nvalues.request.queue = 2",
    "a.toml:7: exceptions.1: sets \"request.queue\", and so does exception \"x\" at a.toml:1: \
     exceptions.0; both can hold for the same subject and neither is more specific"
)]
fn errors_name_file_line_key_and_expected_value(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(parse(&[("a.toml", text)]).expect_err("the text has errors"), expected);
}

#[test]
fn a_default_that_two_files_set_is_an_error() {
    let text = "[defaults.request]\nqueue = 1";
    assert_eq!(
        parse(&[("a.toml", text), ("b.toml", text)]).expect_err("the second is an error"),
        "b.toml:2: defaults.request.queue: declared before at a.toml:2: defaults.request.queue"
    );
}

const LAYERED: &str = r#"
[defaults.request]
deadline = "5s"
queue = 10

[teams.hire]
quota = { cpu = "8", memory = "16GB" }

[services.quotes]
team = "hire"

[[exceptions]]
name = "quotes-are-quick"
reason = "a late quote loses the customer"
owner = "booking desk"
for = { service = "quotes" }
values.request = { deadline = "800ms" }

[[exceptions]]
name = "partner-yard"
reason = "the partner's link is slow until it is replaced"
owner = "night desk"
expires = 1970-01-10
for = { service = "quotes", data_centre = "tanga" }
values.request = { deadline = "2s", body_limit = "4MiB" }
"#;

/// Compares the deadline, the queue limit, the body limit and the source of the deadline for one
/// subject on one day.
fn check(service: &str, data_centre: &str, day: u32, expected: &str) {
    let fleet = parse(&[("a.toml", LAYERED)]).expect("the text has no errors");
    let subject = PolicySubject {
        service: service.parse().ok(),
        data_centre: data_centre.parse().ok(),
        ..PolicySubject::default()
    };
    let resolved = fleet.policy_for(&subject, SystemTime::UNIX_EPOCH + DAY * day);
    let request = &resolved.policy.request;
    let source = resolved.source("request.deadline");
    let found =
        format!("{:?}, {}, {}: {source}", request.deadline, request.queue, request.body_limit);
    assert_eq!(found, expected);
}

#[rstest]
#[case::the_default("fittings", "moshi", 0, "5s, 10, 1MiB: fleet default")]
#[case::an_exception(
    "quotes",
    "moshi",
    0,
    "800ms, 10, 1MiB: exception \"quotes-are-quick\" of booking desk: a late quote loses the customer"
)]
#[case::the_more_specific_of_two(
    "quotes",
    "tanga",
    9,
    "2s, 10, 4MiB: exception \"partner-yard\" of night desk: the partner's link is slow until it is replaced"
)]
#[case::expired(
    "quotes",
    "tanga",
    10,
    "800ms, 10, 1MiB: exception \"quotes-are-quick\" of booking desk: a late quote loses the customer"
)]
fn the_most_specific_unexpired_exception_takes_precedence(
    #[case] service: &str,
    #[case] data_centre: &str,
    #[case] day: u32,
    #[case] expected: &str,
) {
    check(service, data_centre, day, expected);
}

#[test]
fn a_diff_lists_each_changed_rule_with_its_subject() {
    let before = parse(&[("a.toml", LAYERED)]).expect("the text has no errors");
    let changed = LAYERED.replace("queue = 10", "queue = 20").replace("cpu = \"8\"", "cpu = \"9\"");
    let after = parse(&[("a.toml", &changed)]).expect("the text has no errors");
    let lines: Vec<_> = after.changes_since(&before).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ defaults.request.queue = 10 -> 20 (for the fleet)",
            "~ teams.hire = quota cpu 8000m, memory 16GB, accelerators 0 -> quota cpu 9000m, \
             memory 16GB, accelerators 0 (for team hire)",
        ]
    );
}

/// Guards against a schema and policy types that differ: both list the same keys by hand.
#[test]
fn the_schema_admits_every_key_of_the_policy_types() {
    let text = toml::to_string(&settings::FleetPolicy::default()).expect("policies are TOML");
    let text: String = text
        .lines()
        .map(|line| match line.strip_prefix('[') {
            Some(section) => format!("[defaults.{section}\n"),
            None => format!("{line}\n"),
        })
        .collect();
    let fleet = parse(&[("a.toml", &text)]).expect("the built-in values are allowed");
    let resolved = fleet.policy_for(&PolicySubject::default(), SystemTime::UNIX_EPOCH);
    assert_eq!(resolved.policy, settings::FleetPolicy::default());
}
