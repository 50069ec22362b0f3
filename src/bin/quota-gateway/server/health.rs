//! The paths that the gateway answers itself: its health and its metrics.

use super::response::{self, Response};
use super::Server;
use hyper::StatusCode;

impl Server {
    /// The response to checks of the gateway's own health, and to the collection of its metrics.
    pub(super) fn health_response(&self, path: &str) -> Option<Response> {
        let healthy = match path {
            "/health/metrics" => {
                return Some(response::plain(
                    StatusCode::OK,
                    self.driver.metrics().encode(),
                ));
            }
            "/health/ready" => self.driver.is_ready() && !self.lifecycle.is_shutting_down(),
            "/health/live" => true,
            _ => return None,
        };
        let status = if healthy {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Some(response::plain(status, ""))
    }
}
