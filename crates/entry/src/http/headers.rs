//! Selects the headers that are forwarded to the other side.

use {
    bytes::Bytes,
    http::{header, HeaderMap, HeaderName},
};

/// Headers that apply to one connection only (RFC 9110, section 7.6.1), and `Expect`.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
/// Further hop-by-hop headers, for which the `http` crate has no constants.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the end-to-end headers in order, without `Content-Length`: each hop sets its own.
pub(super) fn end_to_end(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name) && !named.contains(&name.as_str().to_owned()))
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}

pub(super) fn is_hop_by_hop(name: &HeaderName) -> bool {
    *name == header::CONTENT_LENGTH
        || HOP_BY_HOP.contains(name)
        || HOP_BY_HOP_NAMES.contains(&name.as_str())
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
