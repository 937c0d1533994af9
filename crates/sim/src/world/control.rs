//! The history of operators' orders and answers, for the checker.
use crate::prelude::*;

/// A configuration's text for comparing, without what placement fills in.
pub(super) fn plain(config: &Config) -> String {
    let mut bare = Config { spool_partitions: 0, ..config.clone() };
    bare.routes.iter_mut().for_each(|route| route.order_scope.clear());
    serde_json::to_value(&bare).unwrap_or_default().to_string()
}

/// What an operator's order asks for, in the checker's words.
pub(super) fn action(what: &What) -> Action {
    match what {
        What::Config(order) => Action::Configure(*order),
        What::Empty(zone) => Action::Evacuate { zone: zone.clone(), on: true },
        What::Restore(zone) => Action::Evacuate { zone: zone.clone(), on: false },
        What::Show | What::Read => Action::ReadConfiguration,
    }
}

/// What an operator learns from a verdict, or from none.
pub(super) fn answer(what: &What, verdict: Option<&ApiResponse>) -> Answer {
    let Some(verdict) = verdict else { return Answer::Unclear };
    match (verdict.code, what) {
        (200, What::Show | What::Read) => configuration(verdict),
        (404, What::Show | What::Read) => Answer::Configuration { revision: 0, content: String::new() },
        (200, _) => Answer::Acknowledged,
        (409 | 412, _) => Answer::OtherIsCurrent,
        (400 | 404 | 413 | 422, _) => Answer::Invalid,
        _ => Answer::Unclear,
    }
}

fn configuration(verdict: &ApiResponse) -> Answer {
    let text = verdict.body.as_ref().map(|body| String::from_utf8_lossy(body).to_string()).unwrap_or_default();
    match dw_config::check::read(&text) {
        Ok(config) => Answer::Configuration { revision: config.revision, content: plain(&config) },
        Err(error) => Answer::Configuration { revision: u64::MAX, content: error.to_string() },
    }
}

impl World {
    /// Reads the configuration now, and every so often if a script wants it.
    pub(super) fn read_configuration(&mut self) {
        let Some(pace) = self.reads.filter(|_| !self.stopped) else { return };
        self.soon(pace, Ev::Routed(Turn::Read));
        self.order(ApiRequest::ShowConfig, What::Read);
    }
}
