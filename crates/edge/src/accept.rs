//! Accepts connections of a listener.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Delay after a failed accept, as happens without free file descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits for the next connection of a listener; `name` identifies the listener in logged errors.
pub(crate) async fn next(listener: &TcpListener, name: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!("{name}: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
