//! HTTP/1.1 with bodies of a known length: a client with one connection a call, and a server.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Answer {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends one request on a connection of its own.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += "Content-Type: application/json\r\n";
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    (&stream).write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let (first, fields) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let body = read_body(&mut reader, &fields)?;
    let location = field(&fields, "location").map(str::to_owned);
    Ok(Answer { status, location, body })
}

pub struct Request {
    pub path: String,
    pub expected: Option<String>,
    pub body: String,
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, fields)) = read_head(reader)? else { return Ok(None) };
    let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
    let body = read_body(reader, &fields)?;
    let expected = field(&fields, "x-expect-instance").map(str::to_owned);
    Ok(Some(Request { path, expected, body }))
}

pub fn write_answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())
}

type Fields = Vec<(String, String)>;

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Fields)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), fields)));
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn field<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    fields.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
}

fn read_body(reader: &mut impl Read, fields: &Fields) -> io::Result<String> {
    let length = field(fields, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData.into())
}
