//! HTTP/1.1 over std sockets: a small client, and a server with one thread per connection.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
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
    pub fn new(method: &str, target: &str) -> Request {
        Request { method: method.into(), target: target.into(), ..Request::default() }
    }
    pub fn with(mut self, name: &str, value: &str) -> Request {
        self.headers.push((name.into(), value.into()));
        self
    }
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Request {
        self.body = body.into();
        self
    }
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
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Response {
        self.body = body.into();
        self
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the start line, the headers and the body of a message; `None` at the end of the stream.
fn read_message(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<(String, Vec<(String, String)>, Vec<u8>)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let start = line.trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or("0"), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.extend(chunk);
            let mut end = String::new();
            reader.read_line(&mut end)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(len) = find(&headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
        body = vec![0; len];
        reader.read_exact(&mut body)?;
    }
    Ok(Some((start, headers, body)))
}

fn write_message(stream: &mut TcpStream, start: &str, headers: &[(String, String)], body: &[u8]) -> std::io::Result<()> {
    let mut out = format!("{start}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    out.extend(body);
    stream.write_all(&out)
}

/// Sends one request on a new connection.
pub fn send(addr: &str, request: &Request, limit: Duration) -> std::io::Result<Response> {
    let at = addr.parse().map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidInput))?;
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut headers = request.headers.clone();
    if request.header("host").is_none() {
        headers.push(("Host".into(), addr.into()));
    }
    write_message(&mut stream, &format!("{} {} HTTP/1.1", request.method, request.target), &headers, &request.body)?;
    let (start, headers, body) =
        read_message(&mut BufReader::new(stream))?.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    let status = start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok(Response { status, headers, body })
}

/// What a server does with a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Serves `addr` until the process ends.
pub fn serve(addr: &str, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = connection(stream, handler);
            });
        }
    });
    Ok(())
}

fn connection(stream: TcpStream, handler: Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((start, headers, body)) = read_message(&mut reader)? {
        let mut parts = start.split(' ');
        let method = parts.next().unwrap_or_default().to_string();
        let target = parts.next().unwrap_or_default().to_string();
        let Some(response) = handler(Request { method, target, headers, body }) else { return Ok(()) };
        write_message(&mut writer, &format!("HTTP/1.1 {} -", response.status), &response.headers, &response.body)?;
    }
    Ok(())
}
