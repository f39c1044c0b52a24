//! A configuration that differs from the usual one without denying anything that it allows.

use {
    crate::site::catalog,
    glade_catalog::{Catalog, Route, Service},
    glade_types::RouteName,
    std::time::Duration,
};

/// Latency objective of changed routes.
const CHANGED_OBJECTIVE: Duration = Duration::from_millis(250);
/// Attempts of changed routes.
const CHANGED_ATTEMPTS: u32 = 3;
/// Path of the route that is added.
const ADDED_PATH: &str = "/added/";

/// The configuration of `version`: every other version changes all routes and adds one.
pub fn changed_catalog(version: u64) -> Catalog {
    let usual = catalog(version);
    if version.is_multiple_of(2) {
        return usual;
    }
    let change = |route: &Route| Route {
        objective: CHANGED_OBJECTIVE,
        attempts: CHANGED_ATTEMPTS,
        ..route.clone()
    };
    let mut routes: Vec<Route> = usual.routes().map(|route| change(route)).collect();
    let added = routes.first().map(|first| Route {
        name: RouteName::new("added"),
        path_prefix: ADDED_PATH.to_owned(),
        ..first.clone()
    });
    routes.extend(added);
    let services: Vec<Service> = usual.services().cloned().collect();
    Catalog::new(version, *usual.limits(), routes, services)
}
