//! A small HTTP/1.1 server and client over blocking sockets.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Response {
    pub fn new(status: u16) -> Response {
        Response { status, ..Response::default() }
    }
    pub fn with(mut self, name: &str, value: &str) -> Response {
        self.headers.push((name.into(), value.into()));
        self
    }
    pub fn json(status: u16, text: String) -> Response {
        Response { status, headers: vec![("Content-Type".into(), "application/json".into())], body: text.into_bytes() }
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
    fn bytes(&self) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {} X\r\n", self.status);
        for (n, v) in &self.headers {
            out += &format!("{n}: {v}\r\n");
        }
        out += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut out = out.into_bytes();
        out.extend(&self.body);
        out
    }
}

/// A connection with the bytes that were read and not used.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }
    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, limit)?))
    }
    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0u8; 16384];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend(&part[..n]);
        Ok(())
    }
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }
    fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }
    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((n, v)) = line.split_once(':') {
                headers.push((n.trim().to_string(), v.trim().to_string()));
            }
        }
    }
    fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        if find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                body.extend(self.exact(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let n = find(headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exact(n)
    }
    pub fn read_request(&mut self) -> io::Result<Request> {
        let first = self.line()?;
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
        let headers = self.headers()?;
        let body = self.body(&headers)?;
        Ok(Request { method, path, headers, body })
    }
    /// Reads a response; fails at `end`.
    pub fn read_response(&mut self, end: Instant) -> io::Result<Response> {
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        let first = self.line()?;
        let status = first.split(' ').nth(1).and_then(|w| w.parse().ok()).unwrap_or(0);
        let headers = self.headers()?;
        let body = self.body(&headers)?;
        Ok(Response { status, headers, body })
    }
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
    pub fn respond(&mut self, response: &Response) -> io::Result<()> {
        self.write(&response.bytes())
    }
}

/// The bytes of a request with a length.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (n, v) in headers {
        out += &format!("{n}: {v}\r\n");
    }
    if method != "GET" || !body.is_empty() {
        out += &format!("Content-Length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut out = out.into_bytes();
    out.extend(body);
    out
}

/// One request over a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let end = Instant::now() + limit;
    let mut conn = Conn::connect(addr, limit.min(Duration::from_secs(1)))?;
    conn.stream.set_write_timeout(Some(limit))?;
    conn.write(&request_bytes(method, path, headers, body))?;
    conn.read_response(end)
}

/// Serves requests, each connection in a thread of its own. The handler writes the answer itself.
pub fn serve(addr: SocketAddr, handle: impl Fn(Request, &mut Conn) -> io::Result<()> + Send + Sync + 'static) -> io::Result<()> {
    let at = TcpListener::bind(addr)?;
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in at.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.read_request() {
                    if handle(request, &mut conn).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}
