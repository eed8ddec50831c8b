//! Compares the catalogue of events with the page that lists them.

const SOURCE: &str = include_str!("../src/event/mod.rs");
const PAGE: &str = include_str!("../../../docs/EVENTS-DEPLOYED.md");

/// Returns number and name of each event, from the only place in the code that pairs them.
fn catalogue() -> Vec<(String, String)> {
    let pairs = SOURCE.lines().filter_map(|line| line.trim().split_once("{ .. } => ("));
    let parse = |(_, pair): (&str, &str)| {
        let (number, name) = pair.split_once(", ").unwrap();
        (number.to_owned(), name.trim_end_matches("),").trim_matches('"').to_owned())
    };
    pairs.map(parse).collect()
}

#[test]
fn every_event_is_listed_under_its_number() {
    let listed: Vec<(String, String)> = PAGE
        .lines()
        .filter(|line| line.starts_with("| 5"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            (cells[1].to_owned(), cells[2].to_owned())
        })
        .collect();
    assert_eq!(listed, catalogue());
}

#[test]
fn numbers_are_unique() {
    let mut numbers: Vec<String> = catalogue().into_iter().map(|(number, _)| number).collect();
    numbers.sort();
    numbers.dedup();
    assert_eq!(numbers.len(), catalogue().len());
}

#[test]
fn warnings_and_errors_are_those_that_the_page_names() {
    let (_, numbers) = SOURCE.split_once("const WARNING_NUMBERS: ").unwrap();
    let (_, numbers) = numbers.split_once("= [").unwrap();
    let (numbers, _) = numbers.split_once("];").unwrap();
    let numbers = numbers.split(',').map(str::trim).filter(|number| !number.is_empty());
    let numbers: Vec<&str> = numbers.collect();
    let rows = PAGE.lines().filter(|line| line.starts_with("| 5"));
    let rows = rows.map(|line| line.split('|').map(str::trim).collect::<Vec<&str>>());
    let listed: Vec<&str> = rows.filter(|row| row[3] != "info").map(|row| row[1]).collect();
    assert_eq!(listed, numbers);
}
