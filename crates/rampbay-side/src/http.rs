//! Metrics, health and drain of a side process over HTTP.

use async_trait::async_trait;
use rampbay_node::{metrics::Metrics, serve::render_json};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode, prelude::Text};
use serde::Serialize;
use tokio::sync::{mpsc, watch};

use crate::side::Command;

/// The JSON body of the health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Whether the side process takes new work.
    pub serving: bool,
    /// Slots in use.
    pub used: u32,
    /// Attempts that wait for a slot.
    pub waiting: u32,
}

#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Metrics,
    Health,
    Ready,
    Drain,
}

struct Api {
    endpoint: Endpoint,
    metrics: Metrics,
    health: watch::Receiver<Health>,
    commands: mpsc::UnboundedSender<Command>,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let health = *self.health.borrow();
        match self.endpoint {
            Endpoint::Metrics => res.render(Text::Plain(self.metrics.render())),
            Endpoint::Health => render_json(res, StatusCode::OK, &health),
            Endpoint::Ready if health.serving => render_json(res, StatusCode::OK, &health),
            Endpoint::Ready => render_json(res, StatusCode::SERVICE_UNAVAILABLE, &health),
            Endpoint::Drain => {
                let _ = self.commands.send(Command::Drain);
                render_json(res, StatusCode::ACCEPTED, &health);
            }
        }
    }
}

/// Returns the routes.
pub(crate) fn router(
    metrics: &Metrics,
    health: &watch::Receiver<Health>,
    commands: &mpsc::UnboundedSender<Command>,
) -> Router {
    let api = |endpoint| Api {
        endpoint,
        metrics: metrics.clone(),
        health: health.clone(),
        commands: commands.clone(),
    };
    Router::new()
        .push(Router::with_path("metrics").get(api(Endpoint::Metrics)))
        .push(Router::with_path("healthz").get(api(Endpoint::Health)))
        .push(Router::with_path("readyz").get(api(Endpoint::Ready)))
        .push(Router::with_path("v1/drain").post(api(Endpoint::Drain)))
}
