//! Starting the real program: free ports, and child processes that do not keep them.
//!
//! A child that has been forked and has not yet executed its program holds every socket of this process. A port that is
//! found free by listening on it stays taken until that child gets on, and the controller that is meant to listen there
//! ends with "Address already in use". So no test starts a process while another one looks for ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a child is started, and while ports are listened on only to find them.
static NO_FORK: Mutex<()> = Mutex::new(());

fn no_fork() -> MutexGuard<'static, ()> {
    // A test that panicked meanwhile leaves nothing behind that could be broken.
    NO_FORK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process; returns when it executes its program.
pub fn spawn(command: &mut Command) -> Child {
    let _guard = no_fork();
    command.spawn().unwrap()
}

/// Runs a process to its end, without input.
pub fn run(command: &mut Command) -> Output {
    let command = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    spawn(command).wait_with_output().unwrap()
}

/// Free addresses on a loopback host.
pub fn free_addresses<const N: usize>(host: Ipv4Addr) -> [SocketAddr; N] {
    let _guard = no_fork();
    let listeners = [(); N].map(|()| TcpListener::bind((host, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}
