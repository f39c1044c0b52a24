//! Names, addresses and sizes of a demonstration deployment.

use {
    glade_platform::{BackendKind, BackendRecord, Listing, VmRecord},
    glade_types::{BackendId, DataCentre, ModelName, VmId},
    std::{
        fmt::Write,
        net::{IpAddr, Ipv4Addr, SocketAddr},
    },
};

/// Data centres of a deployment.
const DATA_CENTRES: u16 = 3;
/// Memory of a stand-in engine.
pub(crate) const ENGINE_MEMORY_BYTES: u64 = 80 << 30;
const GIB: u64 = 1 << 30;

/// Sizes of the two users' deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Kalahari Surplus Exchange, Windhoek.
    Kalahari,
    /// Coopérative Jëf-Jël, Dakar.
    JefJel,
}

impl std::str::FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "kalahari" => Ok(Self::Kalahari),
            "jef-jel" => Ok(Self::JefJel),
            _ => Err(format!("unknown deployment {text:?}; known are kalahari and jef-jel")),
        }
    }
}

impl Deployment {
    /// Model engines.
    pub fn engines(self) -> u16 {
        match self {
            Self::Kalahari => 12,
            Self::JefJel => 18,
        }
    }

    /// Servers of the plain service.
    pub fn service_servers(self) -> u16 {
        3
    }

    /// Base models.
    pub fn models(self) -> u32 {
        match self {
            Self::Kalahari => 20,
            Self::JefJel => 35,
        }
    }

    /// Adapters.
    pub fn adapters(self) -> u32 {
        match self {
            Self::Kalahari => 75,
            Self::JefJel => 95,
        }
    }

    /// Name of the plain service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Kalahari => "market",
            Self::JefJel => "shop",
        }
    }

    /// Loads from the weight store: started per second, and at once at full speed.
    pub fn weight_store(self) -> (f64, u32) {
        match self {
            Self::Kalahari => (2.0, 6),
            Self::JefJel => (2.5, 11),
        }
    }

    /// Adapters in transit at full speed.
    pub(crate) fn adapters_in_transit(self) -> usize {
        match self {
            Self::Kalahari => 50,
            Self::JefJel => 90,
        }
    }

    /// Time of an adapter's transit at full speed, in milliseconds.
    pub(crate) fn adapter_ms(self) -> u64 {
        match self {
            Self::Kalahari => 6,
            Self::JefJel => 8,
        }
    }

    /// Worth of attainment and cost of a move.
    pub fn objective(self) -> (f64, f64) {
        match self {
            Self::Kalahari => (1.0, 0.1),
            Self::JefJel => (0.5, 1.0),
        }
    }
}

/// A deployment on loopback, all its ports counted from one.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Sizes.
    pub deployment: Deployment,
    /// Entry VMs.
    pub vms: u16,
    /// First port.
    pub base_port: u16,
}

