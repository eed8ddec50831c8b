//! Files that describe a job to submit.

use {
    crate::{
        check::CheckError,
        schema::{check_document, JOB_FILE},
    },
    base::duration_text,
    std::path::Path,
};

/// Checks the text of a job file and returns it in the form in which it is submitted: sizes in
/// their base unit, and the run time as `run_time_ms`. Reports all errors.
pub fn check_job_file(file: &Path, text: &str) -> Result<toml::Table, Vec<CheckError>> {
    let mut table = check_document(file, text, JOB_FILE)?.table;
    let run_time = table.remove("run_time");
    if let Some(run_time) = run_time.as_ref().and_then(|value| value.as_str()) {
        let millis = duration_text::parse(run_time).unwrap_or_default().as_millis();
        table.insert("run_time_ms".to_owned(), toml::Value::Integer(millis as i64));
    }
    Ok(table)
}
