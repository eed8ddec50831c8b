//! Every file that `docs/PROMISES.md` names exists.

use std::path::Path;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

#[test]
fn every_named_file_exists() {
    let root = Path::new(ROOT);
    let page = std::fs::read_to_string(root.join("docs/PROMISES.md")).expect("the page");
    let paths: Vec<_> = page.split('`').filter(|text| text.starts_with("crates/")).collect();
    let missing: Vec<_> = paths.iter().filter(|path| !root.join(path).is_file()).collect();
    assert!(!paths.is_empty() && missing.is_empty(), "{missing:?} of {} paths", paths.len());
}
