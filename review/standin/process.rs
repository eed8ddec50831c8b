//! A process of the system, started with the command of the deploy file and signalled by its id.

use std::{
    env,
    fs::{self, File},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
};

extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The option by which a process receives a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: i32 = 9;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code)]
pub enum Signal {
    Hangup = 1,
    Terminate = 15,
    Continue = 18,
    Stop = 19,
}

/// The program that `deploy/system.toml` runs, from the root of the repository.
const PROGRAM: &str = "target/release/mangorouter";

/// The ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn forget(id: u32) {
    RUNNING.lock().expect("no holder panics").retain(|running| *running != id);
}

/// Kills every process that this one has started and not waited for.
pub fn kill_all() {
    for id in RUNNING.lock().expect("no holder panics").drain(..) {
        // SAFETY: as in `Program::signal`.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

pub struct Program {
    pub name: String,
    role: &'static str,
    folder: PathBuf,
    pub settings: String,
    child: Option<Child>,
}

impl Program {
    pub fn new(name: &str, role: &'static str, folder: &Path, settings: String) -> Self {
        Self { name: name.to_owned(), role, folder: folder.to_owned(), settings, child: None }
    }

    pub fn start(&mut self) -> Result<(), String> {
        let path = self.folder.join(format!("{}.toml", self.name));
        fs::write(&path, &self.settings).map_err(|error| error.to_string())?;
        let log = File::options().create(true).append(true).open(self.log_path());
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.args(["deployed", self.role]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("MANGOROUTER_BOOT", &path).stdin(Stdio::null());
        // SAFETY: `prctl` with this option takes an integer and touches no memory. If this program is
        // killed, nothing else would end the processes.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong);
                Ok(())
            });
        }
        let child = command.stdout(Stdio::from(log)).stderr(Stdio::from(errors)).spawn();
        let child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        RUNNING.lock().expect("no holder panics").push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn log_path(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes two integers and touches no memory of this process.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Asks the process to stop and waits until it has ended.
    pub fn terminate(&mut self) {
        self.signal(Signal::Terminate);
        if let Some(mut child) = self.child.take() {
            // It fails only if somebody else has waited for the process.
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Kills the process, as by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Returns whether the process has ended by itself.
    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
