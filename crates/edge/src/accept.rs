//! Connections of a listener.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a listener that failed, as it does without free descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// The next connection of a listener; what goes wrong is logged under its name.
pub(crate) async fn next(listener: &TcpListener, name: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!("{name}: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}
