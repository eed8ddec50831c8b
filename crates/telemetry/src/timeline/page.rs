//! The time line as a self-contained HTML page: one column per process, time downwards.

use {
    super::format_utc_time,
    crate::recorder::EventRecord,
    maud::{html, PreEscaped, DOCTYPE},
};

const STYLE: &str = "body{font:13px system-ui,sans-serif;margin:1em}\
table{border-collapse:collapse}th,td{padding:2px 8px;vertical-align:top;\
border-left:1px solid #ddd}th{position:sticky;top:0;background:#fff;text-align:left}\
td.time{font-family:monospace;white-space:nowrap;border:0}\
.event{border-radius:4px;padding:1px 5px;background:#eef3fb;display:inline-block}\
.warning{background:#fdf0d5}.error{background:#fbdada}.debug{background:#f3f3f3}\
dl{margin:0;color:#444}dt,dd{display:inline;margin:0 4px 0 0}dt:after{content:\":\"}";

/// Formats merged events as an HTML page. Text from events is escaped.
pub fn format_html_page(title: &str, records: &[EventRecord]) -> String {
    let mut columns: Vec<_> = records.iter().map(|record| &record.process).collect();
    columns.sort();
    columns.dedup();
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (title) }
                p { (records.len()) " events of " (columns.len()) " processes in causal order." }
                table {
                    tr {
                        th { "time (UTC)" }
                        @for column in &columns { th { (column) } }
                    }
                    @for record in records {
                        tr {
                            td.time { (format_utc_time(record.stamp.wall_micros)) }
                            @for column in &columns {
                                td { @if *column == &record.process { (event_markup(record)) } }
                            }
                        }
                    }
                }
            }
        }
    };
    page.into_string()
}

fn event_markup(record: &EventRecord) -> maud::Markup {
    html! {
        span class=(format!("event {}", record.severity)) {
            "E" (record.number) " " (record.name)
        }
        dl {
            @for (name, text) in &record.fields { dt { (name) } dd { (text) } }
        }
    }
}
