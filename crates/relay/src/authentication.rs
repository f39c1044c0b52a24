//! Authentication of callers by the keys of teams, where the configuration has teams. Neither a log
//! line nor an answer repeats any part of what the caller sent.

use {
    crate::{
        admitted_request::AdmittedRequest,
        dialect::{Dialect, TeamMetadata},
        relay::Relay,
        wait_queue::Refused,
    },
    glade_catalog::{Catalog, Route, Team, TeamKey},
    glade_dispatch::{ClusterView, Refusal},
    hyper::{
        HeaderMap,
        header::{AUTHORIZATION, Entry},
    },
    std::{sync::Arc, time::Duration},
};

const SCHEME: &str = "bearer";

/// Why a request is not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyFault {
    /// There is no `Authorization` header.
    Missing,
    /// There are several `Authorization` headers.
    Repeated,
    /// The scheme is not `Bearer`.
    OtherScheme,
    /// The key is empty.
    Empty,
    /// The key is longer than any key of a team.
    TooLong,
    /// No team has the key.
    Unknown,
}

impl KeyFault {
    /// Short name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Missing => "no_key",
            Self::Repeated => "several_keys",
            Self::OtherScheme => "other_scheme",
            Self::Empty => "empty_key",
            Self::TooLong => "key_too_long",
            Self::Unknown => "unknown_key",
        }
    }
}

/// Finds the team whose key a request on `route` with `headers` carries. There is none on public
/// routes and if the configuration has no teams.
///
/// # Errors
///
/// The request needs a team's key and doesn't carry one.
pub(crate) fn authenticate(
    catalog: &Catalog,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Team>>, KeyFault> {
    if !catalog.has_teams() || route.is_public {
        return Ok(None);
    }
    let key = bearer_key(headers)?;
    catalog.team_for_key(key).map(|team| Some(Arc::clone(team))).ok_or(KeyFault::Unknown)
}

/// Has `Debug` omit the values of keys in `headers`.
pub(crate) fn redact_keys(headers: &mut HeaderMap) {
    if let Entry::Occupied(mut values) = headers.entry(AUTHORIZATION) {
        values.iter_mut().for_each(|value| value.set_sensitive(true));
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<&str, KeyFault> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyFault::Missing)?;
    if values.next().is_some() {
        return Err(KeyFault::Repeated);
    }
    let bytes = value.as_bytes().trim_ascii();
    let scheme_len = bytes.iter().position(|byte| *byte == b' ').unwrap_or(bytes.len());
    let (scheme, key) = bytes.split_at(scheme_len);
    if !scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) {
        return Err(KeyFault::OtherScheme);
    }
    let key = key.trim_ascii_start();
    if key.is_empty() {
        return Err(KeyFault::Empty);
    }
    if key.len() > TeamKey::BYTES_MAX {
        return Err(KeyFault::TooLong);
    }
    std::str::from_utf8(key).map_err(|_| KeyFault::Unknown)
}

impl AdmittedRequest {
    /// The request's team. A request that was admitted before the configuration had teams gets the team
    /// of the configuration in `view`.
    pub(crate) fn team(&self, view: &ClusterView) -> Option<Arc<Team>> {
        self.routed.team.clone().or_else(|| {
            let catalog = view.catalog.as_ref()?;
            authenticate(catalog, &self.routed.route, &self.head.headers).ok().flatten()
        })
    }

    /// What servers are told of `team`, the request's team. The caller's key is forwarded only if neither
    /// the configuration under which the request was admitted nor the one in `view` has teams.
    pub(crate) fn team_metadata<'a>(
        &self,
        view: &ClusterView,
        team: Option<&'a Team>,
    ) -> TeamMetadata<'a> {
        let has_teams = self.routed.catalog.has_teams()
            || view.catalog.as_ref().is_some_and(|catalog| catalog.has_teams());
        match team {
            Some(team) => TeamMetadata::Team(&team.name),
            None if has_teams => TeamMetadata::Public,
            None => TeamMetadata::NoTeams,
        }
    }

    /// True if the request's key became invalid after its head was read. Requests that a server may
    /// have run don't need a valid key any more.
    pub(crate) fn is_revoked(&self, view: &ClusterView) -> bool {
        let Some(catalog) = &view.catalog else { return false };
        !Arc::ptr_eq(catalog, &self.routed.catalog)
            && !self.failed_attempts().may_have_run()
            && authenticate(catalog, &self.routed.route, &self.head.headers).is_err()
    }
}

impl<D: Dialect> Relay<D> {
    /// Returns why `admitted` must not be sent, as soon as its key is invalid.
    pub(crate) async fn until_revoked(&self, admitted: &AdmittedRequest) -> Refused {
        loop {
            let changed = self.catalog_changed.notified();
            if admitted.is_revoked(&self.view.load()) {
                return Refused { reason: Refusal::KeyRevoked, retry_after: Duration::ZERO };
            }
            changed.await;
        }
    }
}
