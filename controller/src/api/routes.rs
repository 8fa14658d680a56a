//! The routes of the operators' interface, and its HTTP server.

use std::sync::Arc;
use std::time::Duration;

use poem::listener::TcpAcceptor;
use poem::{Route, Server};
use protocol::socket::{self, IO_TIMEOUT_MS};
use socket2::SockRef;
use tokio::time;

use crate::api::batches::{BatchCollection, BatchResource, BatchResults};
use crate::api::config::{ConfigResource, EvacuationResource, CONFIG_PATH};
use crate::api::staleness_limits::{LatestVersionResource, RolloutCollection, StalenessLimitResource, VersionReport};
use crate::api::status::{Fleet, Journal, Tenants};
use crate::api::tallies::{TallyCollection, TallyResource, TallyUsageResource};
use crate::api::usage::Usage;
use crate::api::version_rollouts::VersionRolloutResource;
use crate::controller::Controller;
use crate::shutdown::Shutdown;

/// The retry delay after listening on the address failed.
const LISTEN_RETRY: Duration = Duration::from_millis(200);
/// The idle timeout of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the operators' interface until the process shuts down, if the settings have an address for it.
pub fn start(controller: &Arc<Controller>) {
    let Some(address) = controller.settings.bind_addresses.control_plane.clone() else { return };
    let routes = Arc::new(routes(controller));
    let task_controller = controller.clone();
    controller.shutdown.spawn(async move {
        while !task_controller.shutdown.is_closing() {
            serve(&address, routes.clone(), &task_controller.shutdown).await;
        }
    });
}

fn routes(controller: &Arc<Controller>) -> Route {
    let latest = |report| LatestVersionResource { controller: controller.clone(), report };
    Route::new()
        .at(CONFIG_PATH, ConfigResource(controller.clone()))
        .at("/journal", Journal)
        .at("/fleet", Fleet(controller.clone()))
        .at("/tenants", Tenants(controller.clone()))
        .at("/batches", BatchCollection(controller.clone()))
        .at("/batches/:id", BatchResource(controller.clone()))
        .at("/batches/:id/results", BatchResults(controller.clone()))
        .at("/rollouts", RolloutCollection(controller.clone()))
        .at("/rollouts/:service", VersionRolloutResource(controller.clone()))
        .at("/rollouts/:service/:model", StalenessLimitResource(controller.clone()))
        .at("/rollouts/:service/:model/latest", latest(VersionReport::Latest))
        .at("/rollouts/:service/:model/rollback", latest(VersionReport::Rollback))
        .at("/usage", Usage(controller.clone()))
        .at("/tallies", TallyCollection(controller.clone()))
        .at("/tally_usage", TallyUsageResource(controller.clone()))
        .at("/tallies/:id", TallyResource(controller.clone()))
        .at("/evacuation/:zone", EvacuationResource(controller.clone()))
}

/// Serves requests until the process shuts down, then completes the requests in flight.
async fn serve(address: &str, routes: Arc<Route>, shutdown: &Shutdown) {
    let Ok(listener) = socket::listen(address) else {
        time::sleep(LISTEN_RETRY).await;
        return;
    };
    let socket = SockRef::from(&listener);
    let _ = socket.set_tcp_user_timeout(Some(Duration::from_millis(IO_TIMEOUT_MS)));
    let Ok(acceptor) = TcpAcceptor::from_tokio(listener) else { return };
    let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
    let _ = server.run_with_graceful_shutdown(routes, shutdown.closing(), None).await;
}
