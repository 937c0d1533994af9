//! Configurations that carry their operator's own number.
use super::asks::{faulty, wrong};
use super::{done, Pending, COMMIT_MAX};
use crate::prelude::*;
use serde_json::json;

/// Those who wait for one and the same order, at most.
pub(super) const WAITING_MAX: usize = 64;
/// Stores are still coming in when the newest one joined within this.
const GROWING: Span = Span::millis(500);
const AGAIN: Span = Span::millis(300);

/// Whether an order is a patch of a configuration or a whole one.
pub(super) fn kind_of(patch: bool) -> OrderKind {
    match patch {
        true => OrderKind::Patch,
        false => OrderKind::Whole,
    }
}

impl Placement {
    pub(super) fn revise(&mut self, id: RequestId, base: u64, json: &str, part: bool, now: Time) -> Option<ApiResponse> {
        let op = OperationId::numbered(kind_of(part), base, json);
        let known = self.hard.operations.known(&op, None);
        if let Known::Done(version) = known {
            return Some(done(version, &op));
        }
        if let Some(all) = self.waiting(&op) {
            if all.len() >= WAITING_MAX {
                return Some(later("this order is under way; ask again"));
            }
            all.push(id);
            return None;
        }
        if base != self.rules.revision && known == Known::Unknown {
            return Some(self.unrecorded(&op, json, part, now));
        }
        if base != self.rules.revision {
            return Some(self.outrun(self.hard.config_version));
        }
        let canon = match self.numbered(json, part, now) {
            Ok(json) => json,
            Err(Unfit::Later(why)) => return Some(later(why)),
            Err(Unfit::Wrong(e)) => {
                self.note(LogEvent::ConfigRefused, e.to_string());
                return Some(faulty(&e));
            }
        };
        let order = Order::Config { op: op.clone(), request: None, base: self.hard.config_version, json: canon };
        self.propose(order, Pending::Revision(vec![id], op), now);
        None
    }

    /// The answer to an order on a base so old that its record may be gone:
    /// a whole configuration that is in force was taken, of any other it can't
    /// be known.
    fn unrecorded(&self, op: &OperationId, json: &str, part: bool, now: Time) -> ApiResponse {
        if !part && self.in_force(json, now) {
            return done(self.hard.config_version, op);
        }
        later("this order is older than the records; whether it was taken is unknown; read the configuration")
    }

    /// Whether a whole configuration is the very one in force.
    fn in_force(&self, json: &str, now: Time) -> bool {
        let Ok(mut whole) = dw_config::check::read(json) else { return false };
        if self.settle(&mut whole, now).is_err() {
            return false;
        }
        canonical(&whole).is_ok_and(|text| text == self.hard.config)
    }

    /// Those who wait for an order that is under way.
    fn waiting(&mut self, op: &OperationId) -> Option<&mut Vec<RequestId>> {
        self.pending.values_mut().find_map(|(_, p)| match p {
            Pending::Revision(all, o) if o == op => Some(all),
            _ => None,
        })
    }

    /// The canonical form of a numbered configuration that may follow the one in force.
    fn numbered(&self, json: &str, part: bool, now: Time) -> Result<String, Unfit> {
        let read = match part {
            false => dw_config::check::read(json),
            true => self.standing().and_then(|c| patch(&c, json)),
        };
        let mut c = read.map_err(Unfit::Wrong)?;
        self.settle(&mut c, now)?;
        self.fit(&c, true).map_err(Unfit::Wrong)?;
        canonical(&c).map_err(Unfit::Wrong)
    }

    /// The configuration in force; an empty one when there is none.
    pub(super) fn standing(&self) -> Result<Config, ConfigError> {
        if self.hard.config.is_empty() {
            return Ok(Config::default());
        }
        dw_config::check::read(&self.hard.config)
    }

    /// Fills in what placement chooses: the spool's partitions, once and for
    /// all, by the stores there are.
    pub(super) fn settle(&self, c: &mut Config, now: Time) -> Result<(), Unfit> {
        if c.spool_partitions == 0 {
            c.spool_partitions = self.rules.spool_partitions;
        }
        if c.spool_partitions > 0 || c.routes.is_empty() {
            return Ok(());
        }
        let live: Vec<&Member> = self.hard.of(DaemonKind::Store).filter(|m| self.live(&m.id, now)).collect();
        let zones: BTreeSet<&Zone> = live.iter().map(|m| &m.zone).collect();
        if live.len() < 3 || zones.len() < 2 || now.since(self.grown) < GROWING {
            return Err(Unfit::Later("the stores are still coming in, three in two zones are needed; send it again"));
        }
        let stores = self.hard.of(DaemonKind::Store).filter(|m| !self.retiring(&m.id)).count();
        c.spool_partitions = (stores as u32 * 2).clamp(6, 64);
        Ok(())
    }

    /// Another revision is in force than the one this was made from.
    pub(super) fn outrun(&self, v: Version) -> ApiResponse {
        let revision = self.rules.revision;
        let text = json!({"error": "the base is no longer the newest; read the charter again and mend your change",
                          "revision": revision, "version": v.to_string()});
        ApiResponse::json(409, text.to_string())
    }
}

/// Why a configuration can't be taken, now or at all.
pub(super) enum Unfit {
    Later(&'static str),
    Wrong(ConfigError),
}

pub(super) fn canonical(c: &Config) -> Result<String, ConfigError> {
    let json = serde_json::to_string(c).map_err(|source| ConfigError::Unreadable { source })?;
    if json.len() > COMMIT_MAX {
        return Err(ConfigError::TooLarge { size: json.len(), max: COMMIT_MAX });
    }
    Ok(json)
}

pub(super) fn later(why: &str) -> ApiResponse {
    ApiResponse { retry_after: Some(AGAIN), ..wrong(503, why) }
}
