//! The stand-ins for workers and receivers of call-backs, and the operator's configuration.
use crate::fleet::{ms, Fleet, Listed, ZONES};
use crate::http::{self, Conn, Request, Response};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with one run.
#[derive(Clone, Debug)]
pub enum Act {
    /// Works for so long and succeeds.
    Done(Duration),
    /// Works for so long and answers this status.
    Status(Duration, u16),
}

/// One run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began_ms: u64,
    pub ended_ms: u64,
    /// The status answered; 0 while it runs.
    pub status: u16,
    pub seal: String,
}

#[derive(Clone)]
pub struct World {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub began: Instant,
}

type Decide = Arc<dyn Fn(&str, &Request, u32) -> Act + Send + Sync>;

impl World {
    pub fn new(fleet: &Fleet) -> World {
        World { runs: Arc::default(), began: fleet.began }
    }

    /// Starts the workers of a service, spread over the zones, and lists them.
    pub fn add_workers(&self, fleet: &Fleet, service: &str, count: usize, slots: u32, first: usize, decide: Decide) {
        for n in 0..count {
            let addr = format!("127.{}.8.{}:{}", fleet.net, first + n, fleet.ports.worker);
            let id = format!("i-{service}-{n}");
            let entry = Listed {
                id: id.clone(),
                service: service.into(),
                address: addr.clone(),
                zone: ZONES[n % 3].into(),
                slots,
                state: "up".into(),
            };
            self.serve_worker(&addr, &id, decide.clone());
            fleet.workers.lock().expect("the list").push(entry);
        }
    }

    fn serve_worker(&self, addr: &str, instance: &str, decide: Decide) {
        let (world, instance) = (self.clone(), instance.to_string());
        let tries: Mutex<BTreeMap<String, u32>> = Mutex::default();
        http::serve(addr.parse().expect("an address"), move |request, conn| {
            if request.method == "GET" && request.path == "/health" {
                return conn.respond(&Response::new(200).with("X-Dahliawick-Instance-Id", &instance));
            }
            let id = request.header("X-Dahliawick-Request-Id").unwrap_or("").to_string();
            let other = request.header("X-Dahliawick-Target-Instance").is_some_and(|i| i != instance);
            if other && !instance.is_empty() {
                return conn
                    .respond(&Response::new(421).with("X-Dahliawick-Request-Id", &id).with("X-Dahliawick-Not-Executed", "1"));
            }
            let count = {
                let mut tries = tries.lock().expect("tries");
                let count = tries.entry(id.clone()).or_default();
                *count += 1;
                *count
            };
            let act = decide(&instance, &request, count);
            world.run(&id, act, conn)
        })
        .expect("a worker's address");
    }

    fn run(&self, id: &str, act: Act, conn: &mut Conn) -> io::Result<()> {
        let at = {
            let mut runs = self.runs.lock().expect("runs");
            runs.push(Run { id: id.into(), began_ms: ms(self.began), ended_ms: 0, status: 0, seal: String::new() });
            runs.len() - 1
        };
        let (work, status) = match act {
            Act::Done(work) => (work, 200),
            Act::Status(work, status) => (work, status),
        };
        std::thread::sleep(work);
        let seal = format!("s.{at}.{id}");
        {
            let mut runs = self.runs.lock().expect("runs");
            runs[at].ended_ms = ms(self.began);
            runs[at].status = status;
            if status == 200 {
                runs[at].seal = seal.clone();
            }
        }
        match status {
            200 => conn.respond(&Response::new(200).with("X-Dahliawick-Request-Id", id).with("X-Dahliawick-Server-Seal", &seal)),
            _ => conn.respond(&Response::new(status).with("X-Dahliawick-Request-Id", id)),
        }
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().expect("runs").iter().filter(|r| r.id == id).cloned().collect()
    }
}

/// One route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub name: String,
    pub prefix: String,
    pub service: String,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub ordered: bool,
    pub callback: bool,
}

pub const HOST: &str = "deno95.example";

impl Route {
    pub fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{}\",\"routeType\":\"deferred\",\"timeoutMs\":{},\"targetLatencyMs\":80,\"priority\":1,\"service\":\"{}\",\"maxRetries\":{},\"inOrder\":{},\"retentionS\":90.0,\"callbackUrl\":{},\"startTargetMs\":600}}",
            self.name, self.prefix, self.timeout_ms, self.service, self.attempts, self.ordered, self.callback
        )
    }
}

pub fn service_json(name: &str, endpoint: Option<&str>, rate: f64) -> String {
    let endpoint = endpoint.map_or("null".to_string(), |e| format!("\"{e}\""));
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":88,\"protocol\":\"h1\",\"tlsEnabled\":false,\"coldStartS\":3.0,\"coldPerS\":0.0,\"ratePerS\":{rate:.1},\"nativeDedup\":false,\"pullMode\":false,\"staticEndpoint\":{endpoint}}}"
    )
}

pub fn config_json(revision: u64, routes: &[Route], services: &[String]) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    format!(
        "{{\"revision\":{revision},\"routeTable\":[{}],\"serviceTable\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
