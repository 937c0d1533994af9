//! The operator's command.
use dahliawick::prelude::*;
use http::Method;
use serde_json::{json, Value};

#[derive(Debug, Options)]
struct Line {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(help = "HTTP addresses of the placement daemons, with commas between", meta = "ADDRS")]
    at: Option<String>,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check, apply, patch or show the charter")]
    Charter(CharterLine),
    #[options(help = "empty a zone or take it back")]
    Zone(ZoneLine),
    #[options(help = "drain a worker or take it back")]
    Worker(WorkerLine),
    #[options(help = "retire a store machine (not built yet)")]
    Store(StoreLine),
    #[options(help = "show what a daemon says of itself")]
    Status(StatusLine),
    #[options(help = "show what a charter would move, without moving it")]
    Plan(PlanLine),
}

#[derive(Debug, Options)]
struct CharterLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "check FILE | apply FILE | patch FILE | show")]
    words: Vec<String>,
    #[options(help = "the version the change was made from; the one in force by default", meta = "VERSION")]
    base: Option<String>,
    #[options(help = "the operation's id; repeat it to ask again", meta = "ID")]
    op: Option<String>,
}

#[derive(Debug, Options)]
struct ZoneLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "empty ZONE | restore ZONE")]
    words: Vec<String>,
}

#[derive(Debug, Options)]
struct WorkerLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "drain WORKER | restore WORKER")]
    words: Vec<String>,
}

#[derive(Debug, Options)]
struct StoreLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "retire STORE")]
    words: Vec<String>,
}

#[derive(Debug, Options)]
struct StatusLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "the daemon's HTTP address; every placement daemon by default")]
    words: Vec<String>,
}

#[derive(Debug, Options)]
struct PlanLine {
    #[options(help = "show this help")]
    help: bool,
    #[options(free, help = "FILE")]
    words: Vec<String>,
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    if line.version {
        println!("dahliawick {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return ExitCode::from(1) };
    match rt.block_on(go(line)) {
        Ok((text, good)) => {
            println!("{text}");
            if good {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(1)
            }
        }
        Err(e) => {
            eprintln!("dahliawick: {e}");
            ExitCode::from(2)
        }
    }
}

fn words<'a>(w: &'a [String], usage: &str) -> Result<(&'a str, &'a str), String> {
    match w {
        [a, b] => Ok((a, b)),
        _ => Err(format!("usage: {usage}")),
    }
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}; name an existing file"))
}

/// Asks each placement daemon in turn until the primary takes it.
async fn primary(at: &Option<String>, method: Method, path: &str, body: String) -> Result<Said, String> {
    let Some(at) = at else { return Err("name the placement daemons' HTTP addresses with --at ip:port,ip:port".into()) };
    let addrs: Vec<&str> = at.split(',').map(str::trim).collect();
    let mut last = String::new();
    for round in 0..20 {
        for a in &addrs {
            match ask(method.clone(), &format!("http://{a}{path}"), body.clone()).await {
                Ok(s) if s.code != 503 => return Ok(s),
                Ok(s) => last = String::from_utf8_lossy(&s.body).into_owned(),
                Err(e) => last = e,
            }
        }
        if round < 19 {
            tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        }
    }
    Err(format!("no placement daemon is the primary just now: {last}; try again when one was elected"))
}

fn shown(s: &Said) -> (String, bool) {
    let text = match serde_json::to_string_pretty(&s.json()) {
        Ok(t) if s.json() != Value::Null => t,
        _ => String::from_utf8_lossy(&s.body).into_owned(),
    };
    (text, s.code < 300)
}

async fn go(line: Line) -> Result<(String, bool), String> {
    let at = &line.at;
    let switch = |on: bool| json!({ "on": on }).to_string();
    let said = match line.command {
        None => return Err("name a command; --help lists them".into()),
        Some(Command::Charter(c)) => return charter(at, c).await,
        Some(Command::Zone(z)) => {
            let (verb, zone) = words(&z.words, "zone empty ZONE | zone restore ZONE")?;
            let on = match verb {
                "empty" => true,
                "restore" => false,
                _ => return Err("usage: zone empty ZONE | zone restore ZONE".into()),
            };
            primary(at, Method::PUT, &format!("/v1/zones/{zone}/empty"), switch(on)).await?
        }
        Some(Command::Worker(w)) => {
            let (verb, id) = words(&w.words, "worker drain WORKER | worker restore WORKER")?;
            let on = match verb {
                "drain" => true,
                "restore" => false,
                _ => return Err("usage: worker drain WORKER | worker restore WORKER".into()),
            };
            primary(at, Method::PUT, &format!("/v1/workers/{id}/drain"), switch(on)).await?
        }
        Some(Command::Store(s)) => {
            let ("retire", id) = words(&s.words, "store retire STORE")? else {
                return Err("usage: store retire STORE".into());
            };
            primary(at, Method::PUT, &format!("/v1/stores/{id}/retire"), String::new()).await?
        }
        Some(Command::Plan(p)) => {
            let [file] = p.words.as_slice() else { return Err("usage: plan FILE".into()) };
            primary(at, Method::POST, "/v1/plan", read(file)?).await?
        }
        Some(Command::Status(s)) => {
            let addrs = match (s.words.is_empty(), at) {
                (false, _) => s.words,
                (true, Some(at)) => at.split(',').map(|a| a.trim().to_string()).collect(),
                (true, None) => return Err("name a daemon's HTTP address, or the placement daemons with --at".into()),
            };
            let mut all = Vec::new();
            let mut good = true;
            for a in addrs {
                match ask(Method::GET, &format!("http://{a}/v1/status"), "").await {
                    Ok(s) => all.push(shown(&s).0),
                    Err(e) => {
                        good = false;
                        all.push(e);
                    }
                }
            }
            return Ok((all.join("\n"), good));
        }
    };
    Ok(shown(&said))
}

async fn charter(at: &Option<String>, c: CharterLine) -> Result<(String, bool), String> {
    let usage = "charter check FILE | charter apply FILE | charter patch FILE | charter show";
    if c.words == ["show"] {
        return Ok(shown(&primary(at, Method::GET, "/v1/charter", String::new()).await?));
    }
    let (verb, file) = words(&c.words, usage)?;
    let text = read(file)?;
    let method = match verb {
        "check" => {
            let fit = dw_charter::check::read(&text).and_then(|c| dw_charter::prelude::check(&c));
            let Err(e) = fit else { return Ok((format!("{file}: no faults"), true)) };
            let lines: Vec<String> = e.faults().iter().map(|f| format!("{}: {}; {}", f.path, f.wrong, f.remedy)).collect();
            return Ok((lines.join("\n"), false));
        }
        "apply" => Method::PUT,
        "patch" => Method::PATCH,
        _ => return Err(format!("usage: {usage}")),
    };
    let base = match c.base {
        Some(b) => b,
        None => {
            let s = primary(at, Method::GET, "/v1/charter", String::new()).await?;
            s.json()["version"].as_str().unwrap_or("0.0").to_string()
        }
    };
    let op = c.op.unwrap_or_else(|| format!("op-{:016x}", fastrand::u64(..)));
    Ok(shown(&primary(at, method, &format!("/v1/charter?base={base}&op={op}"), text).await?))
}
