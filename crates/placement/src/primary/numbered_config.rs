//! Configurations that carry a revision number given by their operator.
use super::operator_requests::{config_error_response, error_response};
use super::{operation_done, ProposalOrigin, COMMIT_MAX};
use crate::prelude::*;
use serde_json::json;

/// The most requests that may wait for the same order.
pub(super) const MAX_WAITING_REQUESTS: usize = 64;
/// Stores are taken to be still joining while the last one joined within this time.
const STORE_JOIN_QUIET_PERIOD: Span = Span::millis(500);
/// When a caller may send an order again that can't be accepted yet.
const RETRY_AFTER: Span = Span::millis(300);

/// The kind of an order: a patch of the configuration or a complete one.
pub(super) fn order_kind(is_patch: bool) -> OrderKind {
    match is_patch {
        true => OrderKind::Patch,
        false => OrderKind::Full,
    }
}

impl Placement {
    /// Handles a configuration or patch with revision number `base`. Sent again while in
    /// progress it waits for the same result; sent again later it gets the recorded one.
    pub(super) fn revise_config(
        &mut self,
        id: RequestId,
        base: u64,
        json: &str,
        is_patch: bool,
        now: Time,
    ) -> Option<ApiResponse> {
        let op = OperationId::numbered(order_kind(is_patch), base, json);
        let known = self.committed.operations.status(&op, None);
        if let OperationStatus::Done(version) = known {
            return Some(operation_done(version, &op));
        }
        if let Some(ids) = self.waiting_requests(&op) {
            if ids.len() >= MAX_WAITING_REQUESTS {
                return Some(retry_later("this order is under way; ask again"));
            }
            ids.push(id);
            return None;
        }
        if base != self.rules.revision && known == OperationStatus::Unknown {
            return Some(self.unrecorded_response(&op, json, is_patch, now));
        }
        if base != self.rules.revision {
            return Some(self.stale_revision_response(self.committed.config_version));
        }
        let canonical = match self.canonical_revision(json, is_patch, now) {
            Ok(json) => json,
            Err(ConfigRejection::RetryLater(reason)) => return Some(retry_later(reason)),
            Err(ConfigRejection::Invalid(e)) => {
                self.log(LogEvent::ConfigRefused, e.to_string());
                return Some(config_error_response(&e));
            }
        };
        let order = Order::Config { op: op.clone(), request: None, base: self.committed.config_version, json: canonical };
        self.propose(order, ProposalOrigin::NumberedConfigRequests(vec![id], op), now);
        None
    }

    /// The response to an order on a base so old that its record may have been dropped: a
    /// complete configuration that is in force was accepted; of any other it is unknown.
    fn unrecorded_response(&self, op: &OperationId, json: &str, is_patch: bool, now: Time) -> ApiResponse {
        if !is_patch && self.is_in_force(json, now) {
            return operation_done(self.committed.config_version, op);
        }
        retry_later("this order is older than the records; whether it was taken is unknown; read the configuration")
    }

    /// Whether a complete configuration is the one in force.
    fn is_in_force(&self, json: &str, now: Time) -> bool {
        let (Ok(mut config), Ok(current)) = (dw_config::check::read(json), self.current_config()) else { return false };
        if self.assign_spool_partitions(&mut config, now).is_err() {
            return false;
        }
        assign_order_scopes(&current, &mut config);
        canonical_json(&config).is_ok_and(|text| text == self.committed.config)
    }

    /// The requests that wait for a proposed order.
    fn waiting_requests(&mut self, op: &OperationId) -> Option<&mut Vec<RequestId>> {
        self.proposals.values_mut().find_map(|(_, p)| match p {
            ProposalOrigin::NumberedConfigRequests(ids, o) if o == op => Some(ids),
            _ => None,
        })
    }

    /// The canonical form of a numbered configuration that may follow the one in force.
    fn canonical_revision(&self, json: &str, is_patch: bool, now: Time) -> Result<String, ConfigRejection> {
        let current = self.current_config().map_err(ConfigRejection::Invalid)?;
        let read = match is_patch {
            false => dw_config::check::read(json),
            true => patch(&current, json),
        };
        let mut c = read.map_err(ConfigRejection::Invalid)?;
        self.assign_spool_partitions(&mut c, now)?;
        assign_order_scopes(&current, &mut c);
        self.validate_config(&c, true).map_err(ConfigRejection::Invalid)?;
        canonical_json(&c).map_err(ConfigRejection::Invalid)
    }

    /// The configuration in force; an empty one when there is none.
    pub(super) fn current_config(&self) -> Result<Config, ConfigError> {
        if self.committed.config.is_empty() {
            return Ok(Config::default());
        }
        dw_config::check::read(&self.committed.config)
    }

    /// Sets the number of partitions of the spool (the queue for routed requests) if it is
    /// not set yet. It is derived from the number of stores and never changes afterwards.
    pub(super) fn assign_spool_partitions(&self, c: &mut Config, now: Time) -> Result<(), ConfigRejection> {
        if c.spool_partitions == 0 {
            c.spool_partitions = self.rules.spool_partitions;
        }
        if c.spool_partitions > 0 || c.routes.is_empty() {
            return Ok(());
        }
        let live: Vec<&Member> = self.committed.members_of_kind(DaemonKind::Store).filter(|m| self.is_live(&m.id, now)).collect();
        let zones: BTreeSet<&Zone> = live.iter().map(|m| &m.zone).collect();
        if live.len() < 3 || zones.len() < 2 || now.since(self.last_store_joined_at) < STORE_JOIN_QUIET_PERIOD {
            return Err(ConfigRejection::RetryLater(
                "the stores are still coming in, three in two zones are needed; send it again",
            ));
        }
        let stores = self.committed.members_of_kind(DaemonKind::Store).filter(|m| !self.is_retiring(&m.id)).count();
        c.spool_partitions = (stores as u32 * 2).clamp(6, 64);
        Ok(())
    }

    /// The response to a change based on another revision than the one in force.
    pub(super) fn stale_revision_response(&self, v: Version) -> ApiResponse {
        let revision = self.rules.revision;
        let text = json!({"error": "the base is no longer the newest; read the charter again and mend your change",
                          "revision": revision, "version": v.to_string()});
        ApiResponse::json(409, text.to_string())
    }
}

/// Why a configuration is not accepted.
pub(super) enum ConfigRejection {
    /// Not now; the text says why.
    RetryLater(&'static str),
    /// It has faults.
    Invalid(ConfigError),
}

/// The form in which a configuration is committed; an error if it is larger than
/// `COMMIT_MAX`.
pub(super) fn canonical_json(c: &Config) -> Result<String, ConfigError> {
    let json = serde_json::to_string(c).map_err(|source| ConfigError::Unreadable { source })?;
    if json.len() > COMMIT_MAX {
        return Err(ConfigError::TooLarge { size: json.len(), max: COMMIT_MAX });
    }
    Ok(json)
}

/// The response to an order that may be sent again after `RETRY_AFTER`.
pub(super) fn retry_later(reason: &str) -> ApiResponse {
    ApiResponse { retry_after: Some(RETRY_AFTER), ..error_response(503, reason) }
}