impl Layout {
    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), self.base_port + offset)
    }

    /// The table service.
    pub fn table_service(&self) -> SocketAddr {
        self.at(0)
    }

    /// The object store.
    pub fn object_store(&self) -> SocketAddr {
        self.at(1)
    }

    /// The VM list.
    pub fn vm_list(&self) -> SocketAddr {
        self.at(2)
    }

    /// The control port of the stand-ins.
    pub fn control(&self) -> SocketAddr {
        self.at(3)
    }

    /// Engine number `idx`.
    pub fn engine(&self, idx: u16) -> SocketAddr {
        self.at(100 + idx)
    }

    /// Server number `idx` of the plain service.
    pub fn service(&self, idx: u16) -> SocketAddr {
        self.at(200 + idx)
    }

    /// Where callers reach VM number `idx`.
    pub fn caller(&self, idx: u16) -> SocketAddr {
        self.at(300 + 10 * idx)
    }

    /// Where operators reach VM number `idx`.
    pub fn operator(&self, idx: u16) -> SocketAddr {
        self.at(301 + 10 * idx)
    }

    /// Name of VM number `idx`.
    pub fn vm_name(idx: u16) -> String {
        format!("vm-{}", idx + 1)
    }

    /// Data centre of server or VM number `idx`.
    pub fn data_centre(idx: u16) -> String {
        format!("dc-{}", idx % DATA_CENTRES + 1)
    }

    /// The VM list.
    pub fn listing(&self) -> Listing {
        let vm = |idx: u16| VmRecord {
            name: VmId::new(&Self::vm_name(idx)),
            data_centre: DataCentre::new(&Self::data_centre(idx)),
            caller: self.caller(idx),
            operator: self.operator(idx),
            entry_peer: self.at(302 + 10 * idx),
            planner_peer: self.at(303 + 10 * idx),
            leaving: false,
        };
        let engine = |idx: u16| BackendRecord {
            id: BackendId::new(&format!("engine-{}", idx + 1)),
            // Every fourth engine doesn't check who gives it an order.
            kind: BackendKind::Engine { enforces_fencing: idx % 4 != 3 },
            data_centre: DataCentre::new(&Self::data_centre(idx)),
            addr: self.engine(idx),
            leaving: false,
        };
        let service = |idx: u16| BackendRecord {
            id: BackendId::new(&format!("{}-{}", self.deployment.service(), idx + 1)),
            kind: BackendKind::Service(ModelName::new(self.deployment.service())),
            data_centre: DataCentre::new(&Self::data_centre(idx)),
            addr: self.service(idx),
            leaving: false,
        };
        Listing {
            vms: (0..self.vms).map(vm).collect(),
            backends: (0..self.deployment.engines())
                .map(engine)
                .chain((0..self.deployment.service_servers()).map(service))
                .collect(),
        }
    }

    /// Settings file of VM number `idx`.
    pub fn settings_yaml(&self, idx: u16, credential: &str) -> String {
        let (loads_per_s, loads_at_once) = self.deployment.weight_store();
        let (attainment_weight, move_weight) = self.deployment.objective();
        let port = |offset: u16| self.base_port + 300 + 10 * idx + offset;
        format!(
            "vm:\n  name: {name}\n  data_centre: {data_centre}\n  address: 127.0.0.1\n  \
             caller_port: {caller}\n  operator_port: {operator}\n  entry_peer_port: {entry}\n  \
             planner_peer_port: {planner}\n  planner_metrics_port: {metrics}\n\
             platform:\n  table_service: {table}\n  object_store: {objects}\n  vm_list: {list}\n\
             operator:\n  credential: {credential}\n\
             pacing:\n  loads_per_s: {loads_per_s:.1}\n  loads_at_once: {loads_at_once}\n\
             objective:\n  attainment_weight: {attainment_weight:.1}\n  \
             move_weight: {move_weight:.1}\n",
            name = Self::vm_name(idx),
            data_centre = Self::data_centre(idx),
            caller = port(0),
            operator = port(1),
            entry = port(2),
            planner = port(3),
            metrics = port(4),
            table = self.table_service(),
            objects = self.object_store(),
            list = self.vm_list(),
        )
    }

    /// A table of the deployment's size as CSV.
    pub fn table_csv(&self) -> String {
        let mut text = "name,kind,base,memory_bytes,priority,weight,concurrency,rate_per_s,\
                        first_token_ms,between_tokens_ms,idempotent\n"
            .to_owned();
        let models = self.deployment.models();
        for idx in 0..models {
            let memory = (10 + u64::from(idx % 4) * 6) * GIB;
            let priority = if idx % 3 == 2 { "patient" } else { "urgent" };
            let _ = writeln!(text, "model-{idx:02},model,,{memory},{priority},1,0,0,1600,50,true");
        }
        for idx in 0..self.deployment.adapters() {
            let (base, memory) = (idx % models, GIB / 4);
            let _ = writeln!(
                text,
                "adapter-{idx:02},adapter,model-{base:02},{memory},urgent,1,0,0,1600,50,true"
            );
        }
        let service = self.deployment.service();
        let _ = writeln!(text, "{service},service,,0,urgent,5,0,0,500,500,false");
        text
    }
}
