//! The thread that does all network I/O: peers, incoming HTTP and outgoing calls.
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

/// How many steps of the core may have effects that wait for the network thread.
const MAX_QUEUED_STEPS: usize = 4096;
/// How long a process may take on shutdown to send what is queued.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Something that the core has the network thread send.
pub enum NetworkEffect {
    /// An encoded frame for a peer.
    Frame(Daemon, Vec<u8>),
    /// The response to an HTTP request.
    Respond(RequestId, ApiResponse),
    /// An outgoing HTTP call.
    Call(CallId, Call),
}

/// The network effects of one step of the core, and when the core decided on them.
pub struct StepEffects {
    pub decided_at: Time,
    pub effects: Vec<NetworkEffect>,
}

/// The core thread's handle to the network thread.
pub struct Network {
    pub peer_transport: Arc<PeerTransport>,
    step_effects: mpsc::Sender<StepEffects>,
    leaving: Leaving,
    thread: JoinHandle<()>,
}

impl Network {
    /// Queues the effects of one step, with one wake-up of the network thread for all of
    /// them. `Err` returns the effects if the queue is full or the thread has ended.
    pub fn queue_step_effects(&self, step: StepEffects) -> Result<(), StepEffects> {
        if step.effects.is_empty() {
            return Ok(());
        }
        self.step_effects.try_send(step).map_err(|e| e.into_inner())
    }
    /// Lets callers' connections end, each once the request under way on it is answered;
    /// returns whether none is left. The core has to go on meanwhile.
    pub fn end_connections(&self) -> bool {
        self.leaving.begin_end();
        self.leaving.has_ended()
    }
    /// Sends what is queued, finishes the HTTP requests in progress, and ends the thread.
    pub fn shut_down(self) {
        drop(self.step_effects);
        // An error means that the thread panicked; nothing is left to send then.
        let _ = self.thread.join();
    }
}

/// What the network thread works with.
struct NetworkThread {
    peer_transport: Arc<PeerTransport>,
    sockets: crate::peer_transport::Sockets,
    fronts: Vec<(std::net::TcpListener, Front)>,
    http_client: HttpClient,
    desk: Arc<Desk>,
    settings: Settings,
    events: Sender<Event>,
    leaving: Leaving,
}

/// Binds every address, starts the network thread, and waits until it serves.
pub fn start(
    startup: &Startup,
    me: Member,
    face: Face,
    speech: Speech,
    desk: Arc<Desk>,
    events: Sender<Event>,
) -> Result<Network, ShellError> {
    let (peer_transport, sockets) = crate::peer_transport::bind(startup, me).context(ListenSnafu { addr: &startup.listen })?;
    let mut fronts = Vec::new();
    for front in &speech.fronts {
        let listener = crate::front::bind(front).context(ListenSnafu { addr: &front.addr })?;
        fronts.push((listener, front.clone()));
    }
    let http_client = HttpClient::new(speech.outbound, events.clone());
    let leaving = Leaving::default();
    let network_thread = NetworkThread {
        peer_transport: peer_transport.clone(),
        sockets,
        fronts,
        http_client,
        desk,
        settings: Settings::new(startup.clone()),
        events,
        leaving: leaving.clone(),
    };
    let (step_effects, queued_steps) = mpsc::channel(MAX_QUEUED_STEPS);
    let (started_tx, started_rx) = std::sync::mpsc::sync_channel(1);
    let http = startup.http.clone();
    let serve = move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            let own_server = (!http.is_empty()).then(|| crate::desk::bind(face, &http, network_thread.desk.clone())).transpose();
            match own_server {
                Err(why) => return drop(started_tx.send(Err(why))),
                Ok(server) => drop(server.map(tokio::spawn)),
            }
            let _ = started_tx.send(Ok(()));
            network_thread.run(queued_steps).await;
        });
    };
    let thread = std::thread::Builder::new().name("network".into()).spawn(serve).context(ThreadSnafu)?;
    let started = started_rx.recv().unwrap_or_else(|e| Err(e.to_string()));
    if let Err(why) = started {
        return HttpSnafu { addr: &startup.http, why }.fail();
    }
    Ok(Network { peer_transport, step_effects, leaving, thread })
}

impl NetworkThread {
    async fn run(self, mut queued_steps: mpsc::Receiver<StepEffects>) {
        tokio::spawn(watch_signals(self.events.clone(), self.leaving.clone()));
        let (settings_tx, settings) = watch::channel(self.settings.now().clone());
        tokio::spawn(crate::settings::keep(self.settings, settings_tx));
        tokio::spawn(update_seed_addresses(self.peer_transport.clone(), settings.clone()));
        for (listener, front) in self.fronts {
            tokio::spawn(crate::front::serve(listener, front, self.desk.clone(), settings.clone(), self.leaving.clone()));
        }
        tokio::spawn(crate::peer_transport::serve(self.peer_transport.clone(), self.sockets, self.events.clone()));
        let mut connections = PeerConnections::new(self.peer_transport, self.events);
        while let Some(StepEffects { decided_at, effects }) = queued_steps.recv().await {
            for effect in effects {
                match effect {
                    NetworkEffect::Frame(to, frame) => connections.write(to, frame),
                    NetworkEffect::Respond(id, response) => self.desk.tell_decided(id, response, decided_at),
                    NetworkEffect::Call(id, call) => self.http_client.start_call(id, call, decided_at),
                }
            }
        }
        let shutdown = async { tokio::join!(connections.close(), self.leaving.end()) };
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, shutdown).await;
    }
}

/// Updates the addresses of the seeds each time the settings change.
async fn update_seed_addresses(peer_transport: Arc<PeerTransport>, mut settings: watch::Receiver<Startup>) {
    while settings.changed().await.is_ok() {
        let seeds = settings.borrow_and_update().seeds().unwrap_or_default();
        for seed in seeds {
            peer_transport.set_peer_address(&seed.id, &seed.addr);
        }
    }
}

/// Starts the shutdown at the first SIGTERM or SIGINT.
async fn watch_signals(events: Sender<Event>, leaving: Leaving) {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else { return };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    log::info!("{} {}", LogEvent::Stopping.number(), LogEvent::Stopping.description());
    leaving.tell();
    crate::peer_transport::push_event(&events, Event::Shutdown).await;
}
