//! The one thread of all that goes over the network, in and out.
use crate::calls::HttpClient;
use crate::errors::{HttpSnafu, ListenSnafu, ThreadSnafu};
use crate::front::Leaving;
use crate::peer_transport::{PeerConnections, PeerTransport};
use crate::prelude::*;
use crate::settings::Settings;
use crossbeam_channel::Sender;
use snafu::ResultExt;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Steps of the core whose posts wait for the network.
const STEPS: usize = 4096;
/// How long the last words of a process may take.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// Something to be sent, or an answer to be given.
pub enum NetworkEffect {
    Frame(Daemon, Vec<u8>),
    Respond(RequestId, ApiResponse),
    Call(CallId, Call),
}

/// What one step of the core posts, and when it decided so.
pub struct StepEffects {
    pub decided_at: Time,
    pub effects: Vec<NetworkEffect>,
}

/// The network as the core's thread sees it.
pub struct Network {
    pub peer_transport: Arc<PeerTransport>,
    posts: mpsc::Sender<StepEffects>,
    thread: JoinHandle<()>,
}

impl Network {
    /// Hands over what one step posts, at the price of one wake-up; `Err` is
    /// what the network can't take.
    pub fn queue_step_effects(&self, posts: StepEffects) -> Result<(), StepEffects> {
        if posts.effects.is_empty() {
            return Ok(());
        }
        self.posts.try_send(posts).map_err(|e| e.into_inner())
    }
    /// Sends what waits, answers what is under way, and closes.
    pub fn shut_down(self) {
        drop(self.posts);
        // A network that failed has nothing left to say.
        let _ = self.thread.join();
    }
}

/// What the network's thread serves.
struct Served {
    wires: Arc<PeerTransport>,
    sockets: crate::peer_transport::Sockets,
    fronts: Vec<(std::net::TcpListener, Front)>,
    caller: HttpClient,
    desk: Arc<Desk>,
    settings: Settings,
    ring: Sender<Event>,
    leaving: Leaving,
}

/// Binds every address, starts the thread, and waits until it serves.
pub fn start(
    startup: &Startup,
    me: Member,
    face: Face,
    speech: Speech,
    desk: Arc<Desk>,
    ring: Sender<Event>,
) -> Result<Network, ShellError> {
    let (wires, sockets) = crate::peer_transport::bind(startup, me).context(ListenSnafu { addr: &startup.listen })?;
    let mut fronts = Vec::new();
    for front in &speech.fronts {
        let at = crate::front::bind(front).context(ListenSnafu { addr: &front.addr })?;
        fronts.push((at, front.clone()));
    }
    let caller = HttpClient::new(speech.outbound, ring.clone());
    let served = Served {
        wires: wires.clone(),
        sockets,
        fronts,
        caller,
        desk,
        settings: Settings::new(startup.clone()),
        ring,
        leaving: Leaving::default(),
    };
    let (posts, todo) = mpsc::channel(STEPS);
    let (tx, rx) = std::sync::mpsc::sync_channel(1);
    let http = startup.http.clone();
    let serve = move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            let own = (!http.is_empty()).then(|| crate::desk::bind(face, &http, served.desk.clone())).transpose();
            match own {
                Err(why) => return drop(tx.send(Err(why))),
                Ok(server) => drop(server.map(tokio::spawn)),
            }
            let _ = tx.send(Ok(()));
            served.run(todo).await;
        });
    };
    let thread = std::thread::Builder::new().name("network".into()).spawn(serve).context(ThreadSnafu)?;
    let said = rx.recv().unwrap_or_else(|e| Err(e.to_string()));
    if let Err(why) = said {
        return HttpSnafu { addr: &startup.http, why }.fail();
    }
    Ok(Network { peer_transport: wires, posts, thread })
}

impl Served {
    async fn run(self, mut todo: mpsc::Receiver<StepEffects>) {
        tokio::spawn(watch_signals(self.ring.clone(), self.leaving.clone()));
        let (taken, settings) = watch::channel(self.settings.now().clone());
        tokio::spawn(crate::settings::keep(self.settings, taken));
        tokio::spawn(learn(self.wires.clone(), settings.clone()));
        for (at, front) in self.fronts {
            tokio::spawn(crate::front::serve(at, front, self.desk.clone(), settings.clone(), self.leaving.clone()));
        }
        tokio::spawn(crate::peer_transport::serve(self.wires.clone(), self.sockets, self.ring.clone()));
        let mut lines = PeerConnections::new(self.wires, self.ring);
        while let Some(StepEffects { decided_at: decided, effects: posts }) = todo.recv().await {
            for p in posts {
                match p {
                    NetworkEffect::Frame(to, frame) => lines.write(to, frame),
                    NetworkEffect::Respond(id, v) => self.desk.tell_decided(id, v, decided),
                    NetworkEffect::Call(id, call) => self.caller.start_call(id, call, decided),
                }
            }
        }
        let last = async { tokio::join!(lines.close(), self.leaving.end()) };
        let _ = tokio::time::timeout(LAST_WORDS, last).await;
    }
}

/// Takes over where seeds are, each time the settings change.
async fn learn(wires: Arc<PeerTransport>, mut settings: watch::Receiver<Startup>) {
    while settings.changed().await.is_ok() {
        let seeds = settings.borrow_and_update().seeds().unwrap_or_default();
        for s in seeds {
            wires.set_peer_address(&s.id, &s.addr);
        }
    }
}

async fn watch_signals(ring: Sender<Event>, leaving: Leaving) {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else { return };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    log::info!("{} {}", LogEvent::Stopping.number(), LogEvent::Stopping.description());
    leaving.tell();
    crate::peer_transport::push_event(&ring, Event::Shutdown).await;
}
