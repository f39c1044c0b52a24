//! The operators' configuration at one version, indexed for lookups of routes and services.

use {
    crate::{
        caller_limits::CallerLimits, route::Route, service::Service, team::Team, team_key::TeamKey,
    },
    glade_types::ServiceName,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// The operators' configuration at one version, indexed for lookups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct Catalog {
    version: u64,
    limits: CallerLimits,
    /// Routes by host. Each host's routes are sorted by path prefix, longest first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    /// Teams in the order of the configuration. Not serialized; see [`crate::TeamCatalog`].
    teams: Vec<Arc<Team>>,
    teams_by_key: HashMap<TeamKey, Arc<Team>>,
}

/// The serialized form of a [`Catalog`] without teams, with routes and services as flat lists.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Parts {
    version: u64,
    limits: CallerLimits,
    routes: Vec<Route>,
    services: Vec<Service>,
}

impl Catalog {
    /// Indexes a configuration, with all numbers bounded. Every new configuration has a higher version
    /// than the one before.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes.into_iter().map(Route::bounded) {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service.bounded())).collect();
        Self {
            version,
            limits: limits.bounded(),
            routes: by_host,
            services,
            teams: Vec::new(),
            teams_by_key: HashMap::new(),
        }
    }

    /// Replaces the teams. Of two teams with the same key, the first one has it; what decodes a
    /// configuration rejects such teams.
    pub fn with_teams(self, teams: Vec<Team>) -> Self {
        let teams: Vec<Arc<Team>> =
            teams.into_iter().map(|team| Arc::new(team.bounded())).collect();
        let mut teams_by_key = HashMap::new();
        for team in &teams {
            for key in team.keys() {
                teams_by_key.entry(*key).or_insert_with(|| Arc::clone(team));
            }
        }
        Self { teams, teams_by_key, ..self }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on callers' connections and requests.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`. A port in `host` is
    /// ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// All teams, in the order of the configuration.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.iter()
    }

    /// Returns true if the configuration has teams, so that requests need a team's key unless their
    /// route is public.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Returns the team that has `key`. The time that this takes doesn't depend on how much of the key
    /// is right, because only digests are looked up and compared.
    pub fn team_for_key(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(&TeamKey::new(key))
    }
}

impl From<Parts> for Catalog {
    fn from(parts: Parts) -> Self {
        Self::new(parts.version, parts.limits, parts.routes, parts.services)
    }
}

impl From<Catalog> for Parts {
    fn from(catalog: Catalog) -> Self {
        Self {
            version: catalog.version,
            limits: catalog.limits,
            routes: catalog.routes().map(|route| Route::clone(route)).collect(),
            services: catalog.services.into_values().collect(),
        }
    }
}
