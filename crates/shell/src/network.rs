//! The one thread of all that goes over the network, in and out.
use crate::prelude::*;
use crate::run::{HttpSnafu, ListenSnafu, ThreadSnafu};
use crossbeam_channel::Sender;
use snafu::ResultExt;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;

/// Calls that wait to be begun.
const CALLS: usize = 4096;

/// What the core's thread sends by.
pub struct Network {
    pub wires: Arc<crate::wires::Wires>,
    pub calls: mpsc::Sender<(CallId, Call)>,
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
    let (wires, sockets) = crate::wires::bind(startup, me).context(ListenSnafu { addr: &startup.listen })?;
    let mut fronts = Vec::new();
    for front in &speech.fronts {
        let at = crate::front::bind(front).context(ListenSnafu { addr: &front.addr })?;
        fronts.push((at, front.clone()));
    }
    let (calls, todo) = mpsc::channel(CALLS);
    let (tx, rx) = std::sync::mpsc::sync_channel(1);
    let (http, intake) = (startup.http.clone(), startup.intake);
    let net = Network { wires: wires.clone(), calls };
    let serve = move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            let leaving = Arc::new(AtomicBool::new(false));
            tokio::spawn(crate::calls::serve(todo, speech.outbound, ring.clone()));
            for (at, front) in fronts {
                tokio::spawn(crate::front::serve(at, front, desk.clone(), intake, leaving.clone()));
            }
            tokio::spawn(watch_signals(ring.clone(), leaving));
            let own = (!http.is_empty()).then(|| crate::desk::bind(face, &http, desk)).transpose();
            let (own, said) = match own {
                Ok(own) => (own, Ok(())),
                Err(why) => (None, Err(why)),
            };
            let failed = said.is_err();
            let _ = tx.send(said);
            if failed {
                return;
            }
            if let Some(server) = own {
                tokio::spawn(server);
            }
            crate::wires::serve(wires, sockets, ring).await;
        });
    };
    std::thread::Builder::new().name("network".into()).spawn(serve).context(ThreadSnafu)?;
    match rx.recv() {
        Ok(Ok(())) => Ok(net),
        Ok(Err(why)) => HttpSnafu { addr: &startup.http, why }.fail(),
        Err(e) => HttpSnafu { addr: &startup.http, why: e.to_string() }.fail(),
    }
}

async fn watch_signals(ring: Sender<Event>, leaving: Arc<AtomicBool>) {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else { return };
    tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
    log::info!("{} {}", Note::Stopping.number(), Note::Stopping.what());
    leaving.store(true, Ordering::Relaxed);
    crate::wires::push(&ring, Event::Leave).await;
}
