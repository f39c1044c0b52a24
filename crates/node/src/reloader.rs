//! Reloads the settings file on SIGHUP.

use {
    crate::{
        control::ControlHandle, directory_handler::DirectoryHandler, event::Event, reload::Reload,
    },
    glade_adapter::platform_dialect::PlatformDialect,
    glade_dispatch::RetryLimit,
    glade_observe::LIFECYCLE,
    glade_process::keep_running,
    glade_relay::RelayHandle,
    glade_settings::NodeSettings,
    std::{cell::RefCell, path::PathBuf, rc::Rc, sync::Arc},
    tokio::signal::unix::Signal,
};

/// The signal to read the settings file again, and the file.
pub(crate) struct ReloadSignal {
    pub(crate) signal: Signal,
    pub(crate) file: PathBuf,
}

/// Reloads the settings file on SIGHUP and applies the settings that may change in a running node.
pub(crate) struct Reloader {
    pub(crate) in_force: Rc<RefCell<Arc<NodeSettings>>>,
    pub(crate) directory_handler: Rc<DirectoryHandler>,
    pub(crate) relay: RelayHandle<PlatformDialect>,
    pub(crate) control: ControlHandle,
}

impl Reloader {
    /// Reads the file at each signal, for as long as the process runs.
    pub(crate) async fn run(self, mut reload: ReloadSignal) {
        keep_running("reload", async || {
            while reload.signal.recv().await.is_some() {
                match NodeSettings::reopen(&reload.file) {
                    Ok(settings) => self.reload(&settings),
                    Err(err) => {
                        log::warn!( target: LIFECYCLE, reason = err.to_string().as_str(); "reload_failed");
                    }
                }
            }
        })
        .await;
    }

    fn reload(&self, file: &NodeSettings) {
        let Reload { settings, changed, needs_restart } =
            Reload::new(&self.in_force.borrow(), file);
        log::info!( target: LIFECYCLE,
            changed = changed.join(",").as_str(),
            needs_restart = needs_restart.join(",").as_str();
            "reload"
        );
        self.directory_handler.ttl_s.set(settings.timing.directory_ttl.as_secs());
        self.relay.set_retry_limit(retry_limit(&settings));
        self.relay.set_hedge_share(settings.hedge_share);
        if changed.contains(&"seeds") {
            self.control.send(Event::Seeds(settings.seeds.clone()));
        }
        self.in_force.replace(settings);
    }
}

/// The limit on retried requests in `settings`.
pub(crate) fn retry_limit(settings: &NodeSettings) -> RetryLimit {
    let limits = settings.retry_limits;
    RetryLimit { share: limits.share, window: limits.window, reserve: limits.reserve }
}
