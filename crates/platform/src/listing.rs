//! The VM list: what it says about VMs and backend servers.

use {
    glade_types::{BackendId, DataCentre, ModelName, VmId},
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
};

/// A VM of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VmRecord {
    /// Name of the VM.
    pub name: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where its entry daemon hears peers.
    pub entry_peer: SocketAddr,
    /// Where its planner daemon hears peers.
    pub planner_peer: SocketAddr,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// What a backend server does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendKind {
    /// Runs models.
    Engine {
        /// Whether it refuses orders with an old fencing token.
        enforces_fencing: bool,
    },
    /// Serves the plain service of this name.
    Service(ModelName),
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BackendRecord {
    /// Name of the server.
    pub id: BackendId,
    /// What it does.
    pub kind: BackendKind,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it is leaving and may get no new work.
    pub leaving: bool,
}

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// VMs of the system.
    pub vms: Vec<VmRecord>,
    /// Backend servers.
    pub backends: Vec<BackendRecord>,
}

/// The `EndpointSlice` form of the list.
pub mod slices {
    use super::*;

    /// Label that names the service of a slice.
    pub const SERVICE_LABEL: &str = "kubernetes.io/service-name";
    /// Label that says whether the engines of a slice refuse old fencing tokens.
    pub const FENCING_LABEL: &str = "persimmonglade/enforces-fencing";
    /// Service name of the system's own VMs.
    pub const VM_SERVICE: &str = "persimmonglade";
    /// Service name of the model engines.
    pub const ENGINE_SERVICE: &str = "engine";

    /// `EndpointSliceList`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct SliceList {
        /// The slices.
        pub items: Vec<Slice>,
    }

    /// `EndpointSlice`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct Slice {
        /// Labels.
        pub metadata: Metadata,
        /// The servers.
        pub endpoints: Vec<Endpoint>,
        /// Ports that all servers of the slice listen on.
        pub ports: Vec<Port>,
    }

    /// `ObjectMeta`.
    #[derive(Clone, Debug, Default, Serialize, Deserialize)]
    pub struct Metadata {
        /// Labels by name.
        pub labels: std::collections::BTreeMap<String, String>,
    }

    /// `Endpoint`.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct Endpoint {
        /// IP addresses; the first is used.
        pub addresses: Vec<IpAddr>,
        /// State of the server.
        pub conditions: Conditions,
        /// Name of the server.
        pub hostname: String,
        /// Data centre.
        pub zone: String,
    }

    /// `EndpointConditions`.
    #[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
    pub struct Conditions {
        /// Whether it is shutting down.
        #[serde(default)]
        pub terminating: bool,
    }

    /// `EndpointPort`.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct Port {
        /// Purpose of the port.
        pub name: String,
        /// Number of the port.
        pub port: u16,
    }

    impl Slice {
        fn port(&self, name: &str) -> Option<u16> {
            self.ports.iter().find(|port| port.name == name).map(|port| port.port)
        }

        fn label(&self, name: &str) -> Option<&str> {
            self.metadata.labels.get(name).map(String::as_str)
        }

        /// Adds the servers of this slice to `listing`; a server without a needed port is skipped.
        fn add_to(&self, listing: &mut Listing) {
            let Some(service) = self.label(SERVICE_LABEL) else { return };
            for endpoint in &self.endpoints {
                let Some(address) = endpoint.addresses.first() else { continue };
                let at = |name: &str| self.port(name).map(|port| SocketAddr::new(*address, port));
                if service == VM_SERVICE {
                    listing.vms.extend(endpoint.vm(&at));
                } else {
                    listing.backends.extend(endpoint.backend(&at, self.kind(service)));
                }
            }
        }

        fn kind(&self, service: &str) -> BackendKind {
            if service == ENGINE_SERVICE {
                let enforces_fencing = self.label(FENCING_LABEL) == Some("true");
                return BackendKind::Engine { enforces_fencing };
            }
            BackendKind::Service(ModelName::new(service))
        }
    }

    impl Endpoint {
        fn vm(&self, at: &dyn Fn(&str) -> Option<SocketAddr>) -> Option<VmRecord> {
            Some(VmRecord {
                name: VmId::new(&self.hostname),
                data_centre: DataCentre::new(&self.zone),
                caller: at("caller")?,
                operator: at("operator")?,
                entry_peer: at("entry-peer")?,
                planner_peer: at("planner-peer")?,
                leaving: self.conditions.terminating,
            })
        }

        fn backend(
            &self,
            at: &dyn Fn(&str) -> Option<SocketAddr>,
            kind: BackendKind,
        ) -> Option<BackendRecord> {
            Some(BackendRecord {
                id: BackendId::new(&self.hostname),
                kind,
                data_centre: DataCentre::new(&self.zone),
                addr: at("http")?,
                leaving: self.conditions.terminating,
            })
        }
    }

    impl SliceList {
        /// The list as the system's own types.
        pub fn to_listing(&self) -> Listing {
            let mut listing = Listing::default();
            self.items.iter().for_each(|slice| slice.add_to(&mut listing));
            listing
        }

        /// One slice for each server: stand-ins run many servers at one address.
        pub fn from_listing(listing: &Listing) -> Self {
            let vms = listing.vms.iter().map(vm_slice);
            Self { items: vms.chain(listing.backends.iter().map(backend_slice)).collect() }
        }
    }

    fn endpoint(name: &str, zone: &DataCentre, address: IpAddr, terminating: bool) -> Endpoint {
        Endpoint {
            addresses: vec![address],
            conditions: Conditions { terminating },
            hostname: name.to_owned(),
            zone: zone.to_string(),
        }
    }

    fn vm_slice(vm: &VmRecord) -> Slice {
        let port = |name: &str, addr: SocketAddr| Port { name: name.to_owned(), port: addr.port() };
        Slice {
            metadata: Metadata { labels: [label(SERVICE_LABEL, VM_SERVICE)].into() },
            endpoints: vec![endpoint(
                vm.name.as_str(),
                &vm.data_centre,
                vm.caller.ip(),
                vm.leaving,
            )],
            ports: vec![
                port("caller", vm.caller),
                port("operator", vm.operator),
                port("entry-peer", vm.entry_peer),
                port("planner-peer", vm.planner_peer),
            ],
        }
    }

    fn backend_slice(backend: &BackendRecord) -> Slice {
        let labels = match &backend.kind {
            BackendKind::Engine { enforces_fencing } => vec![
                label(SERVICE_LABEL, ENGINE_SERVICE),
                label(FENCING_LABEL, if *enforces_fencing { "true" } else { "false" }),
            ],
            BackendKind::Service(name) => vec![label(SERVICE_LABEL, name.as_str())],
        };
        let BackendRecord { id, data_centre, addr, leaving, .. } = backend;
        Slice {
            metadata: Metadata { labels: labels.into_iter().collect() },
            endpoints: vec![endpoint(id.as_str(), data_centre, addr.ip(), *leaving)],
            ports: vec![Port { name: "http".to_owned(), port: addr.port() }],
        }
    }

    fn label(name: &str, value: &str) -> (String, String) {
        (name.to_owned(), value.to_owned())
    }
}
