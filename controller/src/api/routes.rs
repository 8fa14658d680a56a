//! The routes of the operators' interface.

use std::sync::Arc;

use poem::Route;

use crate::api::batches::{BatchCollection, BatchResource, BatchResults};
use crate::api::config::{ConfigResource, EvacuationResource, CONFIG_PATH};
use crate::api::server;
use crate::api::staleness_limits::{LatestVersionResource, RolloutCollection, StalenessLimitResource, VersionReport};
use crate::api::status::{Fleet, Journal, Tenants};
use crate::api::tallies::{TallyCollection, TallyResource, TallyUsageResource};
use crate::api::usage::Usage;
use crate::api::version_rollouts::VersionRolloutResource;
use crate::controller::Controller;

/// Serves the operators' interface until the process shuts down, if the settings have an address for it.
pub fn start(controller: &Arc<Controller>) {
    let Some(address) = controller.settings.bind_addresses.control_plane.clone() else { return };
    let routes = Arc::new(routes(controller));
    let task_controller = controller.clone();
    controller.shutdown.spawn(async move { server::run(&address, routes, task_controller).await });
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
