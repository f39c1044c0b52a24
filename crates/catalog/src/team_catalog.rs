//! The form in which a configuration with teams is sent to other nodes. The serialized form of
//! [`Catalog`] lacks what concerns teams, so that nodes of earlier versions can decode it.

use {
    crate::{
        caller_limits::CallerLimits, catalog::Catalog, route::Route, service::Service, team::Team,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A [`Catalog`] that is serialized with its teams and with the routes that are public.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "Parts", into = "Parts")]
pub struct TeamCatalog(pub Arc<Catalog>);

/// The serialized form of a [`TeamCatalog`].
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Parts {
    version: u64,
    limits: CallerLimits,
    routes: Vec<RouteParts>,
    services: Vec<Service>,
    teams: Vec<Team>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct RouteParts {
    route: Route,
    is_public: bool,
}

impl From<Parts> for TeamCatalog {
    fn from(parts: Parts) -> Self {
        let route = |RouteParts { route, is_public }| Route { is_public, ..route };
        let routes = parts.routes.into_iter().map(route).collect();
        let catalog = Catalog::new(parts.version, parts.limits, routes, parts.services);
        Self(Arc::new(catalog.with_teams(parts.teams)))
    }
}

impl From<TeamCatalog> for Parts {
    fn from(TeamCatalog(catalog): TeamCatalog) -> Self {
        let route = |route: &Arc<Route>| RouteParts {
            route: Route::clone(route),
            is_public: route.is_public,
        };
        Self {
            version: catalog.version(),
            limits: *catalog.limits(),
            routes: catalog.routes().map(route).collect(),
            services: catalog.services().cloned().collect(),
            teams: catalog.teams().map(|team| Team::clone(team)).collect(),
        }
    }
}
