//! A small HTTP/1.1 client and server for loopback addresses.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A reply of a server: the status and a JSON body. `None` ends the connection without one.
pub type Reply = Option<(u16, String)>;

/// Answers each request with `handler`, on a thread for each connection.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request) -> Reply + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler));
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, handler: impl Fn(&Request) -> Reply) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (headers, length) = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        let (status, reply) = handler(&Request { method, path, headers, body })?;
        let text = format!(
            "HTTP/1.1 {status} Reply\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{reply}",
            reply.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<(Vec<(String, String)>, usize)> {
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((headers, length));
        }
        let (name, value) = line.split_once(':')?;
        let (name, value) = (name.trim().to_owned(), value.trim().to_owned());
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
        headers.push((name, value));
    }
}

/// A request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub body: &'a str,
    /// How long the client waits. It then closes the connection.
    pub patience: Duration,
}

/// Sends a request on a new connection and returns the status and body of the response.
pub fn call(address: SocketAddr, call: &Call<'_>) -> io::Result<(u16, String)> {
    exchange(address, call).map(|(status, _, body)| (status, body))
}

/// Sends a request and returns the status and the `Location` of the response.
pub fn call_with_location(
    address: SocketAddr,
    call: &Call<'_>,
) -> io::Result<(u16, Option<String>)> {
    let (status, headers, _) = exchange(address, call)?;
    let location = headers.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("location"));
    Ok((status, location.map(|(_, value)| value)))
}

type Response = (u16, Vec<(String, String)>, String);

fn exchange(address: SocketAddr, call: &Call<'_>) -> io::Result<Response> {
    let until = Instant::now() + call.patience;
    let mut stream = TcpStream::connect_timeout(&address, call.patience)?;
    stream.set_nodelay(true)?;
    let Call { method, path, host, body, patience } = call;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        patience.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let (headers, length) = read_headers(&mut reader).ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((status, headers, String::from_utf8_lossy(&body).into_owned()))
}
