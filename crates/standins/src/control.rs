//! Starts all stand-ins, and the port that controls them.
//!
//! * `POST /faults/NAME` with a JSON body sets the faults of one stand-in; `{}` clears them. Names
//!   are `table`, `objects`, `vms`, and those of the backend servers.
//! * `POST /restart/NAME` restarts an engine; `POST /vm-leaving/NAME` lists a VM as leaving.
//! * `GET /engines` and `GET /executions` show what really happened.

use {
    crate::{
        engine::{EnginePort, EngineStandIn},
        faults::Faults,
        layout::Layout,
        platform::{ListStandIn, ObjectStandIn, TableStandIn},
        reply::json,
        service::{Executions, ServiceStandIn},
        weights::WeightStore,
    },
    glade_platform::{BackendKind, Listing},
    poem::{Endpoint, IntoResponse, Request, Response, http::StatusCode, listener::TcpAcceptor},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::net::TcpListener,
};

/// All stand-ins, running.
#[derive(Clone, Debug)]
pub struct Standins {
    table: TableStandIn,
    objects: ObjectStandIn,
    list: ListStandIn,
    engines: Vec<Arc<EngineStandIn>>,
    services: Vec<ServiceStandIn>,
    executions: Arc<Executions>,
}

impl Standins {
    /// Starts all stand-ins of `layout`. They run until the runtime ends.
    ///
    /// # Errors
    ///
    /// A port is taken; the error names the address.
    pub async fn spawn(layout: &Layout) -> io::Result<Self> {
        let listing = layout.listing();
        let weights = Arc::new(WeightStore::new(layout.deployment));
        let executions = Arc::new(Executions::default());
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for record in &listing.backends {
            match &record.kind {
                BackendKind::Engine { enforces_fencing } => {
                    let name = record.id.as_str();
                    let engine = EngineStandIn::new(name, *enforces_fencing, Arc::clone(&weights));
                    serve(record.addr, EnginePort(Arc::clone(&engine))).await?;
                    engines.push(engine);
                }
                BackendKind::Service(_) => {
                    let service = ServiceStandIn {
                        name: record.id.to_string(),
                        faults: Arc::default(),
                        executions: Arc::clone(&executions),
                    };
                    serve(record.addr, service.clone()).await?;
                    services.push(service);
                }
            }
        }
        let list = ListStandIn { faults: Arc::default(), listing: Arc::new(Mutex::new(listing)) };
        let standins = Self {
            table: TableStandIn::default(),
            objects: ObjectStandIn::default(),
            list,
            engines,
            services,
            executions,
        };
        serve(layout.table_service(), standins.table.clone()).await?;
        serve(layout.object_store(), standins.objects.clone()).await?;
        serve(layout.vm_list(), standins.list.clone()).await?;
        serve(layout.control(), standins.clone()).await?;
        Ok(standins)
    }

    fn listing(&self) -> std::sync::MutexGuard<'_, Listing> {
        self.list.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of the stand-in called `name`; false if there is none.
    fn set_faults(&self, name: &str, faults: Faults) -> bool {
        match name {
            "table" => self.table.faults.set(faults),
            "objects" => self.objects.faults.set(faults),
            "vms" => self.list.faults.set(faults),
            _ => return self.set_backend_faults(name, faults),
        }
        true
    }

    fn set_backend_faults(&self, name: &str, faults: Faults) -> bool {
        for record in &mut self.listing().backends {
            if record.id.as_str() == name {
                record.leaving = faults.leaving;
            }
        }
        let engine = self.engines.iter().find(|engine| engine.name == name);
        let service = self.services.iter().find(|service| service.name == name);
        if let Some(engine) = engine {
            engine.faults.set(faults);
        }
        if let Some(service) = service {
            service.faults.set(faults);
        }
        engine.is_some() || service.is_some()
    }

    fn restart(&self, name: &str) -> bool {
        let engine = self.engines.iter().find(|engine| engine.name == name);
        engine.map(|engine| engine.restart()).is_some()
    }

    fn vm_leaving(&self, name: &str) -> bool {
        let mut listing = self.listing();
        let vm = listing.vms.iter_mut().find(|vm| vm.name.as_str() == name);
        vm.map(|vm| vm.leaving = true).is_some()
    }

    fn show(&self, path: &str) -> poem::Result<Response> {
        Ok(match path {
            "/engines" => {
                let states: Vec<_> = self.engines.iter().map(|engine| engine.state()).collect();
                json(&states)
            }
            "/executions" => json(&self.executions.snapshot()),
            "/writes" => json(&self.table.writes()),
            _ => StatusCode::NOT_FOUND.into_response(),
        })
    }
}

impl Endpoint for Standins {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let path = req.uri().path().to_owned();
        if req.method() != "POST" {
            return self.show(&path);
        }
        let body = req.take_body().into_bytes().await?;
        let found = if let Some(name) = path.strip_prefix("/faults/") {
            let Ok(faults) = serde_json::from_slice(&body) else {
                return Ok(StatusCode::BAD_REQUEST.into_response());
            };
            self.set_faults(name, faults)
        } else if let Some(name) = path.strip_prefix("/restart/") {
            self.restart(name)
        } else if let Some(name) = path.strip_prefix("/vm-leaving/") {
            self.vm_leaving(name)
        } else {
            false
        };
        Ok(if found { StatusCode::OK } else { StatusCode::NOT_FOUND }.into_response())
    }
}

/// Serves `endpoint` at `addr` on a task of its own.
async fn serve<E>(addr: SocketAddr, endpoint: E) -> io::Result<()>
where
    E: Endpoint<Output = Response> + 'static,
{
    let taken =
        |err: io::Error| io::Error::new(err.kind(), format!("can't listen on {addr}: {err}"));
    let listener = TcpListener::bind(addr).await.map_err(taken)?;
    let acceptor = TcpAcceptor::from_tokio(listener).map_err(taken)?;
    tokio::spawn(async move {
        if let Err(err) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!("stand-in at {addr}: {err}");
        }
    });
    Ok(())
}
